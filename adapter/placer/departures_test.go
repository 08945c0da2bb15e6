package placer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
)

// These tests guard against zones that stay without a complete copy of the model
// while several engines leave as planned one after the other, and against streams
// lost meanwhile. See docs/incidents/zones-broken-by-leavings-in-a-row.md.

// Times of a simulation.
const (
	// initialLoadTime is how long the engines have to load the model at first.
	initialLoadTime = 20 * time.Second
	// departurePeriod is the period in which engines leave.
	departurePeriod = 8 * time.Second
	// observationTime is how long the zones are sampled once engines start to
	// leave.
	observationTime = 30 * time.Second
)

// simulateDepartures runs a placer over a simulation. The given number of engines
// leaves, and the given number of streams starts each second.
func simulateDepartures(t *testing.T, s *simulation, engines, streams int) {
	t.Helper()
	o := Options{
		Engines: s, Lease: s, EnginesCheckFence: true, OnRestart: func(ids.Instance) {},
		SilentFor: func(*directory.Upstream) time.Duration { return 0 },
	}
	runPlacerOver(t, simModel, &s.mu, s.dir, o, func(ctx context.Context) {
		callers, stopCallers := context.WithCancel(ctx)
		time.Sleep(initialLoadTime)
		go repeat(callers, time.Second/time.Duration(streams), s.startStream)
		time.Sleep(maxStreamTime)
		go repeat(callers, sampleInterval, s.sampleGaps)
		go s.departures(engines, departurePeriod)
		time.Sleep(observationTime)
		stopCallers()
		time.Sleep(2 * maxStreamTime)
	})
}

// simulateSites runs simulateDepartures for the given number of random fleets.
func simulateSites(t *testing.T, sites, engines, streams int) []*simulation {
	t.Helper()
	done := make([]*simulation, sites)
	t.Run("sites", func(t *testing.T) {
		for seed := range done {
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(uint64(seed))
				done[seed] = s
				simulateDepartures(t, s, engines, streams)
				if s.lost > 0 {
					t.Errorf("%d of %d interrupted streams found no engines within %s", s.lost, s.interrupted, resumeTimeout)
				}
			})
		}
	})
	return done
}

// TestZonesAreCompleteSoonAfterSuccessiveDepartures checks that zones with memory for
// the model hold it again, on average over the simulations, within the time to
// drain the longest stream and to load the largest engine. No stream may be lost.
func TestZonesAreCompleteSoonAfterSuccessiveDepartures(t *testing.T) {
	const sites = 24
	sum, interrupted, refused, requests := time.Duration(0), 0, 0, 0
	for _, s := range simulateSites(t, sites, 6, 60) {
		sum += s.longestGap
		interrupted, refused, requests = interrupted+s.interrupted, refused+s.refused, requests+s.requests
	}
	t.Logf("longest time without a complete copy: %s on average; %d streams interrupted, %d of %d requests refused", sum/sites, interrupted, refused, requests)
	if bound := maxStreamTime + loadTime("large"); sum/sites > bound {
		t.Errorf("zones that can hold the model lack layers for up to %s on average, want at most %s", sum/sites, bound)
	}
}

// TestEachZoneIsWholeAgainAfterManyLeavings lets more engines leave while more
// streams run. Each zone with memory for the model must hold it again within the
// time to drain two moves in sequence and to load the largest engine. No stream may
// be lost.
func TestEachZoneIsWholeAgainAfterManyLeavings(t *testing.T) {
	bound := 2*maxStreamTime + loadTime("large")
	for seed, s := range simulateSites(t, 40, 8, 80) {
		if s.longestGap > bound {
			t.Errorf("seed %d: a zone that can hold the model lacks layers for %s, want at most %s", seed, s.longestGap, bound)
		}
	}
}

// loadTime returns the time in which an engine loads as many layers as it may hold.
func loadTime(card string) time.Duration {
	fraction := float64(maxLayers(card)) / float64(simModel.Layers)
	return time.Duration(fraction * simModel.LoadSeconds * float64(time.Second))
}

// maxLayers returns the number of layers that an engine may hold: 0.8 of its
// memory, the rest is for KV cache.
func maxLayers(card string) int {
	return int(0.8 * simModel.Cards[card].MemoryMB / simModel.LayerMB)
}

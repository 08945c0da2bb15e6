package placer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
)

// Guards against zones that stay without a whole copy of the model while engines leave as
// planned in a row, and against callers who lose streams then. See
// docs/incidents/zones-broken-by-leavings-in-a-row.md.

// Times of a played site.
const (
	// settlesFor is how long its engines have to load the model.
	settlesFor = 20 * time.Second
	// leavingsOver is the time in which engines leave.
	leavingsOver = 8 * time.Second
	// playFor is how long it is watched once leavings begin.
	playFor = 30 * time.Second
)

// playLeavings plays a site with a placer, from which so many engines leave, with so many
// streams begun each second.
func playLeavings(t *testing.T, s *site, engines, streams int) {
	t.Helper()
	o := Options{
		Engines: s, Lease: s, ChecksFence: true, Restarted: func(ids.Life) {},
		SilentFor: func(*directory.Upstream) time.Duration { return 0 },
	}
	playPlacer(t, siteModel, &s.mu, s.dir, o, func(ctx context.Context) {
		callers, hangUp := context.WithCancel(ctx)
		time.Sleep(settlesFor)
		go repeat(callers, time.Second/time.Duration(streams), s.begin)
		time.Sleep(longStream)
		go repeat(callers, sampleEvery, s.watch)
		go s.leavings(engines, leavingsOver)
		time.Sleep(playFor)
		hangUp()
		time.Sleep(2 * longStream)
	})
}

// playSites plays drawn sites in which so many engines leave in a row, with so many streams
// begun each second.
func playSites(t *testing.T, sites, engines, streams int) []*site {
	t.Helper()
	played := make([]*site, sites)
	t.Run("sites", func(t *testing.T) {
		for seed := range played {
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
				t.Parallel()
				s := newSite(uint64(seed))
				played[seed] = s
				playLeavings(t, s, engines, streams)
				if s.lost > 0 {
					t.Errorf("%d of %d streams that were cut found no engines in %s", s.lost, s.cut, patienceMidway)
				}
			})
		}
	})
	return played
}

// TestZonesAreWholeAgainSoonAfterLeavingsInARow: zones whose engines can hold the model hold
// it again, in the mean over the drawn sites, within the time in which the streams in the way
// end and the largest engine loads its layers. No stream is lost.
func TestZonesAreWholeAgainSoonAfterLeavingsInARow(t *testing.T) {
	const sites = 24
	sum, cut, refused, runs := time.Duration(0), 0, 0, 0
	for _, s := range playSites(t, sites, 6, 60) {
		sum += s.longest
		cut, refused, runs = cut+s.cut, refused+s.refused, runs+s.runs
	}
	t.Logf("without a whole copy for %s in the mean; %d streams cut, %d of %d refused", sum/sites, cut, refused, runs)
	if bound := longStream + loadingOf("large"); sum/sites > bound {
		t.Errorf("zones that can hold the model lack layers for up to %s in the mean, want %s", sum/sites, bound)
	}
}

// TestEachZoneIsWholeAgainAfterManyLeavings: where more engines leave under more streams, each
// zone that can hold the model holds it again within the time in which the streams in the way
// of two moves, one after the other, end and the largest engine loads. No stream is lost.
func TestEachZoneIsWholeAgainAfterManyLeavings(t *testing.T) {
	bound := 2*longStream + loadingOf("large")
	for seed, s := range playSites(t, 40, 8, 80) {
		if s.longest > bound {
			t.Errorf("seed %d: a zone that can hold the model lacks layers for %s, want %s", seed, s.longest, bound)
		}
	}
}

// loadingOf gives the time in which an engine loads the layers that it may hold.
func loadingOf(card string) time.Duration {
	part := float64(most(card)) / float64(siteModel.Layers)
	return time.Duration(part * siteModel.LoadSeconds * float64(time.Second))
}

// most gives the layers that an engine may hold beside streams: a part of 0.8 of its memory.
func most(card string) int {
	return int(0.8 * siteModel.Cards[card].MemoryMB / siteModel.LayerMB)
}

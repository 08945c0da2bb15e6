// Package topology describes the engines of a model service, the links between
// them, and the chains that run a request. A chain is a sequence of engines whose
// layer ranges tile the model exactly, without gap or overlap.
package topology

import (
	"time"

	"mimosaarch.example/core/ids"
)

// Engine is a model engine and the layers it holds.
type Engine struct {
	ID      ids.Upstream
	Address string
	Zone    ids.Zone
	Service ids.Service
	// First and Last are the first and last layer it holds, inclusive, counted from
	// 0.
	First, Last int
	// Slots is the number of requests it can run concurrently.
	Slots int
	// Rate is the number of token steps per second it runs at full batch.
	Rate float64
}

// Link is the connection between two engines that run adjacent layer ranges.
type Link struct {
	From, To ids.Upstream
	// Latency is the one-way latency of a step.
	Latency time.Duration
	// Rate is the number of token steps per second it can carry; 0 if no limit is
	// known.
	Rate float64
}

// Chain is the sequence of engines that runs a request.
type Chain []Engine

// Tiles reports whether the chain's layer ranges cover layers 0 to layers-1 exactly
// once, in order. It is false for an empty chain.
func (c Chain) Tiles(layers int) bool {
	next := 0
	for _, e := range c {
		if e.First != next || e.Last < e.First {
			return false
		}
		next = e.Last + 1
	}
	return len(c) > 0 && next == layers
}

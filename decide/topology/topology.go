// Package topology describes the engines of a model service, the links
// between them, and the chains that run a request: ordered engines whose
// layer ranges tile the model exactly, without gap or overlap.
package topology

import (
	"time"

	"mimosaarch.example/core/ids"
)

// Engine is one model engine and the layers it holds.
type Engine struct {
	ID      ids.Upstream
	Address string
	Zone    ids.Zone
	Service ids.Service
	// First and Last are the layers held, both inclusive, from 0.
	First, Last int
	// Slots is the most requests it runs at once.
	Slots int
	// Rate is the token steps it runs a second at full batch.
	Rate float64
}

// Link is the connection between the engines of two following stages.
type Link struct {
	From, To ids.Upstream
	// Latency is the one-way time of a step.
	Latency time.Duration
	// Rate is the token steps it carries a second; 0 means no limit known.
	Rate float64
}

// Chain is one ordered choice of engines for a request.
type Chain []Engine

// Tiles reports whether the chain's layer ranges cover layers 0 to layers-1
// exactly once, in order. An empty chain tiles nothing.
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

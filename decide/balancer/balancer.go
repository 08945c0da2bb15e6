// Package balancer chooses the chain of engines for a model request and the
// upstream for a plain request, one that a single upstream answers. Each
// load-balancing strategy is one type.
//
// Package router makes these decisions with it, in its event loop. A Picker
// performs no I/O and keeps little state: the load of the engines comes from
// the View. It is not safe for concurrent use. With the same seed and the same
// calls it makes the same choices.
package balancer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/load"
	"mimosaarch.example/decide/topology"
)

// Picker chooses a chain of engines for each model request.
type Picker interface {
	// Pick returns the chain for a request at time now. It returns false when it
	// finds no chain of usable engines with capacity; the request must then wait.
	Pick(now time.Time, r Request, v View) (topology.Chain, bool)
}

// View is a Picker's read access to the state of the fleet.
type View interface {
	// Graph returns the engines of a service and their links, nil when the
	// service has none. The same pointer is returned until the graph changes.
	Graph(service ids.Service) *topology.Graph
	// Estimate returns the estimated load of an upstream at time now.
	Estimate(now time.Time, id ids.Upstream) load.Estimate
	// Weight returns the fraction of an upstream's capacity that may be used:
	// 0 excludes it, 1 uses all of it, and a value between lets an upstream
	// that has recovered take load gradually.
	Weight(id ids.Upstream) float64
	// LinkWeight returns the fraction of the capacity of the link between two
	// engines that may be used, as Weight does for an upstream.
	LinkWeight(from, to ids.Upstream) float64
}

// Request holds the properties of a request that affect the choice.
type Request struct {
	Service ids.Service
	// PrefixHash is the hash of the prompt's prefix. Requests with the same
	// hash prefer the same chain, whose KV cache may hold the prefix; 0 means
	// no preference.
	PrefixHash uint64
	// TokenSteps is the estimated number of token steps that the request needs:
	// its output tokens and the steps that read its prompt.
	TokenSteps int
	// Zone is the availability zone of this node.
	Zone ids.Zone
	// Exclude reports whether an upstream must not be used, for instance
	// because the request has already failed there; nil excludes none.
	Exclude func(ids.Upstream) bool
}

// Options configures the strategies.
type Options struct {
	// TokenInterval is the target for the time between two tokens of a stream:
	// strategy flow gives a busy engine no further request that would exceed it.
	// 0 means no target. The other strategies ignore it.
	TokenInterval time.Duration
}

// UnknownStrategyError reports a strategy name that New does not know.
type UnknownStrategyError struct{ Name string }

// Error implements error.
func (e *UnknownStrategyError) Error() string {
	return fmt.Sprintf("unknown load-balancing strategy %q", e.Name)
}

// New returns a Picker for a strategy, one of fleet.Strategy*; empty means
// flow. seed seeds its random choices. The error is an *UnknownStrategyError.
func New(strategy string, opts Options, seed uint64) (Picker, error) {
	rng := rand.New(rand.NewPCG(seed, pickerSeedStream))
	switch strategy {
	case fleet.StrategyFlow, "":
		return newFlow(opts, rng), nil
	case fleet.StrategyRoundRobin:
		return newRoundRobin(), nil
	case fleet.StrategyTwoChoices:
		return newTwoChoices(rng), nil
	case fleet.StrategyLeastLoaded:
		return newLeastLoaded(), nil
	}
	return nil, &UnknownStrategyError{Name: strategy}
}

// pickerSeedStream is the second word of the PCG seed of every picker.
const pickerSeedStream = 0x6d696d6f73616172

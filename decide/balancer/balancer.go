// Package balancer chooses the chain of engines for a model request and the
// upstream for a plain one. Each strategy is one type.
//
// A Picker makes no effect and keeps little state: the load it weighs comes
// from the View. It is not safe for concurrent use; the goroutine of the
// decision loop owns it. Same calls and seed, same choices.
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

// Picker chooses chains.
type Picker interface {
	// Pick gives the chain to send a request to now. False means that no
	// chain has room, and the request waits.
	Pick(now time.Time, r Request, v View) (topology.Chain, bool)
}

// View is what a Picker sees of the fleet.
type View interface {
	// Graph gives the engines of a service; nil when there are none. The same
	// pointer means that nothing has changed.
	Graph(service ids.Service) *topology.Graph
	// Estimate gives the load of an upstream.
	Estimate(now time.Time, id ids.Upstream) load.Estimate
	// Weight is the part of an upstream's capacity to be used: 0 means
	// none, below 1 a slow return, 1 all.
	Weight(id ids.Upstream) float64
	// LinkWeight is the same for a link.
	LinkWeight(from, to ids.Upstream) float64
}

// Request is what a choice depends on.
type Request struct {
	Service ids.Service
	// PrefixHash hashes the prompt's prefix, for cache affinity; 0 means none.
	PrefixHash uint64
	// Tokens estimates the steps the request needs.
	Tokens int
	// Zone is the chooser's own availability zone.
	Zone ids.Zone
	// Exclude names upstreams not to be used, for instance since the request
	// has failed there; nil excludes none.
	Exclude func(ids.Upstream) bool
}

// Options tune the strategies.
type Options struct {
	// TokenInterval is the time between tokens that a choice should not push
	// a chain over; 0 means no such limit. Strategy flow only.
	TokenInterval time.Duration
}

// UnknownStrategyError refuses the name of a strategy that there isn't.
type UnknownStrategyError struct{ Name string }

// Error implements error.
func (e *UnknownStrategyError) Error() string {
	return fmt.Sprintf("no strategy %q", e.Name)
}

// New makes the Picker of a strategy, one of fleet.Strategy*; empty means
// flow. The error is a *StrategyError.
func New(strategy string, opts Options, seed uint64) (Picker, error) {
	rng := rand.New(rand.NewPCG(seed, seedStream))
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

// seedStream is the second half of a Picker's seed.
const seedStream = 0x6d696d6f73616172

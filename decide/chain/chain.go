// Package chain chooses the chain of engines for a streaming request to a model
// whose layers are spread over several engines. The stages of a chain run every
// layer of the model exactly once and in order.
//
// It runs in every node, once for each attempt of a streaming request. Picker
// finds, in each availability zone, the chain with the least expected time to
// finish the request: a shortest path over the layers, with costs from the
// performance model of the engines and their estimated load. It picks the zone
// with the cheapest chain. A chain across zones costs more, because the
// activations of every token cross the link between them.
//
// PickRepair chooses the chain of a running stream that has lost an engine. Its load is an
// engine that up to a third of all streams pass through, all of which move within 100 ms:
// stages that can go on keep their KV cache, and the prefill of the others is spread over
// the engines that can replace the lost one.
//
// A Picker must be used by one goroutine at a time and reads no clock.
package chain

import (
	"fmt"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/directory"
)

// Stage is one stage of a chain: an engine and the layers that it runs.
type Stage struct {
	Engine *directory.Upstream
	Layers layered.Range
}

// Chain is the sequence of stages that a request passes through.
type Chain []Stage

// Engines returns the IDs of the engines in order.
func (c Chain) Engines() []ids.Instance {
	out := make([]ids.Instance, len(c))
	for i, stage := range c {
		out[i] = stage.Engine.ID
	}
	return out
}

// String implements fmt.Stringer: "address=from-to" for each stage, separated by
// commas.
func (c Chain) String() string {
	s := ""
	for i, stage := range c {
		if i > 0 {
			s += ","
		}
		s += fmt.Sprintf("%s=%s", stage.Engine.Address, stage.Layers)
	}
	return s
}

// Has reports whether an engine runs a stage of the chain.
func (c Chain) Has(id ids.Instance) bool {
	return slices.ContainsFunc(c, func(s Stage) bool { return s.Engine.ID == id })
}

// NoChainError reports that no chain of usable engines runs every layer of the
// model.
type NoChainError struct {
	Service ids.Service
	// Engines is the number of engines of the service, Usable that of those
	// among them that may take requests.
	Engines, Usable int
}

// Error implements error.
func (e *NoChainError) Error() string {
	return fmt.Sprintf("no chain for %s: %d of %d engines usable", e.Service, e.Usable, e.Engines)
}

// FullError reports that every chain for a request contains an engine that has recently
// refused a request for lack of capacity, or costs too much.
type FullError struct {
	Service ids.Service
	// Engine is the engine that has refused.
	Engine ids.Instance
	// Until is the time until which the engine counts as full.
	Until time.Time
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no chain for %s without %s, which has no room", e.Service, e.Engine)
}

// TilingError reports a chain that does not run every layer once and in order.
type TilingError struct {
	// Chain is the chain as Chain.String returns it, Layers the number of
	// layers of the model.
	Chain  string
	Layers int
}

// Error implements error.
func (e *TilingError) Error() string {
	return fmt.Sprintf("chain %s does not tile %d layers", e.Chain, e.Layers)
}

// Check returns a *TilingError for a chain that skips a layer, runs one twice, uses
// an engine twice, or asks an engine for layers that it does not hold. Engines
// check neither gaps nor order, so each chain must be checked before it is sent.
func Check(c Chain, layers int) error {
	next := 0
	for i, stage := range c {
		twice := Chain(c[:i]).Has(stage.Engine.ID)
		if stage.Layers.From != next || stage.Layers.Empty() || twice || !stage.Engine.Layers.Covers(stage.Layers) {
			return &TilingError{Chain: c.String(), Layers: layers}
		}
		next = stage.Layers.To
	}
	if next != layers || len(c) == 0 {
		return &TilingError{Chain: c.String(), Layers: layers}
	}
	return nil
}

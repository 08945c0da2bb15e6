// Package chain decides which engines a streaming request passes through: an
// ordered chain whose parts run every layer of the model exactly once.
//
// A Book knows what this node has running on each engine, which engines did
// not answer lately, and how slow others said to be. Choose finds, in each
// availability zone, the chain that finishes a request of the given size
// soonest by the model of its engines (a shortest path over the layers), and
// takes the best zone. Chains across zones cost more: activations of every
// token cross the link between them.
//
// A Book is used by one goroutine at a time and reads no clock.
package chain

import (
	"fmt"
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/directory"
)

// Stage is one stage of a chain: an engine and the layers it runs.
type Stage struct {
	Engine *directory.Upstream
	Layers layered.Range
}

// Chain is the stages of a request in order.
type Chain []Stage

// Engines names the engines in order.
func (c Chain) Engines() []ids.Life {
	out := make([]ids.Life, len(c))
	for i, h := range c {
		out[i] = h.Engine.ID
	}
	return out
}

// String implements fmt.Stringer.
func (c Chain) String() string {
	s := ""
	for i, h := range c {
		if i > 0 {
			s += ","
		}
		s += fmt.Sprintf("%s=%s", h.Engine.Address, h.Layers)
	}
	return s
}

// Has reports whether an engine is part of the chain.
func (c Chain) Has(id ids.Life) bool {
	return slices.ContainsFunc(c, func(h Stage) bool { return h.Engine.ID == id })
}

// NoChainError tells that no chain of usable engines holds the whole model.
type NoChainError struct {
	Service ids.Service
	// Engines are those of the service; Usable those that may take work.
	Engines, Usable int
}

// Error implements error.
func (e *NoChainError) Error() string {
	return fmt.Sprintf("no chain for %s: %d of %d engines usable", e.Service, e.Usable, e.Engines)
}

// FullError tells that every chain leads through an engine that has just refused for
// want of room.
type FullError struct {
	Service ids.Service
	Engine  ids.Life
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no chain for %s without %s, which has no room", e.Service, e.Engine)
}

// TilingError tells that a chain does not run every layer once and in order.
type TilingError struct {
	Chain  string
	Layers int
}

// Error implements error.
func (e *TilingError) Error() string {
	return fmt.Sprintf("chain %s does not tile %d layers", e.Chain, e.Layers)
}

// Check reports with a *TilingError a chain that leaves a layer out, runs one
// twice, goes through an engine twice, or asks for layers an engine does not
// hold. Engines check neither gaps nor order, so no chain leaves unchecked.
func Check(c Chain, layers int) error {
	at := 0
	for i, h := range c {
		twice := Chain(c[:i]).Has(h.Engine.ID)
		if h.Layers.From != at || h.Layers.Empty() || twice || !h.Engine.Layers.Covers(h.Layers) {
			return &TilingError{Chain: c.String(), Layers: layers}
		}
		at = h.Layers.To
	}
	if at != layers || len(c) == 0 {
		return &TilingError{Chain: c.String(), Layers: layers}
	}
	return nil
}

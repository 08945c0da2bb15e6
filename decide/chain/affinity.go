package chain

import (
	"time"

	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/directory"
)

// PickCheapest returns the cheapest chain for a request among the usable engines in view,
// also if an engine of it counts as full. m is the performance model of the engines. The
// error is a *NoChainError.
//
// A request with a Prefix takes a chain that holds it only if that costs no more, without
// jitter, than it saves. Jitter alone does not tell: engines that run many requests with
// the same prefix cost more, and a discount within the range of the jitter would prefer them.
func (p *Picker) PickCheapest(now time.Time, m *layered.Model, view *directory.View, r Request) (Chain, error) {
	plain := r
	plain.Prefix = nil
	c, err := p.cheapest(now, m, view, plain)
	if err != nil || r.PinnedFirst != nil || !p.prefixes.Any(r.Prefix) {
		return c, err
	}
	other, err := p.cheapest(now, m, view, r)
	if err != nil || p.Cost(now, m, r, other)-p.Cost(now, m, r, c) > p.SavedMs(now, m, r, other)-p.SavedMs(now, m, r, c) {
		return c, nil
	}
	return other, nil
}

// sharedPrefix is what an engine saves of a request's prompt because requests of this
// node that run there have the same prefix.
type sharedPrefix struct {
	// layers are the layers in which the prefix is held, perLayerMs the time saved in
	// each of them, in ms.
	layers     layered.Range
	perLayerMs float64
}

// sharedPrefix returns what an engine saves of a request's prompt: the time to read the
// shared tokens, reduced by the utilization of the engine's KV cache, since an engine
// without free memory evicts what it holds. The saving is part of layerCost, so the cost
// of a stage stays positive. It is zero without a prefix.
func (p *Picker) sharedPrefix(now time.Time, m *layered.Model, r Request, e *directory.Upstream) sharedPrefix {
	tokens, layers := p.prefixes.Shared(e.ID, r.Prefix)
	if tokens <= 0 {
		return sharedPrefix{}
	}
	card, known := m.Cards[e.Card]
	if !known {
		card = layered.Card{StepFactor: 1, PrefillFactor: 1}
	}
	free := max(1-p.kvUtilization(now, m, e), 0)
	saved := m.PrefillMs(card, 1, min(tokens, r.PromptTokens)) * p.slowdownFactor(now, e.ID)
	return sharedPrefix{layers: layers, perLayerMs: saved * free}
}

// savedMs returns the time saved by a stage that runs the given layers, in ms.
func (s sharedPrefix) savedMs(stage layered.Range) float64 {
	return s.perLayerMs * float64(s.layers.Intersect(stage).Len())
}

// addPrefix adds a request's prefix to the prefixes on the engine of a stage (sign 1),
// or removes it (sign -1).
func (p *Picker) addPrefix(stage Stage, r Request, sign float64) {
	if sign > 0 {
		p.prefixes.Add(stage.Engine.ID, stage.Layers, r.Prefix)
	} else {
		p.prefixes.Remove(stage.Engine.ID, r.Prefix)
	}
}

// SavedMs returns the time that a chain is expected to save of a request because its
// engines hold a prefix of the prompt, in ms. The request is not yet counted on the
// chain.
func (p *Picker) SavedMs(now time.Time, m *layered.Model, r Request, c Chain) float64 {
	saved := 0.0
	for _, stage := range c {
		saved += p.sharedPrefix(now, m, r, stage.Engine).savedMs(stage.Layers)
	}
	return saved
}

// Package layered describes models whose layers are spread over several
// accelerators: the shape of a model, the kinds of accelerators, and the ranges
// of layers that engines hold.
package layered

import (
	"fmt"

	"mimosaarch.example/core/ids"
)

// Range is the layers From up to, not including, To. The zero Range is empty.
type Range struct {
	From, To int
}

// Len gives the number of layers.
func (r Range) Len() int { return max(r.To-r.From, 0) }

// Empty reports whether the range has no layers.
func (r Range) Empty() bool { return r.To <= r.From }

// Covers reports whether every layer of o is in r.
func (r Range) Covers(o Range) bool { return r.From <= o.From && o.To <= r.To }

// Intersect gives the layers that are in both ranges.
func (r Range) Intersect(o Range) Range {
	return Range{From: max(r.From, o.From), To: min(r.To, o.To)}
}

// String implements fmt.Stringer.
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.From, r.To) }

// Card is a kind of accelerator.
type Card struct {
	// MemoryMB holds weights and the KV cache of requests.
	MemoryMB float64
	// StepFactor multiplies the time of a decoding step.
	StepFactor float64
	// PrefillFactor multiplies the time of reading a prompt.
	PrefillFactor float64 `json:"ReadFactor"`
}

// Model is a model and the pace of its engines. Times are for all layers on a
// card of factor 1; a pass over a part of the layers takes that part of them.
type Model struct {
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the weight of one layer, in MB.
	LayerMB float64
	// KVTokenBytes is the KV cache of one token in all layers, in bytes.
	KVTokenBytes float64
	// StepMs is the time of one decoding step, in ms.
	StepMs float64
	// PerSequenceMs is added to a step for each request that is writing.
	PerSequenceMs float64
	// PerContextMs is added to a step for each 1,000 tokens of context.
	PerContextMs float64
	// PrefillTokensPerMs is how many prompt tokens are read in a ms.
	PrefillTokensPerMs float64 `json:"ReadPerMs"`
	// StepsPerPass is how many steps one pass makes.
	StepsPerPass int `json:"Stride"`
	// LoadSeconds is the time to load all layers, in s.
	LoadSeconds float64
	// MeanPromptTokens and MeanOutputTokens are the mean sizes of requests, in tokens.
	MeanPromptTokens float64 `json:"Prompt"`
	MeanOutputTokens float64 `json:"Answer"`
	// Cards are the kinds of accelerators by name.
	Cards map[string]Card
	// ActivationBytes is what one token hands on from stage to stage.
	ActivationBytes float64
	// ZoneLinkMbps is the rate of the way between two zones, which all share, 0 where
	// it is not known.
	ZoneLinkMbps float64 `json:"PipeMbps"`
}

// mb is the number of bytes in a MB, as the platform counts them.
const mb = 1e6

// Fits reports whether a card can hold so many layers.
func (m *Model) Fits(card Card, layers int) bool {
	return float64(layers)*m.LayerMB <= card.MemoryMB
}

// KVCapacityTokens gives the tokens of KV cache that fit beside so many layers of weights.
func (m *Model) KVCapacityTokens(card Card, layers int) float64 {
	if layers <= 0 || m.Layers <= 0 || m.KVTokenBytes <= 0 {
		return 0
	}
	free := (card.MemoryMB - float64(layers)*m.LayerMB) * mb
	perToken := m.KVTokenBytes / float64(m.Layers) * float64(layers)
	return max(free, 0) / perToken
}

// MaxWeightFraction gives the part of a card's memory that weights may take, 0 to 1, so that so
// many tokens of KV cache fit beside them, as Room tells; 0 where the cache is not known.
func (m *Model) MaxWeightFraction(tokens float64) float64 {
	weights := float64(m.Layers) * m.LayerMB * mb
	cache := tokens * m.KVTokenBytes
	if weights <= 0 || cache <= 0 {
		return 0
	}
	return weights / (weights + cache)
}

// share is the part of the model's layers.
func (m *Model) share(layers int) float64 { return float64(layers) / float64(max(m.Layers, 1)) }

// PassMs is the time of one decoding pass over so many layers, in ms, with so
// many requests writing, each with context tokens behind it.
func (m *Model) PassMs(card Card, layers int, writers, context float64) float64 {
	step := m.StepMs + writers*(m.PerSequenceMs+m.PerContextMs*context/1000)
	return float64(max(m.StepsPerPass, 1)) * step * card.StepFactor * m.share(layers)
}

// waitPart of a whole pass of an engine is waited at each stage for the pass that
// is under way, which on average is half done.
const waitPart = 0.5

// WaitMs is the time that a request waits at an engine before each of its passes,
// in ms; held is how many layers the engine holds.
func (m *Model) WaitMs(card Card, held int, writers, context float64) float64 {
	return waitPart * m.PassMs(card, held, writers, context)
}

// PrefillMs is the time to read a prompt through so many layers, in ms.
func (m *Model) PrefillMs(card Card, layers int, tokens float64) float64 {
	if m.PrefillTokensPerMs <= 0 {
		return 0
	}
	return tokens / m.PrefillTokensPerMs * card.PrefillFactor * m.share(layers)
}

// Life gives the life that a report speaks for: the one known, or a later one if
// its sender has started again.
func (r Report) Life(known ids.Instance) ids.Instance {
	if known.StartedMs == 0 {
		return known
	}
	return ids.Instance{Upstream: known.Upstream, StartedMs: max(known.StartedMs, r.Born)}
}

// ZoneLinkUtilization gives the part of the way between two zones that so many tokens a
// second take.
func (m *Model) ZoneLinkUtilization(tokensPerS float64) float64 {
	if m.ZoneLinkMbps <= 0 {
		return 0
	}
	return tokensPerS * m.ActivationBytes * bits / (m.ZoneLinkMbps * mb)
}

// bits is the number of bits in a byte.
const bits = 8

// Report is what an engine reports of itself, some hundred ms old.
type Report struct {
	// Born is the Unix time of its start in ms, 0 where it does not tell.
	Born int64
	// Slowdown over 1 means that it takes so many times as long as usual.
	Slowdown float64
	// Active and Queued count its requests.
	Active, Queued int
	// ExecutingOrder tells that it carries out an order; Orders counts those it began
	// since its start.
	ExecutingOrder bool
	OrdersStarted  int64
	// Layers is what it holds, empty for nothing.
	Layers Range
	// KVUsed and KVTotal are its KV cache, in tokens times layers.
	KVUsed, KVTotal float64
	// Stalled gives, for requests of which it is the first stage and that wait for
	// another one which does not answer it, the address of that one.
	Stalled map[ids.Request]string
}

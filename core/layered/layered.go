// Package layered describes models whose layers are spread over several engines:
// the sizes and speeds of a model, the types of accelerator cards, ranges of layers,
// and the reports of engines. Model is also the performance model that decisions
// about chains and placement estimate times and memory with.
package layered

import (
	"fmt"

	"mimosaarch.example/core/ids"
)

// Range is a range of layers, from From up to but not including To. The zero Range
// is empty.
type Range struct {
	From, To int
}

// Len returns the number of layers.
func (r Range) Len() int { return max(r.To-r.From, 0) }

// Empty reports whether the range has no layers.
func (r Range) Empty() bool { return r.To <= r.From }

// Covers reports whether every layer of o is in r.
func (r Range) Covers(o Range) bool { return r.From <= o.From && o.To <= r.To }

// Intersect returns the layers that are in both ranges. The result is empty, but not
// necessarily zero, if there are none.
func (r Range) Intersect(o Range) Range {
	return Range{From: max(r.From, o.From), To: min(r.To, o.To)}
}

// String implements fmt.Stringer: "from-to", where to is not included.
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.From, r.To) }

// Card is a type of accelerator card.
type Card struct {
	// MemoryMB is the memory for weights and the KV cache of requests.
	MemoryMB float64
	// StepFactor multiplies the time of a decoding step. A card of factor 1 is as
	// fast as the Model says.
	StepFactor float64
	// PrefillFactor multiplies the time of reading a prompt in the same way.
	PrefillFactor float64 `json:"ReadFactor"`
}

// Model is a model with the performance of its engines. Times are for all layers on
// a card of factor 1; a part of the layers takes the same part of the time. Nodes
// exchange it as JSON under the names of its fields or tags.
type Model struct {
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the size of the weights of one layer, in MB.
	LayerMB float64
	// KVTokenBytes is the size of the KV cache of one token in all layers, in bytes.
	KVTokenBytes float64
	// StepMs is the time of one decoding step without any requests, in ms.
	StepMs float64
	// PerSequenceMs is added to StepMs for each decoding request.
	PerSequenceMs float64
	// PerContextMs is added to StepMs for each 1,000 tokens of context of each
	// decoding request.
	PerContextMs float64
	// PrefillTokensPerMs is the number of prompt tokens read per ms.
	PrefillTokensPerMs float64 `json:"ReadPerMs"`
	// StepsPerPass is the number of decoding steps in one pass through the engines.
	StepsPerPass int `json:"Stride"`
	// LoadSeconds is the time to load the weights of all layers.
	LoadSeconds float64
	// MeanPromptTokens and MeanOutputTokens are the mean sizes of requests.
	MeanPromptTokens float64 `json:"Prompt"`
	MeanOutputTokens float64 `json:"Answer"`
	// Cards holds the types of accelerator cards by name.
	Cards map[string]Card
	// ActivationBytes is the size of the activations of one token that a stage
	// sends to the next, in bytes.
	ActivationBytes float64
	// ZoneLinkMbps is the capacity in Mbit/s of the link between two availability
	// zones, which all engines share; 0 when not known.
	ZoneLinkMbps float64 `json:"PipeMbps"`
}

// bytesPerMB is the number of bytes in a MB, as the platform counts them.
const bytesPerMB = 1e6

// Fits reports whether the weights of a number of layers fit on a card.
func (m *Model) Fits(card Card, layers int) bool {
	return float64(layers)*m.LayerMB <= card.MemoryMB
}

// KVCapacityTokens returns the number of tokens whose KV cache fits on a card besides
// the weights of a number of layers. It is 0 if the sizes are not known.
func (m *Model) KVCapacityTokens(card Card, layers int) float64 {
	if layers <= 0 || m.Layers <= 0 || m.KVTokenBytes <= 0 {
		return 0
	}
	free := (card.MemoryMB - float64(layers)*m.LayerMB) * bytesPerMB
	perToken := m.KVTokenBytes / float64(m.Layers) * float64(layers)
	return max(free, 0) / perToken
}

// MaxWeightFraction returns the largest fraction of a card's memory that weights may
// take, 0 to 1, so that KVCapacityTokens is at least tokens. It is 0 if the sizes are
// not known.
func (m *Model) MaxWeightFraction(tokens float64) float64 {
	weights := float64(m.Layers) * m.LayerMB * bytesPerMB
	cache := tokens * m.KVTokenBytes
	if weights <= 0 || cache <= 0 {
		return 0
	}
	return weights / (weights + cache)
}

// layerFraction returns a number of layers as a fraction of the model's layers.
func (m *Model) layerFraction(layers int) float64 {
	return float64(layers) / float64(max(m.Layers, 1))
}

// PassMs returns the time of one decoding pass over a number of layers, in ms, while
// a number of requests are decoding, each with the given number of context tokens.
func (m *Model) PassMs(card Card, layers int, decoding, context float64) float64 {
	step := m.StepMs + decoding*(m.PerSequenceMs+m.PerContextMs*context/1000)
	return float64(max(m.StepsPerPass, 1)) * step * card.StepFactor * m.layerFraction(layers)
}

// waitPassFraction is the fraction of an engine's pass that a request waits for at
// each stage, until the pass in progress ends. On average that is half done.
const waitPassFraction = 0.5

// WaitMs returns the time in ms that a request waits at an engine before each of its
// passes there. heldLayers is the number of layers that the engine holds; the other
// arguments are those of PassMs.
func (m *Model) WaitMs(card Card, heldLayers int, decoding, context float64) float64 {
	return waitPassFraction * m.PassMs(card, heldLayers, decoding, context)
}

// PrefillMs returns the time to read a prompt of a number of tokens through a number
// of layers, in ms; 0 if the speed is not known.
func (m *Model) PrefillMs(card Card, layers int, tokens float64) float64 {
	if m.PrefillTokensPerMs <= 0 {
		return 0
	}
	return tokens / m.PrefillTokensPerMs * card.PrefillFactor * m.layerFraction(layers)
}

// Instance returns the instance of the engine that sent the report: known, or a later one
// if the report has a later start time. If known has no start time, it is returned
// unchanged.
func (r Report) Instance(known ids.Instance) ids.Instance {
	if known.StartedMs == 0 {
		return known
	}
	return ids.Instance{Upstream: known.Upstream, StartedMs: max(known.StartedMs, r.StartedMs)}
}

// ZoneLinkUtilization returns the fraction of the capacity of the link between two
// zones that a number of tokens per second takes; 0 if the capacity is not known.
func (m *Model) ZoneLinkUtilization(tokensPerS float64) float64 {
	if m.ZoneLinkMbps <= 0 {
		return 0
	}
	return tokensPerS * m.ActivationBytes * bitsPerByte / (m.ZoneLinkMbps * bytesPerMB)
}

// bitsPerByte is the number of bits in a byte.
const bitsPerByte = 8

// Report is the state that an engine reports of itself. It is some hundred ms old when
// a node has it.
type Report struct {
	// StartedMs is the start time of the engine's process, in ms since the Unix epoch; 0
	// when not reported.
	StartedMs int64
	// Slowdown is the time that the engine takes per step as a multiple of the normal
	// time: 1 is normal, more is slower.
	Slowdown float64
	// Active and Queued are the numbers of requests that run and that wait.
	Active, Queued int
	// ExecutingOrder is set while the engine executes an order to load other layers.
	ExecutingOrder bool
	// OrdersStarted is the number of orders that the engine has started to execute
	// since its own start.
	OrdersStarted int64
	// Layers is the range of layers that the engine holds.
	Layers Range
	// KVUsed and KVTotal are the used and total size of the KV cache, in tokens times
	// layers.
	KVUsed, KVTotal float64
	// Stalled holds the requests that wait for a later stage which does not answer,
	// with the address of that stage. It contains only requests whose first stage
	// this engine is.
	Stalled map[ids.Request]string
	// Leaving is set if the engine says with the report that it is leaving.
	Leaving bool
}

// Package prefix identifies the prefixes that prompts share, and says where they are
// held. A server that holds the beginning of a prompt reads less of it, but only while
// it has memory and capacity, so both uses are hints of bounded cost:
//
//   - decide/balancer prefers one chain for each prefix, by Score.
//   - decide/chain discounts engines that are running requests with the same prefix, by
//     Running.
//
// The load that it addresses: many prompts begin with the same tokens, and engines
// read them again for each request. The package does no I/O and reads no clock.
package prefix

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Hash returns a hash of a prefix that consists of parts. Prefixes that are divided
// differently have different hashes.
func Hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, part := range parts {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part) // never fails
	}
	return d.Sum64()
}

// Score returns the score of an engine for a prefix (weighted rendezvous hashing). Of
// several engines the prefix prefers the one with the lowest score, each with a
// probability in proportion to its weight. engine is the hash of the engine's ID. The
// score is +Inf without weight.
func Score(prefix, engine uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	h := mix64(prefix ^ engine)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}

// mix64 mixes the bits of h like the last step of the splitmix64 generator.
func mix64(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Part is a part of a prompt that other prompts may share.
type Part struct {
	ID     ids.PromptPart
	Tokens float64
}

// Segment is a beginning of a prompt.
type Segment struct {
	hash uint64
	// tokens is the number of tokens from the prompt's first one on.
	tokens float64
}

// Segments returns the beginnings of a prompt that other prompts of the service may
// share, from the shortest to the longest. parts are the prompt's first parts in order.
func Segments(service ids.Service, parts []Part) []Segment {
	var segments []Segment
	last := Segment{hash: Hash(string(service))}
	for _, part := range parts {
		last = Segment{
			hash:   Hash(strconv.FormatUint(last.hash, 16), string(part.ID)),
			tokens: last.tokens + max(part.Tokens, 0),
		}
		segments = append(segments, last)
	}
	return segments
}

// Running holds the prefixes of the requests that run on each engine. Create it with
// NewRunning.
type Running struct {
	engines map[ids.Instance]map[uint64]*holding
}

// holding is a prefix on one engine: the number of requests that have it there, and the
// layers that all of them run there.
type holding struct {
	requests int
	layers   layered.Range
}

// NewRunning returns a Running without requests.
func NewRunning() *Running { return &Running{engines: make(map[ids.Instance]map[uint64]*holding)} }

// Add adds a request that runs layers of an engine.
func (r *Running) Add(id ids.Instance, layers layered.Range, prompt []Segment) {
	if len(prompt) > 0 && r.engines[id] == nil {
		r.engines[id] = make(map[uint64]*holding)
	}
	for _, s := range prompt {
		h := r.engines[id][s.hash]
		if h == nil {
			h = &holding{layers: layers}
			r.engines[id][s.hash] = h
		}
		h.requests++
		h.layers = h.layers.Intersect(layers)
	}
}

// Remove removes a request that was added with the same prompt.
func (r *Running) Remove(id ids.Instance, prompt []Segment) {
	for _, s := range prompt {
		h := r.engines[id][s.hash]
		if h == nil {
			continue
		}
		if h.requests--; h.requests <= 0 {
			delete(r.engines[id], s.hash)
		}
	}
	if len(r.engines[id]) == 0 {
		delete(r.engines, id)
	}
}

// Any reports whether a request on any engine shares a beginning of a prompt.
func (r *Running) Any(prompt []Segment) bool {
	if len(prompt) == 0 {
		return false
	}
	for _, held := range r.engines {
		if held[prompt[0].hash] != nil {
			return true
		}
	}
	return false
}

// Shared returns how many of a prompt's first tokens requests on an engine share, and
// the layers in which they do. It is 0 if there are none.
func (r *Running) Shared(id ids.Instance, prompt []Segment) (tokens float64, layers layered.Range) {
	held := r.engines[id]
	for i := len(prompt) - 1; i >= 0 && len(held) > 0; i-- {
		if h := held[prompt[i].hash]; h != nil {
			return prompt[i].tokens, h.layers
		}
	}
	return 0, layered.Range{}
}

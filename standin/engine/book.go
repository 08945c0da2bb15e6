package engine

import (
	"slices"
	"sync"

	"mimosaarch.example/core/engineapi"
)

// Run is the record of one request on this engine.
type Run struct {
	Request string `json:"request"`
	// Attempts started here as head, in the order of their starts; a number
	// that stands twice was run twice.
	Attempts []int `json:"attempts"`
	// Tokens produced here as head, over all attempts.
	Tokens int `json:"tokens"`
	// LayersPerToken counts the tokens by how many layers their steps cite.
	LayersPerToken map[int]int `json:"layers_per_token,omitempty"`
	// Inexact counts the tokens whose steps don't cite each layer once, in order.
	Inexact int `json:"inexact"`
	// Steps run on this engine's own layers, prompt steps included.
	Steps int `json:"steps"`
	// State of the newest attempt started here; empty when none was.
	State State `json:"state,omitempty"`
}

// book keeps the records of the newest requests. It is safe for concurrent use.
type book struct {
	// layers is the model's count.
	layers int

	mu    sync.Mutex
	known *boundedSet
	runs  map[string]*Run
}

// newBook makes an empty book of at most bound records.
func newBook(bound, layers int) *book {
	return &book{layers: layers, known: newBoundedSet(bound), runs: make(map[string]*Run)}
}

// record gives a request's record, made anew if need be. The caller holds the
// lock.
func (b *book) record(request string) *Run {
	r, ok := b.runs[request]
	if ok {
		return r
	}
	r = &Run{Request: request, LayersPerToken: make(map[int]int)}
	b.runs[request] = r
	if forgotten := b.known.add(request); forgotten != "" {
		delete(b.runs, forgotten)
	}
	return r
}

// start notes that an attempt started.
func (b *book) start(request string, attempt int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(request)
	r.Attempts = append(r.Attempts, attempt)
	r.State = StateRunning
}

// step notes a step of the engine's own layers.
func (b *book) step(request string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(request).Steps++
}

// token notes a token produced.
func (b *book) token(request string, token engineapi.Token) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(request)
	r.Tokens++
	count, exact := cited(token.Steps, b.layers)
	r.LayersPerToken[count]++
	if !exact {
		r.Inexact++
	}
}

// end notes how an attempt ended, unless a newer one has started.
func (b *book) end(request string, attempt int, state State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(request)
	if len(r.Attempts) > 0 && r.Attempts[len(r.Attempts)-1] == attempt {
		r.State = state
	}
}

// all copies the records, oldest first.
func (b *book) all() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Run, 0, len(b.runs))
	for _, request := range b.known.order {
		r := *b.runs[request]
		r.Attempts = slices.Clone(r.Attempts)
		layers := make(map[int]int, len(r.LayersPerToken))
		for count, tokens := range r.LayersPerToken {
			layers[count] = tokens
		}
		r.LayersPerToken = layers
		out = append(out, r)
	}
	return out
}

// cited counts the layers that steps cite, and reports whether they are each
// layer of the model once, in order.
func cited(steps []engineapi.Step, layers int) (count int, exact bool) {
	next := 0
	exact = true
	for _, s := range steps {
		count += s.Last - s.First + 1
		exact = exact && s.First == next
		next = s.Last + 1
	}
	return count, exact && next == layers
}

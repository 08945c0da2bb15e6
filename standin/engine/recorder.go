package engine

import (
	"slices"
	"sync"

	"mimosaarch.example/core/engineapi"
)

// Run records what an engine did for one request, so that tests can check how often
// it ran.
type Run struct {
	Request string `json:"request"`
	// Attempts lists the attempts started here as head, in the order of their
	// starts. A repeated number means that the attempt ran more than once.
	Attempts []int `json:"attempts"`
	// Tokens counts the tokens generated here as head, over all attempts.
	Tokens int `json:"tokens"`
	// LayersPerToken counts the tokens by the number of layers in their steps.
	LayersPerToken map[int]int `json:"layers_per_token,omitempty"`
	// Inexact counts the tokens whose steps do not list every layer once, in order.
	Inexact int `json:"inexact"`
	// Steps counts the steps run on this engine's own layers, including those of the
	// prompt.
	Steps int `json:"steps"`
	// State is that of the newest attempt started here, or empty if none was.
	State State `json:"state,omitempty"`
}

// recorder keeps the records of the newest requests. It is safe for concurrent use.
type recorder struct {
	// layers is the number of layers of the model.
	layers int

	mu       sync.Mutex
	requests *boundedSet // keys of runs
	runs     map[string]*Run
}

// newRecorder returns a recorder that keeps at most bound records. layers is the
// number of layers of the model.
func newRecorder(bound, layers int) *recorder {
	return &recorder{layers: layers, requests: newBoundedSet(bound), runs: make(map[string]*Run)}
}

// getOrCreate returns the record of a request. It creates a missing one and then
// evicts the oldest record beyond the bound. The caller holds the lock.
func (rec *recorder) getOrCreate(request string) *Run {
	r, ok := rec.runs[request]
	if ok {
		return r
	}
	r = &Run{Request: request, LayersPerToken: make(map[int]int)}
	rec.runs[request] = r
	if evicted := rec.requests.add(request); evicted != "" {
		delete(rec.runs, evicted)
	}
	return r
}

// attemptStarted records the start of an attempt with this engine as head.
func (rec *recorder) attemptStarted(request string, attempt int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.getOrCreate(request)
	r.Attempts = append(r.Attempts, attempt)
	r.State = StateRunning
}

// started reports whether the record of a request has an attempt with this engine as
// head.
func (rec *recorder) started(request string) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r, ok := rec.runs[request]
	return ok && len(r.Attempts) > 0
}

// stepRun records a step on the engine's own layers.
func (rec *recorder) stepRun(request string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.getOrCreate(request).Steps++
}

// tokenEmitted records a generated token.
func (rec *recorder) tokenEmitted(request string, token engineapi.Token) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.getOrCreate(request)
	r.Tokens++
	count, exact := countLayers(token.Steps, rec.layers)
	r.LayersPerToken[count]++
	if !exact {
		r.Inexact++
	}
}

// attemptEnded records the final state of an attempt, unless a newer attempt has
// started.
func (rec *recorder) attemptEnded(request string, attempt int, state State) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.getOrCreate(request)
	if len(r.Attempts) > 0 && r.Attempts[len(r.Attempts)-1] == attempt {
		r.State = state
	}
}

// snapshot returns a deep copy of the records, oldest first.
func (rec *recorder) snapshot() []Run {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := make([]Run, 0, len(rec.runs))
	for _, request := range rec.requests.order {
		r := *rec.runs[request]
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

// countLayers returns the number of layers listed in steps. exact reports whether
// they list every layer of the model once, in order.
func countLayers(steps []engineapi.Step, layers int) (count int, exact bool) {
	next := 0
	exact = true
	for _, s := range steps {
		count += s.Last - s.First + 1
		exact = exact && s.First == next
		next = s.Last + 1
	}
	return count, exact && next == layers
}

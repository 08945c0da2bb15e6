package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"mimosaarch.example/core/engineapi"
)

// State is the state of a run.
type State string

// States of a run.
const (
	StateRunning   State = "running"
	StateFinished  State = "finished"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// event is one token event of a stream. data is its encoding.
type event struct {
	token engineapi.Token
	data  []byte
	// cutAfter closes the connection of the first reader that gets the event, right
	// after it.
	cutAfter bool
	// stallBefore makes the run wait for its cancellation instead of sending the event.
	stallBefore bool
}

// tokenEvent returns the event of a token.
func tokenEvent(token engineapi.Token) event {
	return event{token: token, data: encode("id: "+strconv.Itoa(token.Index)+"\ndata: ", token)}
}

// doneEvent returns the encoded done event that ends a complete stream.
func doneEvent(done engineapi.Done) []byte {
	return encode("event: "+engineapi.DoneEvent+"\ndata: ", done)
}

// errorEvent returns the encoded error event that ends a failed stream.
func errorEvent(e engineapi.StreamError) []byte {
	return encode("event: "+engineapi.ErrorEvent+"\ndata: ", e)
}

// encode returns prefix, the JSON of value and the blank line that ends an event.
func encode(prefix string, value any) []byte {
	body, _ := json.Marshal(value)
	out := make([]byte, 0, len(prefix)+len(body)+2)
	out = append(out, prefix...)
	out = append(out, body...)
	return append(out, "\n\n"...)
}

// run is one attempt of a request on its head engine, with the newest events of its
// stream. It is safe for concurrent use.
type run struct {
	request string
	attempt int
	// firstIndex is the index of the first token of this attempt.
	firstIndex int
	// maxEvents limits the events kept.
	maxEvents int
	// linger is how long the run continues without readers.
	linger time.Duration
	cancel context.CancelFunc
	// recorder records each token and the final state.
	recorder *recorder

	mu     sync.Mutex
	state  State
	events []event
	// dropped counts the events no longer kept.
	dropped int
	// nextIndex is one above the highest token index emitted.
	nextIndex   int
	lastEvent   []byte // encoded done or error event; nil while the run is running
	readers     map[*streamReader]struct{}
	lingerTimer *time.Timer // cancels the run; nil until the first reader left
}

// newRun returns the run of an attempt; cancel stops the goroutine that executes it.
func newRun(req *engineapi.ChatRequest, cfg Config, rec *recorder, cancel context.CancelFunc) *run {
	return &run{
		request:    req.Request,
		attempt:    req.Attempt,
		firstIndex: len(req.Delivered),
		maxEvents:  cfg.KeepTokens,
		linger:     millis(cfg.LingerMs),
		cancel:     cancel,
		recorder:   rec,
		state:      StateRunning,
		nextIndex:  len(req.Delivered),
		readers:    make(map[*streamReader]struct{}),
	}
}

// emit adds an event, unless the run has ended, and drops the oldest event beyond
// maxEvents.
func (r *run) emit(ev event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != StateRunning {
		return
	}
	r.events = append(r.events, ev)
	r.recorder.tokenEmitted(r.request, ev.token)
	r.nextIndex = max(r.nextIndex, ev.token.Index+1)
	if len(r.events) > r.maxEvents {
		r.events = r.events[1:]
		r.dropped++
	}
	r.wakeReaders()
}

// end sets the final state and the encoded last event, unless the run has already
// ended.
func (r *run) end(state State, last []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLocked(state, last)
}

// endLocked does the work of end. The caller holds the lock.
func (r *run) endLocked(state State, last []byte) {
	if r.state != StateRunning {
		return
	}
	r.state = state
	r.lastEvent = last
	r.recorder.attemptEnded(r.request, r.attempt, state)
	if r.lingerTimer != nil {
		r.lingerTimer.Stop()
	}
	r.wakeReaders()
}

// stop cancels the run. It returns the state from before the call and the number of
// tokens of the answer, including those delivered by earlier attempts.
func (r *run) stop() (before State, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, tokens = r.state, r.nextIndex
	r.stopLocked()
	return before, tokens
}

// stopLocked does the work of stop. The caller holds the lock.
func (r *run) stopLocked() {
	last := engineapi.StreamError{Attempt: r.attempt, Code: engineapi.CodeCancelled}
	r.endLocked(StateCancelled, errorEvent(last))
	r.cancel()
}

// signal wakes the readers. The caller holds the lock.
func (r *run) wakeReaders() {
	for f := range r.readers {
		select {
		case f.changed <- struct{}{}:
		default:
		}
	}
}

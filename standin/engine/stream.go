package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"mimosaarch.example/core/engineapi"
)

// State is how far a run got.
type State string

// States of a run.
const (
	StateRunning   State = "running"
	StateFinished  State = "finished"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// event is one event of a stream.
type event struct {
	token engineapi.Token
	data  []byte
	// cut closes the connection after the event, once.
	cut bool
	// stalls stops the run before the event.
	stalls bool
}

// tokenEvent encodes a token.
func tokenEvent(token engineapi.Token) event {
	return event{token: token, data: encode("id: "+strconv.Itoa(token.Index)+"\ndata: ", token)}
}

// doneEvent encodes the end marker.
func doneEvent(done engineapi.Done) []byte {
	return encode("event: "+engineapi.DoneEvent+"\ndata: ", done)
}

// errorEvent encodes the error that ends a stream.
func errorEvent(e engineapi.StreamError) []byte {
	return encode("event: "+engineapi.ErrorEvent+"\ndata: ", e)
}

// encode gives one event with its value as JSON.
func encode(head string, value any) []byte {
	body, _ := json.Marshal(value)
	out := make([]byte, 0, len(head)+len(body)+2)
	out = append(out, head...)
	out = append(out, body...)
	return append(out, "\n\n"...)
}

// run is one attempt of a request on its head, with the stream it produced.
// It is safe for concurrent use.
type run struct {
	request string
	attempt int
	// base is the index of its first token.
	base int
	// keep bounds the events kept.
	keep   int
	linger time.Duration
	cancel context.CancelFunc
	// book is told of each token and of the end.
	book *book

	mu     sync.Mutex
	state  State
	events []event
	// dropped counts the events no longer kept.
	dropped int
	// next is the index after the last token emitted.
	next      int
	last      []byte
	followers map[*follower]struct{}
	abandoned *time.Timer
}

// newRun makes a run for a request; cancel stops its driver.
func newRun(req *engineapi.ChatRequest, cfg Config, b *book, cancel context.CancelFunc) *run {
	return &run{
		request:   req.Request,
		attempt:   req.Attempt,
		base:      len(req.Delivered),
		keep:      cfg.KeepTokens,
		linger:    millis(cfg.LingerMs),
		cancel:    cancel,
		book:      b,
		state:     StateRunning,
		next:      len(req.Delivered),
		followers: make(map[*follower]struct{}),
	}
}

// emit adds an event, unless the run has ended.
func (r *run) emit(ev event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != StateRunning {
		return
	}
	r.events = append(r.events, ev)
	r.book.token(r.request, ev.token)
	r.next = max(r.next, ev.token.Index+1)
	if len(r.events) > r.keep {
		r.events = r.events[1:]
		r.dropped++
	}
	r.signal()
}

// end ends the run with its last event, unless it has ended already.
func (r *run) end(state State, last []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLocked(state, last)
}

// endLocked is end for a caller that holds the lock.
func (r *run) endLocked(state State, last []byte) {
	if r.state != StateRunning {
		return
	}
	r.state = state
	r.last = last
	r.book.end(r.request, r.attempt, state)
	if r.abandoned != nil {
		r.abandoned.Stop()
	}
	r.signal()
}

// stop cancels the run and gives the state it was in before, with the count
// of the answer's tokens.
func (r *run) stop() (before State, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, tokens = r.state, r.next
	r.stopLocked()
	return before, tokens
}

// stopLocked is stop for a caller that holds the lock.
func (r *run) stopLocked() {
	last := engineapi.StreamError{Attempt: r.attempt, Code: engineapi.CodeCancelled}
	r.endLocked(StateCancelled, errorEvent(last))
	r.cancel()
}

// signal wakes the followers. The caller holds the lock.
func (r *run) signal() {
	for f := range r.followers {
		select {
		case f.changed <- struct{}{}:
		default:
		}
	}
}

package node

import (
	"context"
	"sync"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// calls holds the callers' calls of requests in flight, by request ID. It is
// safe for concurrent use.
type calls struct {
	mu   sync.Mutex
	byID map[ids.Request]*call.Call
}

// newCalls returns an empty set of calls.
func newCalls() *calls { return &calls{byID: make(map[ids.Request]*call.Call)} }

// add stores a call under its request ID.
func (c *calls) add(cl *call.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[cl.ID] = cl
}

// get returns the call of a request, or nil if it is not in flight.
func (c *calls) get(id ids.Request) *call.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// remove deletes the call of a request.
func (c *calls) remove(id ids.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, id)
}

// finishAll completes and removes every call with the same error.
func (c *calls) finishAll(err *outcome.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, cl := range c.byID {
		cl.Finish(err)
		delete(c.byID, id)
	}
}

// attempts holds the cancel functions of attempts in flight. It is safe for
// concurrent use.
type attempts struct {
	mu      sync.Mutex
	cancels map[attemptKey]context.CancelFunc
}

// attemptKey identifies one attempt of one request.
type attemptKey struct {
	id      ids.Request
	attempt ids.Attempt
}

// newAttempts returns an empty set of attempts.
func newAttempts() *attempts {
	return &attempts{cancels: make(map[attemptKey]context.CancelFunc)}
}

// start registers a new attempt and returns its context.
func (a *attempts) start(parent context.Context, key attemptKey) context.Context {
	ctx, cancel := context.WithCancel(parent)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancels[key] = cancel
	return ctx
}

// cancel cancels an attempt. It does nothing for an attempt that has ended.
func (a *attempts) cancel(key attemptKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.cancels[key]; ok {
		cancel()
	}
}

// end releases the context of an attempt and removes it.
func (a *attempts) end(key attemptKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.cancels[key]; ok {
		cancel()
		delete(a.cancels, key)
	}
}

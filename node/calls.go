package node

import (
	"context"
	"sync"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// calls holds the calls of requests in work. Any goroutine may use it.
type calls struct {
	mu   sync.Mutex
	byID map[ids.Request]*call.Call
}

// newCalls makes an empty set.
func newCalls() *calls { return &calls{byID: make(map[ids.Request]*call.Call)} }

// add keeps a call.
func (c *calls) add(k *call.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[k.ID] = k
}

// get gives a call; nil when it is not held.
func (c *calls) get(id ids.Request) *call.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// remove forgets a call.
func (c *calls) remove(id ids.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, id)
}

// finishAll gives every call held the same final answer.
func (c *calls) finishAll(err *outcome.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, work := range c.byID {
		work.Finish(err)
		delete(c.byID, id)
	}
}

// attempts holds the cancel functions of attempts in flight. Any goroutine
// may use it.
type attempts struct {
	mu      sync.Mutex
	cancels map[attemptKey]context.CancelFunc
}

// attemptKey names one attempt.
type attemptKey struct {
	id      ids.Request
	attempt ids.Attempt
}

// newAttempts makes an empty set.
func newAttempts() *attempts {
	return &attempts{cancels: make(map[attemptKey]context.CancelFunc)}
}

// start gives the context of a new attempt.
func (a *attempts) start(parent context.Context, key attemptKey) context.Context {
	ctx, cancel := context.WithCancel(parent)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancels[key] = cancel
	return ctx
}

// cancel stops an attempt; one that has ended is left alone.
func (a *attempts) cancel(key attemptKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.cancels[key]; ok {
		cancel()
	}
}

// end forgets an attempt.
func (a *attempts) end(key attemptKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.cancels[key]; ok {
		cancel()
		delete(a.cancels, key)
	}
}

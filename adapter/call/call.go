// Package call holds the data of one request while the node processes it: what
// the caller asked for, the tokens on their way to the caller, and the final
// answer. The adapters for callers and for upstreams share a Call; the decision
// loop sees neither bodies nor tokens.
package call

import (
	"context"
	"sync"
	"time"

	"mimosaarch.example/adapter/ring"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// Defaults of Options.
const (
	DefaultCapacity   = 64
	DefaultStallAfter = 10 * time.Second
)

// Options configures the token buffer of a Call. Zero fields stand for the
// defaults.
type Options struct {
	// Capacity is the most tokens buffered for the caller. Default 64.
	Capacity int
	// StallAfter is how long Push waits for room in the buffer before the
	// caller counts as too slow. Default 10s.
	StallAfter time.Duration
}

// PlainCall is a request to a plain service, which is an HTTP service that
// answers with one complete response instead of a stream of tokens.
type PlainCall struct {
	Method string
	// Path is decoded, normalized and starts with "/". Query is as the caller
	// sent it, without "?".
	Path, Query string
	// Header has the name and value of each header that is passed to the
	// upstream.
	Header [][2]string
	Body   []byte
}

// PlainAnswer is the complete response of a plain service.
type PlainAnswer struct {
	Status int
	// Header has the name and value of each header that is passed to the
	// caller.
	Header [][2]string
	Body   []byte
}

// Call is one request. The exported fields are set before the Call is shared
// and do not change afterwards. Only one goroutine at a time may call Push. The
// other methods are safe for concurrent use.
type Call struct {
	ID ids.Request
	// Chat is the chat request, with Messages, Model, MaxTokens and Priority
	// set. It is nil for a plain call.
	Chat *engineapi.ChatRequest
	// Plain is the request to a plain service. It is nil for a chat request.
	Plain *PlainCall
	// Stream is true if the caller wants each token as soon as it is generated.
	Stream bool

	options Options
	tokens  *ring.Ring[engineapi.Token]
	// callCtx ends with Finish. callerCtx ends with MarkCallerGone or with
	// callCtx.
	callCtx, callerCtx context.Context
	endCall, endCaller context.CancelFunc

	mu           sync.Mutex
	delivered    []string
	finishReason string
	answer       *PlainAnswer
	finished     bool
	err          *outcome.Error
}

// New returns a Call without tokens or answer.
func New(id ids.Request, o Options) *Call {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.StallAfter <= 0 {
		o.StallAfter = DefaultStallAfter
	}
	callCtx, endCall := context.WithCancel(context.Background())
	callerCtx, endCaller := context.WithCancel(callCtx)
	return &Call{
		ID:        id,
		options:   o,
		tokens:    ring.New[engineapi.Token]("call", o.Capacity),
		callCtx:   callCtx,
		endCall:   endCall,
		callerCtx: callerCtx,
		endCaller: endCaller,
	}
}

// Push queues the next token for the caller and records its text as delivered.
// If the buffer is full it waits until there is room, ctx ends, the call is
// finished, or StallAfter has passed. After MarkCallerGone it only records the
// token. On an error the token does not count as delivered. Errors:
// *TokenOrderError, *SlowCallerError, *FinishedError, and *ring.WaitError if
// ctx ended.
func (c *Call) Push(ctx context.Context, t engineapi.Token) error {
	if err := c.checkNext(t); err != nil {
		return err
	}
	if err := c.enqueue(ctx, t); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivered = append(c.delivered, t.Text)
	return nil
}

// checkNext returns an error if the call is finished or t is not the next
// token.
func (c *Call) checkNext(t engineapi.Token) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return &FinishedError{ID: c.ID}
	}
	if t.Index != len(c.delivered) {
		return &TokenOrderError{Want: len(c.delivered), Got: t.Index}
	}
	return nil
}

// enqueue queues a token. It first tries without waiting, because a wait needs
// timers.
func (c *Call) enqueue(ctx context.Context, t engineapi.Token) error {
	if c.callerCtx.Err() != nil || c.tokens.Offer(t) == nil {
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, c.options.StallAfter)
	defer cancel()
	stop := context.AfterFunc(c.callerCtx, cancel)
	defer stop()
	err := c.tokens.Put(wait, t)
	switch {
	case err == nil:
		return nil
	case c.callCtx.Err() != nil:
		return &FinishedError{ID: c.ID}
	case c.callerCtx.Err() != nil:
		return nil
	case ctx.Err() != nil:
		return err
	default:
		return &SlowCallerError{ID: c.ID, After: c.options.StallAfter}
	}
}

// Tokens returns the channel of the tokens for the caller, in order. The
// channel is never closed: after Done is closed, the reader takes the tokens
// still buffered.
func (c *Call) Tokens() <-chan engineapi.Token { return c.tokens.Out() }

// MarkCallerGone records that the caller has disconnected and nobody reads
// tokens any more. Push no longer waits for room, so that an attempt that
// continues is not blocked.
func (c *Call) MarkCallerGone() { c.endCaller() }

// Delivered returns a copy of the texts of the tokens delivered so far, over
// all attempts.
func (c *Call) Delivered() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.delivered...)
}

// TokenCount returns the number of tokens delivered so far, over all attempts.
func (c *Call) TokenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.delivered)
}

// SetFinishReason records the finish reason from the model's end marker.
func (c *Call) SetFinishReason(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishReason = reason
}

// FinishReason returns the recorded finish reason, or "" if there is none.
func (c *Call) FinishReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finishReason
}

// SetAnswer records the response of a plain service. It has no effect after
// Finish.
func (c *Call) SetAnswer(a PlainAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.finished {
		c.answer = &a
	}
}

// Answer returns the recorded response of a plain service, or nil if there is
// none.
func (c *Call) Answer() *PlainAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer
}

// Finish ends the call. err is nil if the whole answer was delivered. Only the
// first call of Finish has an effect.
func (c *Call) Finish(err *outcome.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	c.finished = true
	c.err = err
	c.endCall()
}

// Done returns a channel that is closed by Finish.
func (c *Call) Done() <-chan struct{} { return c.callCtx.Done() }

// Err returns the error passed to Finish, or nil before Finish.
func (c *Call) Err() *outcome.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

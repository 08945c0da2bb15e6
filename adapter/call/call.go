// Package call holds the data of one request while the node works on it: what
// the caller asked, the tokens on their way back, and the final answer. The
// caller-side and upstream-side adapters meet here; the decision loop sees
// neither bodies nor tokens.
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

// Options bounds the answer side of a Call. Zero fields take the defaults.
type Options struct {
	// Capacity is the most tokens waiting for the caller.
	Capacity int
	// StallAfter is how long Push waits for a caller that takes no token.
	StallAfter time.Duration
}

// PlainCall is one call of a plain service.
type PlainCall struct {
	Method string
	// Path is decoded and normalised and starts with "/"; Query is as the
	// caller wrote it, without "?".
	Path, Query string
	// Header is the pairs of name and value that may pass to the upstream.
	Header [][2]string
	Body   []byte
}

// PlainAnswer is a plain service's whole answer.
type PlainAnswer struct {
	Status int
	// Header is the pairs of name and value that may pass to the caller.
	Header [][2]string
	Body   []byte
}

// Call is one request. The exported fields are set before it is handed over
// and never changed after. One goroutine at a time may call Push; any
// goroutine may call the other methods.
type Call struct {
	ID ids.Request
	// Chat is a model request with Messages, Model, MaxTokens and Priority
	// set; nil for a plain call.
	Chat *engineapi.ChatRequest
	// Plain is a plain call; nil for a model request.
	Plain *PlainCall
	// Stream tells that the caller wants its tokens as they come.
	Stream bool

	options Options
	tokens  *ring.Ring[engineapi.Token]
	// life ends with Finish; reader ends with MarkCallerGone or with life.
	life, reader  context.Context
	end, markGone context.CancelFunc

	mu        sync.Mutex
	delivered []string
	finish    string
	answer    *PlainAnswer
	finished  bool
	err       *outcome.Error
}

// New makes a Call with an empty answer.
func New(id ids.Request, o Options) *Call {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.StallAfter <= 0 {
		o.StallAfter = DefaultStallAfter
	}
	life, end := context.WithCancel(context.Background())
	reader, leave := context.WithCancel(life)
	return &Call{
		ID:       id,
		options:  o,
		tokens:   ring.New[engineapi.Token]("call", o.Capacity),
		life:     life,
		end:      end,
		reader:   reader,
		markGone: leave,
	}
}

// Push hands the next token to the caller's side and notes its text as
// delivered. It waits for room until ctx ends, the call is finished, or the
// caller has taken no token for StallAfter. After MarkCallerGone the token is only
// noted. Errors: *TokenOrderError, *SlowCallerError,
// *FinishedError, *ring.WaitError when ctx ended; the token then does not
// count as delivered.
func (c *Call) Push(ctx context.Context, t engineapi.Token) error {
	if err := c.check(t); err != nil {
		return err
	}
	if err := c.put(ctx, t); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivered = append(c.delivered, t.Text)
	return nil
}

// check refuses a token that is not the next one or comes after the end.
func (c *Call) check(t engineapi.Token) error {
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

// put offers the token first, since a wait needs timers.
func (c *Call) put(ctx context.Context, t engineapi.Token) error {
	if c.reader.Err() != nil || c.tokens.Offer(t) == nil {
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, c.options.StallAfter)
	defer cancel()
	stop := context.AfterFunc(c.reader, cancel)
	defer stop()
	err := c.tokens.Put(wait, t)
	switch {
	case err == nil:
		return nil
	case c.life.Err() != nil:
		return &FinishedError{ID: c.ID}
	case c.reader.Err() != nil:
		return nil
	case ctx.Err() != nil:
		return err
	default:
		return &SlowCallerError{ID: c.ID, After: c.options.StallAfter}
	}
}

// Tokens gives the channel of delivered tokens, in order. It is never closed:
// Done tells the end, after which the tokens still in it are to be taken.
func (c *Call) Tokens() <-chan engineapi.Token { return c.tokens.Out() }

// MarkCallerGone tells that nobody takes tokens any more: the caller went away. Work
// that goes on all the same is then not held up.
func (c *Call) MarkCallerGone() { c.markGone() }

// Delivered gives a copy of the texts delivered so far, over all attempts.
func (c *Call) Delivered() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.delivered...)
}

// TokenCount is the number of tokens delivered so far, over all attempts.
func (c *Call) TokenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.delivered)
}

// SetFinishReason notes why the model stopped, as its end marker said.
func (c *Call) SetFinishReason(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish = reason
}

// FinishReason gives what SetFinishReason noted; empty when nothing.
func (c *Call) FinishReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finish
}

// SetAnswer notes the whole answer of a plain service. An answer given after
// Finish is dropped.
func (c *Call) SetAnswer(a PlainAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.finished {
		c.answer = &a
	}
}

// Answer gives what SetAnswer noted; nil when nothing.
func (c *Call) Answer() *PlainAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer
}

// Finish ends the call; err is nil when the whole answer was delivered. Only
// the first call counts.
func (c *Call) Finish(err *outcome.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	c.finished = true
	c.err = err
	c.end()
}

// Done is closed by Finish.
func (c *Call) Done() <-chan struct{} { return c.life.Done() }

// Err gives what Finish was told. Before Done is closed it is nil.
func (c *Call) Err() *outcome.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

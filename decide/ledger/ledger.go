// Package ledger checks the token stream of one attempt before it reaches the
// caller. Every token must list each layer of the model exactly once, in order,
// and tokens are passed on in index order, each once. A bounded number of tokens
// that arrive out of order is buffered. The package is pure: it does no I/O and
// reads no clock.
package ledger

import (
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
)

// Ledger checks the tokens of one attempt. It is not safe for concurrent use.
type Ledger struct {
	layers  int
	attempt ids.Attempt
	// chain holds the steps that every token must list. For a rejoined stream it
	// is empty until the first token arrives.
	chain  []engineapi.Step
	head   string
	next   int
	buffer reorderBuffer
	ready  []engineapi.Token
	stale  int
	// endErr is returned by all calls after a violation or the end marker.
	endErr error
}

// New returns the Ledger of an attempt that runs on chain. If the engines of the
// chain do not cover each layer exactly once, in order, every token is rejected.
// next is the index of the first expected token, and maxBuffered the number of
// out-of-order tokens that are buffered.
func New(chain topology.Chain, layers int, attempt ids.Attempt, next, maxBuffered int) *Ledger {
	l := newLedger(layers, attempt, next, maxBuffered)
	for _, e := range chain {
		l.chain = append(l.chain, engineapi.Step{Engine: string(e.ID), First: e.First, Last: e.Last})
	}
	if !chain.Tiles(layers) {
		l.endErr = &StepsError{Index: next, Layers: layers}
	}
	return l
}

// NewRejoin returns the Ledger of a rejoined stream of which only the first
// engine, head, is known. The chain is taken from the first token: its steps
// must cover each layer exactly once, in order, starting at head. All later
// tokens must list the same steps.
func NewRejoin(head ids.Upstream, layers int, attempt ids.Attempt, next, maxBuffered int) *Ledger {
	l := newLedger(layers, attempt, next, maxBuffered)
	l.head = string(head)
	return l
}

func newLedger(layers int, attempt ids.Attempt, next, maxBuffered int) *Ledger {
	maxBuffered = max(maxBuffered, 0)
	return &Ledger{
		layers:  layers,
		attempt: attempt,
		next:    next,
		buffer:  newReorderBuffer(maxBuffered),
		ready:   make([]engineapi.Token, 0, maxBuffered+1),
	}
}

// Accept checks a received token and returns the tokens that can now be passed
// on, in index order. The slice and the Steps of its tokens are valid until the
// next call. A token of another attempt is dropped and counted by Stale. Errors
// are *StepsError, *RepeatedError, *SkippedError and *EndedError. After an error
// the attempt is over, and all later calls return the same error.
func (l *Ledger) Accept(t engineapi.Token) (ready []engineapi.Token, err error) {
	if l.endErr != nil {
		return nil, l.endErr
	}
	if ids.Attempt(t.Attempt) != l.attempt {
		l.stale++
		return nil, nil
	}
	if err := l.check(t); err != nil {
		l.endErr = err
		return nil, err
	}
	if t.Index != l.next {
		l.buffer.put(t)
		return nil, nil
	}
	return l.releaseFrom(t), nil
}

// check checks a token of this attempt.
func (l *Ledger) check(t engineapi.Token) error {
	if t.Index < l.next || l.buffer.has(t.Index) {
		return &RepeatedError{Index: t.Index, Next: l.next}
	}
	if t.Index > l.next+l.buffer.capacity() {
		return &SkippedError{Want: l.next, Got: t.Index}
	}
	if len(l.chain) == 0 {
		return l.learnChain(t)
	}
	return l.checkSteps(t)
}

// checkSteps compares the steps of a token with the chain.
func (l *Ledger) checkSteps(t engineapi.Token) error {
	if len(t.Steps) != len(l.chain) {
		return &StepsError{Index: t.Index, Layers: l.layers}
	}
	for i, want := range l.chain {
		if t.Steps[i] != want {
			return &StepsError{Index: t.Index, Stage: i, Got: t.Steps[i], Layers: l.layers}
		}
	}
	return nil
}

// learnChain takes the chain from the first token of a rejoined stream.
func (l *Ledger) learnChain(t engineapi.Token) error {
	first := 0
	for i, s := range t.Steps {
		if s.First != first || s.Last < s.First || (i == 0 && s.Engine != l.head) {
			return &StepsError{Index: t.Index, Stage: i, Got: s, Layers: l.layers}
		}
		first = s.Last + 1
	}
	if len(t.Steps) == 0 || first != l.layers {
		return &StepsError{Index: t.Index, Layers: l.layers}
	}
	l.chain = append(l.chain, t.Steps...)
	return nil
}

// releaseFrom returns the next expected token and the buffered tokens that
// follow it without a gap.
func (l *Ledger) releaseFrom(t engineapi.Token) []engineapi.Token {
	l.ready = append(l.ready[:0], t)
	l.next++
	for l.buffer.has(l.next) {
		l.ready = append(l.ready, l.buffer.take(l.next))
		l.next++
	}
	return l.ready
}

// Done checks the end marker. It returns a *StaleError if the marker belongs to
// another attempt; apart from the Stale count, this changes nothing. It returns
// a *CountError, *SkippedError or *EndedError if the stream is incomplete or has
// ended already, and the attempt is then over.
func (l *Ledger) Done(d engineapi.Done) error {
	if l.endErr != nil {
		return l.endErr
	}
	if ids.Attempt(d.Attempt) != l.attempt {
		l.stale++
		return &StaleError{Want: l.attempt, Got: ids.Attempt(d.Attempt)}
	}
	if err := l.checkDone(d); err != nil {
		l.endErr = err
		return err
	}
	l.endErr = &EndedError{Tokens: l.next}
	return nil
}

// checkDone checks the end marker of this attempt.
func (l *Ledger) checkDone(d engineapi.Done) error {
	if l.buffer.count > 0 {
		return &SkippedError{Want: l.next, Got: l.buffer.lowest(l.next)}
	}
	if d.Tokens != l.next {
		return &CountError{Want: l.next, Got: d.Tokens}
	}
	return nil
}

// Next returns the index of the next token to be passed on.
func (l *Ledger) Next() int { return l.next }

// Buffered returns the number of tokens that wait for an earlier one.
func (l *Ledger) Buffered() int { return l.buffer.count }

// Stale returns the number of dropped tokens and end markers of other attempts.
func (l *Ledger) Stale() int { return l.stale }

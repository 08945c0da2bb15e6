// Package ledger checks the tokens of one attempt before they reach the
// caller: every token cites each layer of the model exactly once, in order,
// and tokens come out in index order, each once. It is pure and holds a
// bounded number of tokens.
package ledger

import (
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
)

// Ledger checks one attempt. It is not safe for concurrent use.
type Ledger struct {
	layers  int
	attempt ids.Attempt
	// chain is the steps that every token must cite; empty until the first
	// token of a rejoined stream shows them.
	chain []engineapi.Step
	head  string
	next  int
	held  held
	ready []engineapi.Token
	stale int
	// ended is set by a violation or by the end marker; nothing is taken
	// after it.
	ended error
}

// New makes the ledger of an attempt that runs on chain, whose engines must
// tile the layers: else every token is refused. next is the index of the
// first token wanted; reorder is the most tokens held back until their turn.
func New(chain topology.Chain, layers int, attempt ids.Attempt, next, reorder int) *Ledger {
	l := newLedger(layers, attempt, next, reorder)
	for _, e := range chain {
		l.chain = append(l.chain, engineapi.Step{Engine: string(e.ID), First: e.First, Last: e.Last})
	}
	if !chain.Tiles(layers) {
		l.ended = &StepsError{Index: next, Layers: layers}
	}
	return l
}

// NewRejoin makes the ledger of a rejoined stream of which only the head is
// known. The first token shows the chain: its steps must tile the layers,
// the head first, and all later tokens must cite the same steps.
func NewRejoin(head ids.Upstream, layers int, attempt ids.Attempt, next, reorder int) *Ledger {
	l := newLedger(layers, attempt, next, reorder)
	l.head = string(head)
	return l
}

func newLedger(layers int, attempt ids.Attempt, next, reorder int) *Ledger {
	reorder = max(reorder, 0)
	return &Ledger{
		layers:  layers,
		attempt: attempt,
		next:    next,
		held:    newHeld(reorder),
		ready:   make([]engineapi.Token, 0, reorder+1),
	}
}

// Accept takes one token as it came. ready is the tokens whose turn it now
// is, in order; the slice and the tokens' Steps hold until the next call.
// A token of another attempt is dropped and counted by Stale. Errors:
// *StepsError, *RepeatedError, *SkippedError, *EndedError; the attempt is then
// over, ready is nil, and every later call gives the same error.
func (l *Ledger) Accept(t engineapi.Token) (ready []engineapi.Token, err error) {
	if l.ended != nil {
		return nil, l.ended
	}
	if ids.Attempt(t.Attempt) != l.attempt {
		l.stale++
		return nil, nil
	}
	if err := l.check(t); err != nil {
		l.ended = err
		return nil, err
	}
	if t.Index != l.next {
		l.held.put(t)
		return nil, nil
	}
	return l.release(t), nil
}

// check finds what is wrong with a token of this attempt.
func (l *Ledger) check(t engineapi.Token) error {
	if t.Index < l.next || l.held.has(t.Index) {
		return &RepeatedError{Index: t.Index, Next: l.next}
	}
	if t.Index > l.next+l.held.capacity() {
		return &SkippedError{Want: l.next, Got: t.Index}
	}
	if len(l.chain) == 0 {
		return l.learn(t)
	}
	return l.checkSteps(t)
}

// checkSteps compares a token's steps with the chain's.
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

// learn takes the chain from a rejoined stream's first token.
func (l *Ledger) learn(t engineapi.Token) error {
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

// release gives out the token whose turn it is and the held ones after it.
func (l *Ledger) release(t engineapi.Token) []engineapi.Token {
	l.ready = append(l.ready[:0], t)
	l.next++
	for l.held.has(l.next) {
		l.ready = append(l.ready, l.held.take(l.next))
		l.next++
	}
	return l.ready
}

// Done takes the end marker. Errors: *StaleError when it belongs to another
// attempt, which changes nothing else than the Stale count; *CountError,
// *SkippedError or *EndedError when the answer is not whole, and the attempt is over.
func (l *Ledger) Done(d engineapi.Done) error {
	if l.ended != nil {
		return l.ended
	}
	if ids.Attempt(d.Attempt) != l.attempt {
		l.stale++
		return &StaleError{Want: l.attempt, Got: ids.Attempt(d.Attempt)}
	}
	if err := l.checkDone(d); err != nil {
		l.ended = err
		return err
	}
	l.ended = &EndedError{Tokens: l.next}
	return nil
}

// checkDone finds what is wrong with the end marker.
func (l *Ledger) checkDone(d engineapi.Done) error {
	if l.held.count > 0 {
		return &SkippedError{Want: l.next, Got: l.held.lowest(l.next)}
	}
	if d.Tokens != l.next {
		return &CountError{Want: l.next, Got: d.Tokens}
	}
	return nil
}

// Next is the index of the next token to come out.
func (l *Ledger) Next() int { return l.next }

// Buffered is the count of tokens held back until their turn.
func (l *Ledger) Buffered() int { return l.held.count }

// Stale is the count of tokens and end markers of other attempts dropped.
func (l *Ledger) Stale() int { return l.stale }

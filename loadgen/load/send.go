package load

import (
	"context"
	"errors"
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/client"
)

// Reasons that the load generator sets for a request that is not complete and
// for which the node gave no reason.
const (
	// NoAnswer means that no answer came, or one without a reason.
	NoAnswer outcome.Reason = "no_answer"
	// CutOff means that a streamed answer ended without its end marker.
	CutOff outcome.Reason = "cut_off"
)

// send sends a request that was due at a time, retries it when a refusal advises
// a delay, and passes its sample to the observer.
func (r *Run) send(ctx context.Context, it item, due time.Time) {
	r.counts.sent.Add(1)
	s := &Sample{Due: due, Sent: time.Now(), Account: it.account, Plain: it.plain != nil}
	for {
		retryAfter := r.attempt(ctx, it, s)
		if retryAfter <= 0 || s.Retries >= r.settings.MaxRetries || !sleep(ctx, retryAfter) {
			break
		}
		s.Retries++
	}
	s.End = time.Now()
	r.counts.addEnded(s)
	r.settings.Observer.Observe(s)
}

// observeNotSent counts a request that was due while MaxInFlight requests were
// in flight, and passes its sample to the observer.
func (r *Run) observeNotSent(due time.Time) {
	r.counts.notSent.Add(1)
	r.settings.Observer.Observe(&Sample{Due: due, NotSent: true})
}

// sleep waits for d. It returns false if ctx is cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends a request once, to the next node, and overwrites the sample with
// the result. It returns how long to wait before a retry; 0 means no retry.
func (r *Run) attempt(ctx context.Context, it item, s *Sample) time.Duration {
	node := int(r.nextNode.Add(1)-1) % len(r.clients)
	s.Node = r.settings.Nodes[node]
	s.Tokens = s.Tokens[:0]
	caller := r.clients[node][it.account]
	var result client.Result
	var err error
	if it.plain != nil {
		result, err = r.plain(ctx, caller, *it.plain, s)
	} else {
		result, err = r.chat(ctx, caller, *it.chat, s)
	}
	s.Outcome, s.Reason, s.Request = result.Outcome, result.Reason, result.Request
	if s.Reason == "" && s.Outcome != outcome.Complete {
		s.Reason = reasonOf(err)
	}
	if s.Outcome != outcome.NotRun {
		return 0
	}
	return result.RetryAfter
}

// reasonOf returns the reason of a failure for which the node gave none.
func reasonOf(err error) outcome.Reason {
	if _, cut := errors.AsType[*client.CutOffError](err); cut {
		return CutOff
	}
	return NoAnswer
}

// chat sends a model request, notes when its tokens arrive, and checks the text
// received, also if it is incomplete.
func (r *Run) chat(ctx context.Context, caller *client.Client, chat client.Chat, s *Sample) (client.Result, error) {
	chat.Deadline = r.settings.Deadline
	chat.OnToken = func(int, string) {
		s.Tokens = append(s.Tokens, time.Now())
		r.counts.tokens.Add(1)
	}
	result, err := caller.Chat(ctx, chat)
	if c := r.settings.Checker; c != nil {
		complete := result.Outcome == outcome.Complete
		s.Wrong = !c.Chat(chat.Messages, chat.MaxTokens, result.Text, complete)
	}
	return result, err
}

// plain calls the plain service and checks a complete answer.
func (r *Run) plain(ctx context.Context, caller *client.Client, call client.PlainCall, s *Sample) (client.Result, error) {
	call.Deadline = r.settings.Deadline
	result, err := caller.Plain(ctx, call)
	if c := r.settings.Checker; c != nil && result.Outcome == outcome.Complete {
		s.Wrong = !c.Plain(call, result.Status, result.Body)
	}
	return result, err
}

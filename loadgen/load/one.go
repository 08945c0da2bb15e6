package load

import (
	"context"
	"errors"
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/client"
)

// Reasons of the tool's own, where a node gave none.
const (
	// NoAnswer: no answer came, or one without an outcome.
	NoAnswer outcome.Reason = "no_answer"
	// CutOff: the answer ended without its end marker.
	CutOff outcome.Reason = "cut_off"
)

// one sends a request that was due at a time, and again after advice to come
// back, and tells the observer what became of it.
func (r *Run) one(ctx context.Context, it item, due time.Time) {
	r.counts.sent.Add(1)
	s := &Sample{Due: due, Sent: time.Now(), Account: it.account, Plain: it.plain != nil}
	for {
		retryAfter := r.try(ctx, it, s)
		if retryAfter <= 0 || s.Retries >= r.settings.MaxRetries || !sleep(ctx, retryAfter) {
			break
		}
		s.Retries++
	}
	s.End = time.Now()
	r.counts.done(s)
	r.settings.Observer.Observe(s)
}

// notSent tells of a request that the tool had no caller for.
func (r *Run) notSent(due time.Time) {
	r.counts.notSent.Add(1)
	r.settings.Observer.Observe(&Sample{Due: due, NotSent: true})
}

// sleep waits; false when ctx ended first.
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

// try sends a request once; the sample then tells of this try. It gives when
// to come back, 0 for no advice.
func (r *Run) try(ctx context.Context, it item, s *Sample) time.Duration {
	node := int(r.turn.Add(1)-1) % len(r.clients)
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
		s.Reason = ownReason(err)
	}
	if s.Outcome != outcome.NotRun {
		return 0
	}
	return result.RetryAfter
}

// ownReason names a failure that the node gave no reason for.
func ownReason(err error) outcome.Reason {
	if _, cut := errors.AsType[*client.CutOffError](err); cut {
		return CutOff
	}
	return NoAnswer
}

// chat sends a model request.
func (r *Run) chat(ctx context.Context, caller *client.Client, chat client.Chat, s *Sample) (client.Result, error) {
	chat.Deadline = r.settings.Deadline
	chat.OnToken = func(int, string) {
		s.Tokens = append(s.Tokens, time.Now())
		r.counts.tokens.Add(1)
	}
	result, err := caller.Chat(ctx, chat)
	if c := r.settings.Checker; c != nil {
		whole := result.Outcome == outcome.Complete
		s.Wrong = !c.Chat(chat.Messages, chat.MaxTokens, result.Text, whole)
	}
	return result, err
}

// plain calls the plain service.
func (r *Run) plain(ctx context.Context, caller *client.Client, call client.PlainCall, s *Sample) (client.Result, error) {
	call.Deadline = r.settings.Deadline
	result, err := caller.Plain(ctx, call)
	if c := r.settings.Checker; c != nil && result.Outcome == outcome.Complete {
		s.Wrong = !c.Plain(call, result.Status, result.Body)
	}
	return result, err
}

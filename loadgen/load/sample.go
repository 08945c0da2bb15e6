package load

import (
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/client"
)

// Sample is the record of one request. Times are of the load generator's clock.
type Sample struct {
	// Node is the address that the last attempt was sent to.
	Node string
	// Account is the index of the account in Mix.Accounts.
	Account int
	// Plain is true for a call of a plain service and false for a model
	// request.
	Plain bool
	// Due is the scheduled time of the request. Latencies count from it, so
	// that they include the delay of a load generator that falls behind. Sent
	// is when the first attempt began, End when the last one ended.
	Due, Sent, End time.Time
	// Tokens are the arrival times of the last attempt's tokens.
	Tokens  []time.Time
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Request is the node's ID of the request; may be empty.
	Request ids.Request
	// Wrong is true if the answer, or the received part of it, is not the
	// expected one.
	Wrong bool
	// Retries is the number of attempts after the first. Each follows a
	// refusal.
	Retries int
	// NotSent is true if the request was due while MaxInFlight requests were
	// in flight. Only Due is set with it.
	NotSent bool
}

// Complete reports whether a complete answer came that is not wrong.
func (s *Sample) Complete() bool { return s.Outcome == outcome.Complete && !s.Wrong && !s.NotSent }

// Observer receives the sample of each request when it has ended. It must be
// safe for concurrent use.
type Observer interface{ Observe(s *Sample) }

// Checker checks answers against their requests. It must be safe for concurrent
// use.
type Checker interface {
	// Chat reports whether text is the right answer to a model request. Unless
	// complete, text must be a prefix of the right answer.
	Chat(messages []engineapi.Message, maxTokens int, text string, complete bool) bool
	// Plain reports whether a complete answer of a plain call is right.
	Plain(call client.PlainCall, status int, body []byte) bool
}

package load

import (
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/client"
)

// Sample is what became of one request. Times are of the tool's own clock.
type Sample struct {
	// Node is the address it was sent to.
	Node string
	// Account is the account's place in the Mix.
	Account int
	// Plain tells a plain call from a model request.
	Plain bool
	// Due is when the schedule wanted it sent; latencies count from here, so
	// that a tool that falls behind shows. Sent is when its sending began.
	Due, Sent, End time.Time
	// Tokens are the times at which tokens came.
	Tokens  []time.Time
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Request is the node's name for it; may be empty.
	Request ids.Request
	// Wrong tells that the answer, or the part of it that came, is not the
	// one to the request.
	Wrong bool
	// Retries counts how often the caller was refused and came back.
	Retries int
	// NotSent tells that the tool itself had no caller free; nothing else
	// but Due is set then.
	NotSent bool
}

// Complete reports whether the whole, right answer came.
func (s *Sample) Complete() bool { return s.Outcome == outcome.Complete && !s.Wrong && !s.NotSent }

// Observer is told what became of each request. Many goroutines call it.
type Observer interface{ Observe(s *Sample) }

// Checker tells whether answers are the ones to their requests. Many
// goroutines call it.
type Checker interface {
	// Chat checks the text that came for a model request; whole tells
	// whether the answer was said to be complete, else text is to be a
	// first part of it.
	Chat(messages []engineapi.Message, maxTokens int, text string, whole bool) bool
	// Plain checks a complete answer of a plain call.
	Plain(call client.PlainCall, status int, body []byte) bool
}

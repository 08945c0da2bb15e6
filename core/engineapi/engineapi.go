// Package engineapi defines the messages of the HTTP protocol that model engines
// publish. It follows the chat-completions convention and adds the chain of stages
// that a request runs through and the layers that each token step ran.
//
// Calls go to the first engine of the chain unless marked otherwise:
//
//	POST   /v1/chat/completions   ChatRequest -> text/event-stream
//	GET    /v1/streams/{request}  rejoin; header Last-Event-ID: last token index seen, or -1 -> text/event-stream
//	DELETE /v1/streams/{request}  cancel; optional header Mimosa-Cancel-If: not_started -> CancelReply
//	GET    /v1/load               (any engine) -> LoadReport
//	POST   /v1/orders             (any engine) Order -> OrderReply
//
// A stream consists of events "data: <Token>" with "id: <index>" and ends with one
// "event: done" carrying Done or one "event: error" carrying StreamError. A stream
// that ends without either was cut off.
//
// Status 200 confirms that the request started. An engine refuses a request before
// starting it with another status and a Refusal body; the request then certainly
// did not run.
//
// A cancel stops the request's stream or, if the request has not started, prevents its
// start. With the header Mimosa-Cancel-If: not_started it only prevents the start: a
// request that has started is left as it is, and the reply has the state "started". A
// sender that does not own the request uses this, because the request may start and get
// a reader between the sender's last look and the arrival of the cancel. An engine that
// does not know the header stops the stream.
package engineapi

// Paths of the protocol.
const (
	ChatPath    = "/v1/chat/completions"
	StreamsPath = "/v1/streams/"
	LoadPath    = "/v1/load"
	OrdersPath  = "/v1/orders"
)

// Names of events and headers.
const (
	DoneEvent     = "done"
	ErrorEvent    = "error"
	LastEventID   = "Last-Event-ID"
	EpochHeader   = "Mimosa-Engine-Epoch"
	AttemptHeader = "Mimosa-Attempt"
	CancelIf      = "Mimosa-Cancel-If"
)

// Message is one turn of a chat prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Stage is one engine of a chain and the layers it runs: First to Last, inclusive,
// counted from 0. Address is the IP address and port of the engine.
type Stage struct {
	Engine  string `json:"engine"`
	Address string `json:"address"`
	First   int    `json:"first"`
	Last    int    `json:"last"`
}

// ChatRequest starts one attempt of a request. Delivered holds the tokens that the
// caller already received from earlier attempts; the engine treats them as part of
// the prompt and gives its first token the index len(Delivered). DeadlineMs is the
// time left until the deadline of the request, in milliseconds; 0 means none.
type ChatRequest struct {
	Model      string    `json:"model"`
	Messages   []Message `json:"messages"`
	MaxTokens  int       `json:"max_tokens"`
	Stream     bool      `json:"stream"`
	Priority   int       `json:"priority"`
	Request    string    `json:"request"`
	Attempt    int       `json:"attempt"`
	Chain      []Stage   `json:"chain"`
	Delivered  []string  `json:"delivered,omitempty"`
	DeadlineMs int64     `json:"deadline_ms,omitempty"`
}

// Step says which layers an engine ran for a token: First to Last, inclusive, counted
// from 0.
type Step struct {
	Engine string `json:"engine"`
	First  int    `json:"first"`
	Last   int    `json:"last"`
}

// Token is one generated token. Index counts from 0 over all attempts of the
// request. Steps lists the layers that were run, in order.
type Token struct {
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	Text    string `json:"text"`
	Steps   []Step `json:"steps"`
}

// Finish reasons of Done.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Done is the end marker of a complete stream. Tokens counts the tokens of all
// attempts. Finish is FinishStop or FinishLength.
type Done struct {
	Attempt int    `json:"attempt"`
	Tokens  int    `json:"tokens"`
	Finish  string `json:"finish"`
}

// Codes of StreamError and Refusal.
const (
	CodeStageFailed = "stage_failed"
	CodeLinkFailed  = "link_failed"
	CodeCancelled   = "cancelled"
	CodeBusy        = "busy"
	CodeLeaving     = "leaving"
	CodeBadChain    = "bad_chain"
	CodeBadRequest  = "bad_request"
	CodeTombstoned  = "tombstoned"
	CodeNotFound    = "not_found"
	CodeStaleFence  = "stale_fence"
)

// StreamError ends a stream that could not be completed. Engine is the ID of the
// failed stage, or empty if the sender does not know it.
type StreamError struct {
	Attempt int    `json:"attempt"`
	Code    string `json:"code"`
	Engine  string `json:"engine,omitempty"`
	Message string `json:"message,omitempty"`
}

// Refusal is the body of the response to a call that was not carried out.
// RetryAfterMs is when to try again, in milliseconds; 0 means no advice.
type Refusal struct {
	Code         string `json:"code"`
	Message      string `json:"message,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// States of CancelReply.
const (
	// CancelNotStarted: the engine has not started the request, has recorded its ID
	// and will refuse it from now on with CodeTombstoned.
	CancelNotStarted = "not_started"
	// CancelStopped: the request was running and this call stopped it.
	CancelStopped = "stopped"
	// CancelFinished: the request had already finished.
	CancelFinished = "finished"
	// CancelStarted: the cancel was conditional and the request had started; its stream
	// was not changed. It may have ended, and may no longer be kept.
	CancelStarted = "started"
)

// CancelReply is the reply to a cancel. Epoch identifies the run of the engine's
// process. An engine forgets its requests when it restarts, so CancelNotStarted
// proves nothing about earlier epochs. Tokens counts the tokens generated.
type CancelReply struct {
	State  string `json:"state"`
	Epoch  string `json:"epoch"`
	Tokens int    `json:"tokens"`
}

// Link is what an engine reports of its connection to a next stage. To is the ID of
// the engine there.
type Link struct {
	To string `json:"to"`
	// LatencyUs is the one-way latency of a token step, in microseconds.
	LatencyUs int64 `json:"latency_us"`
	// TokensPerSecond is the capacity of the link; 0 means unknown.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// LoadReport is what an engine reports of its own load. AgeMs is the age of the
// report when it was sent, in milliseconds. First and Last are the layers the
// engine holds. Leaving means that it takes no new requests.
type LoadReport struct {
	Engine string `json:"engine"`
	Epoch  string `json:"epoch"`
	Model  string `json:"model"`
	First  int    `json:"first"`
	Last   int    `json:"last"`
	// Slots is the maximum number of requests that run at once. The engine refuses
	// further ones with CodeBusy.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	// TokensPerSecond is the number of token steps per second at full batch.
	TokensPerSecond float64 `json:"tokens_per_second"`
	Leaving         bool    `json:"leaving"`
	AgeMs           int64   `json:"age_ms"`
	Links           []Link  `json:"links,omitempty"`
}

// Order is an instruction to an engine. It describes the wanted state, not a
// change, so that it may safely be repeated.
type Order struct {
	// Fence is the fencing token: the version of the lease object that the
	// sender holds.
	Fence int64 `json:"fence"`
	// Model, First, Last and Version say which layers of which model the engine
	// must hold.
	Model   string `json:"model"`
	First   int    `json:"first"`
	Last    int    `json:"last"`
	Version string `json:"version"`
}

// OrderReply confirms that an engine accepted an order. Fence is the fencing token
// of that order.
type OrderReply struct {
	Engine  string `json:"engine"`
	Applied bool   `json:"applied"`
	Fence   int64  `json:"fence"`
}

// Package engineapi holds the messages of the model engines' published HTTP
// protocol. It follows the chat-completions convention, extended by the chain
// of stages a request runs through and by the layers each token step ran.
//
// Calls, all to the engine that holds the first layers (the head) unless said:
//
//	POST   /v1/chat/completions   ChatRequest -> text/event-stream
//	GET    /v1/streams/{request}  rejoin; header Last-Event-ID: last token index seen, or -1 -> text/event-stream
//	DELETE /v1/streams/{request}  cancel -> CancelReply
//	GET    /v1/load               (any engine) -> LoadReport
//	POST   /v1/orders             (any engine) Order -> OrderReply
//
// A stream is made of events "data: <Token>" with "id: <index>", closed by one
// "event: done" with Done, or one "event: error" with StreamError. A stream
// that ends without either was cut off. A refusal before start is a status
// other than 200 with a Refusal body; after it the request certainly did not
// run. Status 200 confirms the start.
package engineapi

// Paths of the protocol.
const (
	ChatPath    = "/v1/chat/completions"
	StreamsPath = "/v1/streams/"
	LoadPath    = "/v1/load"
	OrdersPath  = "/v1/orders"
)

// Names of events and of protocol headers.
const (
	DoneEvent     = "done"
	ErrorEvent    = "error"
	LastEventID   = "Last-Event-ID"
	EpochHeader   = "Mimosa-Engine-Epoch"
	AttemptHeader = "Mimosa-Attempt"
)

// Message is one turn of a chat prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Stage is one engine of a chain with the layers it runs, First to Last
// inclusive, counted from 0.
type Stage struct {
	Engine  string `json:"engine"`
	Address string `json:"address"`
	First   int    `json:"first"`
	Last    int    `json:"last"`
}

// ChatRequest starts one attempt. Delivered holds the tokens a caller already
// has from earlier attempts: the engine runs them as part of the prompt and
// numbers its first token len(Delivered).
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

// Step says which layers an engine ran for a token, First to Last inclusive.
type Step struct {
	Engine string `json:"engine"`
	First  int    `json:"first"`
	Last   int    `json:"last"`
}

// Token is one generated token. Index counts from 0 over the whole answer,
// earlier attempts included. Steps lists the layers run, in order.
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

// Done is the end marker of a whole answer. Tokens is the count of all its
// tokens, those of earlier attempts included.
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

// StreamError ends a stream that could not be finished. Engine names the
// stage at fault, where the engine can tell.
type StreamError struct {
	Attempt int    `json:"attempt"`
	Code    string `json:"code"`
	Engine  string `json:"engine,omitempty"`
	Message string `json:"message,omitempty"`
}

// Refusal answers a call that was not carried out.
type Refusal struct {
	Code         string `json:"code"`
	Message      string `json:"message,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// States of CancelReply.
const (
	// CancelNotStarted: the engine never started the request and, having
	// noted its name, will refuse it from now on (CodeTombstoned).
	CancelNotStarted = "not_started"
	// CancelStopped: the request ran and was stopped by this call.
	CancelStopped = "stopped"
	// CancelFinished: the request had already finished.
	CancelFinished = "finished"
)

// CancelReply tells what a cancel met. Epoch names the engine's process life:
// a new one means that what it ran before is forgotten, and then
// CancelNotStarted proves nothing about earlier epochs.
type CancelReply struct {
	State  string `json:"state"`
	Epoch  string `json:"epoch"`
	Tokens int    `json:"tokens"`
}

// Link is one engine's view of its connection to a next stage.
type Link struct {
	To string `json:"to"`
	// LatencyUs is the one-way time of a step, in microseconds.
	LatencyUs int64 `json:"latency_us"`
	// TokensPerSecond is the rate the link carries; 0 means no limit known.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// LoadReport is an engine's own view of itself. It lags: AgeMs is how old its
// figures were when it was sent.
type LoadReport struct {
	Engine string `json:"engine"`
	Epoch  string `json:"epoch"`
	Model  string `json:"model"`
	First  int    `json:"first"`
	Last   int    `json:"last"`
	// Slots is the most requests it runs at once; further ones are refused
	// with CodeBusy.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	// TokensPerSecond is the steps it can run at full batch.
	TokensPerSecond float64 `json:"tokens_per_second"`
	Leaving         bool    `json:"leaving"`
	AgeMs           int64   `json:"age_ms"`
	Links           []Link  `json:"links,omitempty"`
}

// Order asks for a wanted end, never for a step, so that repeating it is
// harmless.
type Order struct {
	// Fence is the lease object's version held by the sender.
	Fence int64 `json:"fence"`
	// Model, First, Last and Version name what the engine is to hold.
	Model   string `json:"model"`
	First   int    `json:"first"`
	Last    int    `json:"last"`
	Version string `json:"version"`
}

// OrderReply confirms an order taken.
type OrderReply struct {
	Engine  string `json:"engine"`
	Applied bool   `json:"applied"`
	Fence   int64  `json:"fence"`
}

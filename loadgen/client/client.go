// Package client sends requests to a node as a caller does: chat completions
// with streamed answers, and calls of plain services. It never retries.
package client

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// Paths, headers, event syntax and limits of the protocol between callers and
// nodes. maxLineBytes bounds one line of an event stream.
const (
	chatPath       = "/v1/chat/completions"
	servicesPath   = "/v1/services/"
	keyHeader      = "Idempotency-Key"
	timeoutHeader  = "Mimosa-Timeout-Ms"
	outcomeHeader  = "Mimosa-Outcome"
	requestHeader  = "Mimosa-Request"
	dataField      = "data: "
	doneData       = "[DONE]"
	maxConnections = 8192
	maxLineBytes   = 1 << 20
)

// Options configure a Client.
type Options struct {
	// Address is a node's IP address and port for callers.
	Address string
	// Key is the client account's bearer key; if empty, requests have no
	// Authorization header.
	Key string
	// Timeout bounds opening a connection, and again the time from then to the
	// end of the answer. Default 60s.
	Timeout time.Duration
}

// defaultTimeout is the default of Options.Timeout.
const defaultTimeout = time.Minute

// Client sends requests to one node. Its methods are safe for concurrent use.
type Client struct {
	options Options
	host    *fasthttp.HostClient
}

// New returns a Client. It opens no connection.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	return &Client{
		options: o,
		host: &fasthttp.HostClient{
			Addr:     o.Address,
			MaxConns: maxConnections,
		},
	}
}

// Close closes the idle connections. Requests in flight go on.
func (c *Client) Close() { c.host.CloseIdleConnections() }

// Chat is one model request.
type Chat struct {
	Model     ids.Service
	Messages  []engineapi.Message
	MaxTokens int
	Priority  int
	// Key is the idempotency key; if empty, the request has none.
	Key string
	// Deadline is the remaining time that is sent to the node, in whole
	// milliseconds; 0 sends none. The client itself doesn't enforce it.
	Deadline time.Duration
	// OnToken is called with each token as it arrives, in the goroutine of
	// Client.Chat. It may be nil.
	OnToken func(index int, text string)
}

// Result is the result of a request, as far as the caller knows it.
type Result struct {
	// Status is the HTTP status; 0 if no answer came.
	Status int
	// Outcome, Reason and Message are those that the node reported. Without a
	// readable answer the client sets Outcome to what it knows itself.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Message string
	// Request is the node's ID of the request; may be empty.
	Request ids.Request
	// Tokens is the number of tokens received, and Text their concatenation.
	Tokens int
	Text   string
	// Body is a plain service's answer.
	Body []byte
	// RetryAfter is the delay that the node advised before a retry; 0 if it
	// advised none.
	RetryAfter time.Duration
}

// TransportError reports that no complete answer was received. Whether the
// request may have run is in the Outcome of the Result returned with it.
type TransportError struct{ Cause error }

// Error implements error.
func (e *TransportError) Error() string { return "no complete answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// Chat sends a model request and reads its answer to the end. A refusal is a
// Result, not an error; the error is a *TransportError. Cancelling ctx closes
// the connection.
func (c *Client) Chat(ctx context.Context, chat Chat) (Result, error) {
	body, err := json.Marshal(chatBody{
		Model:     chat.Model,
		Messages:  chat.Messages,
		MaxTokens: chat.MaxTokens,
		Priority:  chat.Priority,
		Stream:    true,
	})
	if err != nil {
		return Result{}, &TransportError{Cause: err}
	}
	req := c.newRequest(fasthttp.MethodPost, chatPath, body, chat.Key, chat.Deadline)
	defer fasthttp.ReleaseRequest(req)
	x, result, err := c.begin(ctx, req)
	if err != nil {
		return result, err
	}
	return x.readChat(chat.OnToken)
}

// chatBody is the JSON body of a model request.
type chatBody struct {
	Model     ids.Service         `json:"model"`
	Messages  []engineapi.Message `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
	Priority  int                 `json:"priority,omitempty"`
	Stream    bool                `json:"stream"`
}

// newRequest builds an HTTP request with the account's bearer key. The caller must
// release it.
func (c *Client) newRequest(method, path string, body []byte, key string, deadline time.Duration) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.options.Address + path)
	if c.options.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.options.Key)
	}
	if key != "" {
		req.Header.Set(keyHeader, key)
	}
	if deadline > 0 {
		req.Header.Set(timeoutHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	if len(body) > 0 {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	return req
}

// PlainCall is one call of a plain service.
type PlainCall struct {
	Service ids.Service
	// Path is the path below the service, with its leading slash.
	Method, Path string
	Body         []byte
	// Key and Deadline are as in Chat.
	Key      string
	Deadline time.Duration
}

// Plain calls a plain service. A refusal is a Result, not an error; the error
// is a *TransportError. Cancelling ctx closes the connection.
func (c *Client) Plain(ctx context.Context, call PlainCall) (Result, error) {
	path := servicesPath + string(call.Service) + call.Path
	req := c.newRequest(call.Method, path, call.Body, call.Key, call.Deadline)
	defer fasthttp.ReleaseRequest(req)
	x, result, err := c.begin(ctx, req)
	if err != nil {
		return result, err
	}
	return x.readPlain()
}

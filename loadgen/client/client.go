// Package client sends requests to a node as a caller does: chat completions
// with streamed answers, and calls of plain services. It repeats nothing by
// itself.
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

// Paths and headers of the callers' protocol.
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
	maxLine        = 1 << 20
)

// Options say where requests go and for whom.
type Options struct {
	// Address is a node's IP address and port for callers.
	Address string
	// Key is the client account's bearer key; empty sends none.
	Key string
	// Timeout bounds one request. Default 60s.
	Timeout time.Duration
}

// defaultTimeout bounds a request whose options name no timeout.
const defaultTimeout = time.Minute

// Client sends requests to one node. Any goroutine may call any method.
type Client struct {
	options Options
	host    *fasthttp.HostClient
}

// New makes a Client; it opens no connection yet.
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

// Close closes the idle connections.
func (c *Client) Close() { c.host.CloseIdleConnections() }

// Chat is one model request.
type Chat struct {
	Model     ids.Service
	Messages  []engineapi.Message
	MaxTokens int
	Priority  int
	// Key is the idempotency key; empty sends none.
	Key string
	// Deadline is the time remaining that the node is told; 0 tells none.
	Deadline time.Duration
	// OnToken is told each token as it comes; nil means not told. It is
	// called from the goroutine of Chat.
	OnToken func(index int, text string)
}

// Result is what became of a request.
type Result struct {
	// Status is the HTTP status; 0 when no answer came.
	Status  int
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Message string
	Request ids.Request
	// Tokens counts those received; Text is all of them.
	Tokens int
	Text   string
	// Body is a plain service's answer.
	Body []byte
	// RetryAfter is when to come back; 0 means no advice.
	RetryAfter time.Duration
}

// TransportError tells that no whole answer came back. What is known of the
// request is the outcome of the Result beside it.
type TransportError struct{ Cause error }

// Error implements error.
func (e *TransportError) Error() string { return "no whole answer: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// Chat sends a model request and reads its whole answer. A refusal is a
// Result, not an error; the error is a *TransportError. Ending ctx closes the
// connection.
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
	req := c.request(fasthttp.MethodPost, chatPath, body, chat.Key, chat.Deadline)
	defer fasthttp.ReleaseRequest(req)
	x, result, err := c.begin(ctx, req)
	if err != nil {
		return result, err
	}
	return x.chat(chat.OnToken)
}

// chatBody is the body of a model request.
type chatBody struct {
	Model     ids.Service         `json:"model"`
	Messages  []engineapi.Message `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
	Priority  int                 `json:"priority,omitempty"`
	Stream    bool                `json:"stream"`
}

// request makes a request with the account's key.
func (c *Client) request(method, path string, body []byte, key string, deadline time.Duration) *fasthttp.Request {
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
	Service      ids.Service
	Method, Path string
	Body         []byte
	Key          string
	Deadline     time.Duration
}

// Plain calls a plain service. A refusal is a Result, not an error; the error
// is a *TransportError. Ending ctx closes the connection.
func (c *Client) Plain(ctx context.Context, call PlainCall) (Result, error) {
	path := servicesPath + string(call.Service) + call.Path
	req := c.request(call.Method, path, call.Body, call.Key, call.Deadline)
	defer fasthttp.ReleaseRequest(req)
	x, result, err := c.begin(ctx, req)
	if err != nil {
		return result, err
	}
	return x.plain()
}

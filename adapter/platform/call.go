package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/platformapi"
)

// call is one exchange with the platform.
type call struct {
	kind   Kind
	method string
	// key names the object, for calls on one.
	key string
	// path and query are those of calls on no single object.
	path  string
	query url.Values
	// ifMatch is the condition of a write.
	ifMatch int64
	body    []byte
	// wait is the time a watch may take on top of the call's own.
	wait time.Duration
}

// uri is the path and query to call.
func (c call) uri() string {
	if c.key == "" {
		return c.path + "?" + c.query.Encode()
	}
	return platformapi.ObjectsPath + escapeKey(c.key)
}

// escapeKey escapes each part of a key but keeps the slashes.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

// check tells whether an object can be the answer to the call.
func (c call) check(object platformapi.Object) error {
	if object.Key != c.key {
		return &InvalidError{Kind: c.kind, Detail: "object " + object.Key + " instead of " + c.key}
	}
	if object.Version <= 0 || (c.kind == KindPut && object.Version <= c.ifMatch) {
		return &InvalidError{Kind: c.kind, Detail: fmt.Sprintf("version %d", object.Version)}
	}
	return nil
}

// do makes the call and decodes the body of its answer.
func (c *Client) do(ctx context.Context, call call, decode func(body []byte) error) error {
	err := c.exchange(ctx, call, decode)
	c.settings.OnCall(call.kind, err)
	return err
}

// exchange sends the request and settles its answer.
func (c *Client) exchange(ctx context.Context, call call, decode func(body []byte) error) error {
	ctx, cancel := c.bound(ctx, call)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, call)
	sent, err := roundTrip(ctx, c.host, req, resp)
	if sent && errors.Is(err, context.DeadlineExceeded) {
		// Other kept connections may be as silent as this one.
		c.host.CloseIdleConnections()
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) && !call.kind.writes() {
		return &TooLargeError{Kind: call.kind}
	}
	if err != nil {
		return &UnavailableError{Kind: call.kind, MayHaveTakenEffect: sent && call.kind.writes(), Cause: err}
	}
	return settle(call, resp, decode)
}

// bound gives the context its deadline, if it has none.
func (c *Client) bound(ctx context.Context, call call) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.settings.CallTimeout+call.wait)
}

// fill writes the request.
func (c *Client) fill(req *fasthttp.Request, call call) {
	req.Header.SetMethod(call.method)
	req.SetRequestURI("http://" + c.settings.Addresses[0] + call.uri())
	if call.kind.writes() {
		req.Header.Set(platformapi.IfMatch, strconv.FormatInt(call.ifMatch, 10))
	}
	if call.kind == KindPut {
		req.Header.SetContentType("application/octet-stream")
		req.SetBodyRaw(call.body)
	}
}

// settle turns an answer into a result or a typed error.
func settle(call call, resp *fasthttp.Response, decode func(body []byte) error) error {
	status := resp.StatusCode()
	switch {
	case status == fasthttp.StatusOK || status == fasthttp.StatusCreated:
		return decoded(call, decode(resp.Body()))
	case status == fasthttp.StatusNotFound && call.kind == KindGet:
		return &NotFoundError{Key: call.key}
	case status == fasthttp.StatusPreconditionFailed && call.kind.writes():
		return conflict(call, resp.Body())
	case status == fasthttp.StatusRequestEntityTooLarge:
		return &TooLargeError{Kind: call.kind, Size: len(call.body)}
	case status == fasthttp.StatusTooManyRequests:
		return &UnavailableError{Kind: call.kind, Status: status}
	case status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError:
		return &RefusedError{Kind: call.kind, Status: status}
	}
	// An intermediary may answer for a store that took the write.
	return &UnavailableError{Kind: call.kind, MayHaveTakenEffect: call.kind.writes(), Status: status}
}

// decoded wraps a decoder's failure.
func decoded(call call, err error) error {
	if err == nil {
		return nil
	}
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid
	}
	return &InvalidError{Kind: call.kind, Detail: err.Error(), Cause: err}
}

// conflict reads the object that stood in the way of a write. The refusal
// itself is certain also when the body doesn't tell the object: then Current
// has a version of -1 and must be read.
func conflict(call call, body []byte) error {
	var current platformapi.Object
	err := json.Unmarshal(body, &current)
	if err != nil || (current.Key != call.key && current.Version != 0) {
		current = platformapi.Object{Version: UnknownVersion}
	}
	current.Key = call.key
	return &ConflictError{Current: current}
}

// UnknownVersion is the version of ConflictError.Current when the answer did
// not tell the object.
const UnknownVersion = -1

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

// call describes one HTTP exchange with the platform.
type call struct {
	kind   Kind
	method string
	// key is the key of the object for calls on a single object; empty otherwise.
	key string
	// path and query are the URI of other calls.
	path  string
	query url.Values
	// ifMatch is the expected version for a write.
	ifMatch int64
	body    []byte
	// wait is the time a watch may take in addition to Settings.CallTimeout.
	wait time.Duration
}

// uri returns the path and query of the call.
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

// checkObject returns an *InvalidError if an object cannot be the response to the
// call: it has another key, or a version that the call cannot have produced.
func (c call) checkObject(object platformapi.Object) error {
	if object.Key != c.key {
		return &InvalidError{Kind: c.kind, Detail: "object " + object.Key + " instead of " + c.key}
	}
	if object.Version <= 0 || (c.kind == KindPut && object.Version <= c.ifMatch) {
		return &InvalidError{Kind: c.kind, Detail: fmt.Sprintf("version %d", object.Version)}
	}
	return nil
}

// do makes the call, decodes the body of its response and reports the result to
// Settings.OnCall.
func (c *Client) do(ctx context.Context, call call, decode func(body []byte) error) error {
	err := c.exchange(ctx, call, decode)
	c.settings.OnCall(call.kind, err)
	return err
}

// exchange sends the request and interprets the response.
func (c *Client) exchange(ctx context.Context, call call, decode func(body []byte) error) error {
	ctx, cancel := c.withDeadline(ctx, call)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, call)
	sent, err := roundTrip(ctx, c.host, req, resp)
	if sent && errors.Is(err, context.DeadlineExceeded) {
		// Other idle connections may be dead too.
		c.host.CloseIdleConnections()
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) && !call.kind.writes() {
		return &TooLargeError{Kind: call.kind}
	}
	if err != nil {
		return &UnavailableError{Kind: call.kind, MayHaveTakenEffect: sent && call.kind.writes(), Cause: err}
	}
	return interpret(call, resp, decode)
}

// withDeadline adds the call timeout to a context without a deadline.
func (c *Client) withDeadline(ctx context.Context, call call) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.settings.CallTimeout+call.wait)
}

// fillRequest sets the method, URI, headers and body of the request.
func (c *Client) fillRequest(req *fasthttp.Request, call call) {
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

// interpret decodes a successful response and returns a typed error for any other.
func interpret(call call, resp *fasthttp.Response, decode func(body []byte) error) error {
	status := resp.StatusCode()
	switch {
	case status == fasthttp.StatusOK || status == fasthttp.StatusCreated:
		return decodeError(call, decode(resp.Body()))
	case status == fasthttp.StatusNotFound && call.kind == KindGet:
		return &NotFoundError{Key: call.key}
	case status == fasthttp.StatusPreconditionFailed && call.kind.writes():
		return conflictError(call, resp.Body())
	case status == fasthttp.StatusRequestEntityTooLarge:
		return &TooLargeError{Kind: call.kind, Size: len(call.body)}
	case status == fasthttp.StatusTooManyRequests:
		return &UnavailableError{Kind: call.kind, Status: status}
	case status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError:
		return &RefusedError{Kind: call.kind, Status: status}
	}
	// A proxy may have sent this status although the platform accepted the write.
	return &UnavailableError{Kind: call.kind, MayHaveTakenEffect: call.kind.writes(), Status: status}
}

// decodeError converts an error of a decoder to an *InvalidError; nil stays nil.
func decodeError(call call, err error) error {
	if err == nil {
		return nil
	}
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid
	}
	return &InvalidError{Kind: call.kind, Detail: err.Error(), Cause: err}
}

// conflictError returns the error for a write that the platform refused with status
// 412. The write certainly had no effect, even if the body does not contain the
// current object; Current.Version is then UnknownVersion and the caller must read
// the object.
func conflictError(call call, body []byte) error {
	var current platformapi.Object
	err := json.Unmarshal(body, &current)
	if err != nil || (current.Key != call.key && current.Version != 0) {
		current = platformapi.Object{Version: UnknownVersion}
	}
	current.Key = call.key
	return &ConflictError{Current: current}
}

// UnknownVersion is the version of ConflictError.Current if the response did not
// contain the object.
const UnknownVersion = -1

package client

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/outcome"
)

// past is a deadline that ends all reading and writing at once.
var past = time.Unix(1, 0)

// exchange is one request and its answer on a connection of its own until it
// ends. One goroutine uses it.
type exchange struct {
	host   *fasthttp.HostClient
	pooled interface{ Conn() net.Conn }
	reader *bufio.Reader
	resp   *fasthttp.Response
	// stop ends the watch on the context; it tells whether that came first.
	stop func() bool
	// release gives the connection back, or closes it.
	release func(whole bool)
}

// begin sends a request and reads the head of its answer. The Result beside
// an error, a *TransportError, has what is known of the request.
func (c *Client) begin(ctx context.Context, req *fasthttp.Request) (*exchange, Result, error) {
	pooled, err := c.host.AcquireConn(c.options.Timeout, false)
	if err != nil {
		result := Result{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed}
		return nil, result, &TransportError{Cause: err}
	}
	conn := pooled.Conn()
	// A connection that can't take a deadline fails in writing.
	_ = conn.SetDeadline(time.Now().Add(c.options.Timeout))
	x := &exchange{
		host:   c.host,
		pooled: pooled,
		reader: c.host.AcquireReader(conn),
		resp:   fasthttp.AcquireResponse(),
		stop:   context.AfterFunc(ctx, func() { _ = conn.SetDeadline(past) }),
	}
	x.release = func(whole bool) {
		if !whole {
			c.host.CloseConn(pooled)
			return
		}
		_ = conn.SetDeadline(time.Time{})
		c.host.ReleaseConn(pooled)
	}
	if err := x.roundTrip(req); err != nil {
		x.end(false)
		return nil, Result{Outcome: outcome.Unknown}, &TransportError{Cause: err}
	}
	return x, Result{}, nil
}

// roundTrip writes the request and reads the head of its answer.
func (x *exchange) roundTrip(req *fasthttp.Request) error {
	w := x.host.AcquireWriter(x.pooled.Conn())
	defer x.host.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.resp.StreamBody = true
	x.resp.SkipBody = req.Header.IsHead()
	return x.resp.ReadLimitBody(x.reader, 0)
}

// end ends the exchange; whole tells that the answer's body was read to its
// end, so that the connection may be used again.
func (x *exchange) end(whole bool) {
	undisturbed := x.stop()
	whole = whole && undisturbed && !x.resp.ConnectionClose() && x.reader.Buffered() == 0
	if !whole {
		// Closed first, so that closing the body does not wait for the rest.
		x.release(false)
	}
	_ = x.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(x.resp)
	x.host.ReleaseReader(x.reader)
	if whole {
		x.release(true)
	}
}

// body reads the whole body.
func (x *exchange) body() ([]byte, error) {
	if x.resp.BodyStream() == nil {
		return bytes.Clone(x.resp.Body()), nil
	}
	return io.ReadAll(x.resp.BodyStream())
}

// drain reads what is left of a streamed body; it reports whether that was
// read to its end.
func (x *exchange) drain() bool {
	_, err := io.Copy(io.Discard, x.resp.BodyStream())
	return err == nil
}

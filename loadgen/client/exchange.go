package client

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/httphead"
	"mimosaarch.example/core/outcome"
)

// pastDeadline lies in the past, so that reads and writes on a connection with
// this deadline fail at once.
var pastDeadline = time.Unix(1, 0)

// exchange is one request and its answer. It has a connection to itself until
// end returns the connection to the pool. It is not safe for concurrent use.
type exchange struct {
	host   *fasthttp.HostClient
	pooled interface{ Conn() net.Conn }
	reader *bufio.Reader
	resp   *fasthttp.Response
	// stopWatch stops watching the context. It reports whether the context was
	// still uncancelled.
	stopWatch func() bool
	// release returns the connection to the pool if reusable, else closes it.
	release func(reusable bool)
}

// begin sends a request and reads the head of its answer. The error is a
// *TransportError. With an error, the Result's outcome is not-run if no
// connection could be opened, else unknown.
func (c *Client) begin(ctx context.Context, req *fasthttp.Request) (*exchange, Result, error) {
	pooled, err := c.host.AcquireConn(c.options.Timeout, false)
	if err != nil {
		result := Result{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed}
		return nil, result, &TransportError{Cause: err}
	}
	conn := pooled.Conn()
	// A connection that can't take a deadline fails on the first write.
	_ = conn.SetDeadline(time.Now().Add(c.options.Timeout))
	x := &exchange{
		host:      c.host,
		pooled:    pooled,
		reader:    c.host.AcquireReader(conn),
		resp:      fasthttp.AcquireResponse(),
		stopWatch: context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) }),
	}
	x.release = func(reusable bool) {
		if !reusable {
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

// roundTrip writes the request and reads the head of its answer. The body is
// read later as a stream.
func (x *exchange) roundTrip(req *fasthttp.Request) error {
	w := x.host.AcquireWriter(x.pooled.Conn())
	defer x.host.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := httphead.Await(x.reader); err != nil {
		return err
	}
	x.resp.StreamBody = true
	x.resp.SkipBody = req.Header.IsHead()
	return x.resp.ReadLimitBody(x.reader, 0)
}

// end releases the exchange's buffers and its connection. The connection is
// reused only if the caller read the body to its end and passes reusable, the
// context was not cancelled, the node keeps the connection open and no bytes
// are left to read.
func (x *exchange) end(reusable bool) {
	uncancelled := x.stopWatch()
	reusable = reusable && uncancelled && !x.resp.ConnectionClose() && x.reader.Buffered() == 0
	if !reusable {
		// The connection is closed before the body, because closing the body
		// would otherwise wait for the rest of it.
		x.release(false)
	}
	_ = x.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(x.resp)
	x.host.ReleaseReader(x.reader)
	if reusable {
		x.release(true)
	}
}

// body reads the whole body of the answer.
func (x *exchange) body() ([]byte, error) {
	if x.resp.BodyStream() == nil {
		return bytes.Clone(x.resp.Body()), nil
	}
	return io.ReadAll(x.resp.BodyStream())
}

// drain reads and discards the rest of a streamed body. It reports whether it
// reached the end without an error.
func (x *exchange) drain() bool {
	_, err := io.Copy(io.Discard, x.resp.BodyStream())
	return err == nil
}

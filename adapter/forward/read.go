package forward

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/gate"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/segment"
	"mimosaarch.example/decide/intake"
	"mimosaarch.example/decide/routing"
)

// limits returns the limits of the current configuration, with defaults for those that
// are not set.
func (c *callerConn) limits() routing.Limits {
	l := routing.Limits{MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	table := c.server.opts.Table()
	if table == nil {
		return l
	}
	set := table.Limits()
	if set.MaxHeaderBytes > 0 {
		l.MaxHeaderBytes = set.MaxHeaderBytes
	}
	if set.MaxBodyBytes > 0 {
		l.MaxBodyBytes = set.MaxBodyBytes
	}
	if set.HeaderTimeout > 0 {
		l.HeaderTimeout = set.HeaderTimeout
	}
	if set.IdleTimeout > 0 {
		l.IdleTimeout = set.IdleTimeout
	}
	return l
}

// maxKeptHeadBytes is the longest head of a request whose memory is used again.
const maxKeptHeadBytes = 2 << 10

// releaseRequest gives a request back to its pool, unless its buffers have become large.
func releaseRequest(req *fasthttp.Request) {
	if len(req.Header.RawHeaders()) <= maxKeptHeadBytes {
		fasthttp.ReleaseRequest(req)
	}
}

// readRequest reads one request with its body. On an error it also returns the status
// to respond with, 0 for none.
func (c *callerConn) readRequest(req *fasthttp.Request) (*segment.Buffer, int, error) {
	limits := c.limits()
	if err := c.setReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, 0, err
	}
	req.Header.SetNoDefaultContentType(true)
	if err := c.parse(req.Header.Read); err != nil {
		return nil, c.headErrorStatus(err), err
	}
	if err := c.reserve(int64(headCopies * len(req.Header.RawHeaders()))); err != nil {
		return nil, bodyErrorStatus(err), err
	}
	if req.Header.ContentLength() > limits.MaxBodyBytes {
		return nil, fasthttp.StatusRequestEntityTooLarge, fasthttp.ErrBodyTooLarge
	}
	if req.MayContinue() {
		if err := c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, 0, err
		}
	}
	if !c.hold.Enter(intake.Reading) {
		return nil, 0, c.hold.Revoked()
	}
	if err := c.setReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return nil, 0, err
	}
	body, err := c.readBody(req, limits.MaxBodyBytes)
	if err == nil {
		return body, 0, nil
	}
	if shed := c.hold.Revoked(); shed != nil {
		err = shed
	}
	return nil, bodyErrorStatus(err), err
}

// headErrorStatus returns the status for a head that could not be read, 0 if the
// connection has ended or was revoked.
func (c *callerConn) headErrorStatus(err error) int {
	if c.interrupted.Load() {
		return 0
	}
	var shed *gate.ShedError
	var small *fasthttp.ErrSmallBuffer
	var nothing fasthttp.ErrNothingRead
	var network net.Error
	switch {
	case errors.As(err, &shed):
		return fasthttp.StatusServiceUnavailable
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &nothing):
		return 0
	case errors.As(err, &network) && network.Timeout():
		return fasthttp.StatusRequestTimeout
	case errors.As(err, &network), isConnClosed(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

// bodyErrorStatus returns the status for a body that could not be read, 0 if the
// connection has ended or gives way to new ones.
func bodyErrorStatus(err error) int {
	var shed *gate.ShedError
	var network net.Error
	switch {
	case errors.As(err, &shed) && shed.Reason == intake.Connections:
		return 0
	case errors.As(err, &shed):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &network) && network.Timeout():
		return fasthttp.StatusRequestTimeout
	case errors.As(err, &network), isConnClosed(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

// shedRetryAfter is the base value of Retry-After for requests that are not read because the node
// has no memory left. Bodies that make no progress give way within about that time.
const shedRetryAfter = time.Second

// refuseUnreadable responds to a request that could not be read, and then reads and
// drops the rest of the input.
func (c *callerConn) refuseUnreadable(req *fasthttp.Request, status int, err error) {
	held := c.hold.Held()
	// Other requests may wait for the memory.
	c.hold.KeepOnly(c.bufferBytes)
	c.server.opts.Metrics.Add("refusal.unread", 1)
	c.server.opts.Log.Info().Str("event", "request_unread").Int("status", status).Int64("held_bytes", held).Err(err).Send()
	if status == 0 {
		return
	}
	c.closeAfter = true
	id, reason, retryAfter := "", malformed, time.Duration(0)
	var shed *gate.ShedError
	if errors.As(err, &shed) {
		id, reason = string(req.Header.Peek(c.server.opts.Headers.RequestID)), string(outcome.NodeFull)
		retryAfter = c.server.jitterRetryAfter(shedRetryAfter)
	}
	if c.writeError(status, id, reason, retryAfter) != nil {
		return
	}
	c.linger()
}

// malformed is the reason in the responses to requests that could not be read.
const malformed = "malformed"

// linger reads and drops what the caller still sends, at most a body of the largest size. Closing
// with unread bytes would reset the connection and could lose the response.
func (c *callerConn) linger() {
	conn, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || conn.CloseWrite() != nil {
		return
	}
	if c.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	c.r.Reset(c.conn)
	// The connection is closed next, whatever ends the reads.
	_, _ = io.CopyN(io.Discard, c.r, int64(c.limits().MaxBodyBytes))
}

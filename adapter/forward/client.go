package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/segment"
	"mimosaarch.example/decide/intake"
	"mimosaarch.example/decide/routing"
)

// Limits of callers' connections.
const (
	// writeTimeout bounds one write to a caller or an upstream.
	writeTimeout = 5 * time.Second
	// The defaults apply to limits that the configuration does not set.
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	// firstRequestTimeout is how long a new connection may stay open without a request.
	firstRequestTimeout = 3 * time.Second
	// drainRequestTimeout replaces firstRequestTimeout while the server drains.
	drainRequestTimeout = 200 * time.Millisecond
	// lingerTimeout is how long the rest of a rejected request is still read. Closing
	// earlier could reset the connection and lose the response.
	lingerTimeout = 500 * time.Millisecond
)

// CallerGoneError reports that the connection to the caller is closed or cannot be
// written to.
type CallerGoneError struct {
	// At is when the node noticed.
	At    time.Time
	Cause error
}

// Error implements error.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("caller disconnected: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// callerConn is the connection of one caller. It is used by its own goroutine, except
// for interruptIdle, which any goroutine may call.
type callerConn struct {
	server *Server
	conn   net.Conn
	r      *bufio.Reader
	out    []byte
	// idle is true while no request is being read or served.
	idle atomic.Bool
	// closeAfter closes the connection after the current response.
	closeAfter bool
	// requestRead is true once a request was read on the connection.
	requestRead atomic.Bool
	// interrupted is set once the connection is revoked.
	interrupted atomic.Bool
	// hold is what the connection holds of the node's memory.
	hold *intake.Conn
	// bufferBytes is the size of a read buffer larger than the usual one, 0 for the usual one.
	bufferBytes int64
	// receiveBuffer is the size of the kernel's receive buffer, 0 while the kernel chooses it.
	receiveBuffer int
}

// reserve waits until the connection may hold n more bytes. The error is a *ShedError.
func (c *callerConn) reserve(n int64) error { return c.server.gate.reserve(c, n) }

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

// serve answers requests until the connection ends.
func (c *callerConn) serve(ctx context.Context) {
	c.r = c.newReadBuffer()
	for c.awaitRequest() {
		c.idle.Store(false)
		keep := c.serveOne(ctx)
		c.idle.Store(true)
		if !keep || !c.endRequest() {
			return
		}
	}
}

// maxKeptOutputBytes is the largest output buffer that a connection without a request keeps.
const maxKeptOutputBytes = 16 << 10

// endRequest gives back what the last request has held. It reports whether the connection stays
// open.
func (c *callerConn) endRequest() bool {
	c.shrinkBuffer()
	if cap(c.out) > maxKeptOutputBytes {
		c.out = nil
	}
	if c.receiveBuffer != 0 && c.receiveBuffer != receiveBytes {
		c.setReceiveBuffer(receiveBytes)
	}
	c.server.gate.keepOnly(c, c.bufferBytes)
	return c.server.gate.enter(c, intake.Waiting)
}

// interrupt ends reads and writes in progress, since the connection is revoked.
func (c *callerConn) interrupt() {
	c.interrupted.Store(true)
	// A connection that is closed already needs no deadline.
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}

// setReadDeadline sets the deadline of reads, unless the connection is revoked. The error is then
// a *ShedError.
func (c *callerConn) setReadDeadline(at time.Time) error {
	if err := c.conn.SetReadDeadline(at); err != nil {
		return err
	}
	if !c.interrupted.Load() {
		return nil
	}
	return c.server.gate.revoked(c)
}

// awaitRequest waits for the first byte of a request. It returns false if the
// connection is to be closed instead.
func (c *callerConn) awaitRequest() bool {
	if c.r.Buffered() > 0 {
		return true
	}
	idle := c.limits().IdleTimeout
	closing := c.server.closing.Load()
	if !c.requestRead.Load() {
		// The first request of a connection is expected even while the server drains.
		idle = min(idle, firstRequestTimeout)
		c.idle.Store(false)
		if closing {
			idle = drainRequestTimeout
		}
	}
	if c.setReadDeadline(time.Now().Add(idle)) != nil {
		return false
	}
	if c.requestRead.Load() && closing {
		return false
	}
	_, err := c.r.Peek(1)
	return err == nil
}

// interruptIdle ends the wait for a next request.
func (c *callerConn) interruptIdle() {
	if c.idle.Load() || !c.requestRead.Load() {
		// A connection that is closed already needs no deadline.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// serveOne reads and answers one request. It reports whether the connection stays open.
func (c *callerConn) serveOne(ctx context.Context) bool {
	req := fasthttp.AcquireRequest()
	defer releaseRequest(req)
	body, status, err := c.readRequest(req)
	if err != nil {
		c.refuseUnreadable(req, status, err)
		return false
	}
	if !c.server.gate.enter(c, intake.Serving) {
		shed := c.server.gate.revoked(c)
		c.refuseUnreadable(req, bodyErrorStatus(shed), shed)
		return false
	}
	c.recordRead()
	c.closeAfter = req.Header.ConnectionClose() || !req.Header.IsHTTP11()
	x := newExchange(c, req, body)
	x.serve(ctx)
	return !c.closeAfter
}

// maxKeptHeadBytes is the longest head of a request whose memory is used again.
const maxKeptHeadBytes = 2 << 10

// releaseRequest gives a request back to its pool, unless its buffers have become large.
func releaseRequest(req *fasthttp.Request) {
	if len(req.Header.RawHeaders()) <= maxKeptHeadBytes {
		fasthttp.ReleaseRequest(req)
	}
}

// recordRead records that a request was read on the connection, or that none will be.
func (c *callerConn) recordRead() {
	if !c.requestRead.Swap(true) {
		c.server.overload.unread.Add(-1)
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
	if !c.server.gate.enter(c, intake.Reading) {
		return nil, 0, c.server.gate.revoked(c)
	}
	if err := c.setReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return nil, 0, err
	}
	body, err := c.readBody(req, limits.MaxBodyBytes)
	if err == nil {
		return body, 0, nil
	}
	if shed := c.server.gate.revoked(c); shed != nil {
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
	var shed *ShedError
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
	var shed *ShedError
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
	c.server.gate.keepOnly(c, c.bufferBytes)
	c.server.opts.Metrics.Add("refusal.unread", 1)
	c.server.opts.Log.Info().Str("event", "request_unread").Int("status", status).Int64("held_bytes", held).Err(err).Send()
	if status == 0 {
		return
	}
	c.closeAfter = true
	id, reason, retryAfter := "", malformed, time.Duration(0)
	var shed *ShedError
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

// write sends bytes to the caller. The error is a *CallerGoneError.
func (c *callerConn) write(p []byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return c.gone(err)
	}
	if _, err := c.conn.Write(p); err != nil {
		return c.gone(err)
	}
	return nil
}

// writeBody sends the head in the output buffer and a body. The error is a *CallerGoneError. A
// caller that does not take the response may be disconnected.
func (c *callerConn) writeBody(body *segment.Buffer) error {
	if body.Len() <= maxInlineBodyBytes {
		c.out = body.AppendTo(c.out)
		return c.write(c.out)
	}
	if err := c.write(c.out); err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return c.gone(err)
	}
	c.server.gate.enter(c, intake.Delivering)
	for _, part := range body.Parts() {
		if _, err := c.conn.Write(part); err != nil {
			return c.gone(err)
		}
		c.server.gate.progress(c, len(part))
	}
	return nil
}

// gone returns the error of a caller that has just been found to have left.
func (c *callerConn) gone(cause error) *CallerGoneError {
	return &CallerGoneError{At: c.server.opts.Now(), Cause: cause}
}

// watchDisconnect calls cancel with a *CallerGoneError when the caller closes its side.
// The returned function ends the watch. Bytes of next requests stay in the buffer, and the watch
// goes on behind them until the buffer is full.
func (c *callerConn) watchDisconnect(cancel context.CancelCauseFunc) (stop func()) {
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		cancel(c.gone(err))
		return func() {}
	}
	done := make(chan struct{})
	var stopped atomic.Bool
	go func() {
		defer close(done)
		if err := c.readAhead(); err != nil && !stopped.Load() {
			cancel(c.gone(err))
		}
	}()
	return func() {
		stopped.Store(true)
		// A connection that is closed already needs no deadline.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		<-done
	}
}

// readAhead reads into the buffer until a read fails or the buffer is full. The error is a
// *ShedError if the node has no memory for what the caller has sent.
func (c *callerConn) readAhead() error {
	for {
		for c.r.Buffered() < c.r.Size() {
			if _, err := c.r.Peek(c.r.Buffered() + 1); err != nil {
				return err
			}
		}
		grown, err := c.growBuffer()
		if err != nil {
			return err
		}
		if !grown {
			c.setReceiveBuffer(receiveBytes)
			return c.reserve(unreadBytes)
		}
	}
}

// checkPresent returns a *CallerGoneError if the caller has closed the connection and all its
// bytes have been read. Unlike the watch it does not depend on when its goroutine runs.
func (c *callerConn) checkPresent() error {
	conn, ok := c.conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return c.gone(err)
	}
	var n int
	var readErr error
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, readErr = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return c.gone(err)
	case errors.Is(readErr, syscall.EAGAIN), errors.Is(readErr, syscall.EINTR), readErr == nil && n > 0:
		return nil
	case readErr == nil:
		return c.gone(io.EOF)
	}
	return c.gone(readErr)
}

// writeError sends a response that the node generates itself: a status, and a JSON body
// with the reason. id and retryAfter are left out if they are zero.
func (c *callerConn) writeError(status int, id, reason string, retryAfter time.Duration) error {
	body := strconv.AppendQuote([]byte(`{"error":`), reason)
	body = append(body, '}')
	c.startHead(status)
	c.addHeader("Content-Type", "application/json")
	if id != "" {
		c.addHeader(c.server.opts.Headers.RequestID, id)
	}
	if retryAfter > 0 {
		c.addHeader("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	c.addHeader("Content-Length", strconv.Itoa(len(body)))
	c.endHead()
	c.out = append(c.out, body...)
	return c.write(c.out)
}

// startHead starts the head of a response in the output buffer.
func (c *callerConn) startHead(status int) {
	c.out = append(c.out[:0], "HTTP/1.1 "...)
	c.out = strconv.AppendInt(c.out, int64(status), 10)
	c.out = append(c.out, ' ')
	c.out = append(c.out, fasthttp.StatusMessage(status)...)
	c.out = append(c.out, "\r\n"...)
}

// addHeader appends a header line to the head.
func (c *callerConn) addHeader(name, value string) {
	c.out = append(c.out, name...)
	c.out = append(c.out, ": "...)
	c.out = append(c.out, value...)
	c.out = append(c.out, "\r\n"...)
}

// endHead ends the head. It announces the close of the connection if this response is
// its last.
func (c *callerConn) endHead() {
	if c.server.noKeepAlives.Load() {
		c.closeAfter = true
	}
	if c.closeAfter {
		c.addHeader("Connection", "close")
	}
	c.out = append(c.out, "\r\n"...)
}

// copyHead starts a response with the status and the headers of an upstream's response,
// without the hop-by-hop headers.
func (c *callerConn) copyHead(head *fasthttp.ResponseHeader) {
	c.startHead(head.StatusCode())
	for name, value := range head.All() {
		if !isHopByHop(string(name)) {
			c.addHeader(string(name), string(value))
		}
	}
}

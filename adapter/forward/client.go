package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/decide/routing"
)

// Bounds towards callers.
const (
	// writeTimeout is the longest that a caller may leave written bytes untaken.
	writeTimeout = 5 * time.Second
	// defaultHead bounds heads before a configuration says more, in bytes.
	defaultHead = 16 << 10
	// defaultBody bounds bodies likewise.
	defaultBody = 4 << 20
	// defaultHeaderTimeout and defaultIdle bound slow callers likewise.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdle          = 15 * time.Second
	// firstRequest is how long a new connection may stay without a request.
	firstRequest = 3 * time.Second
	// lastRequest is the same once idle connections are closed.
	lastRequest = 200 * time.Millisecond
	// lingerFor is how long the rest of a refused request is still taken, so
	// that the answer isn't lost to a reset.
	lingerFor = 500 * time.Millisecond
)

// CallerGoneError tells that the caller closed its connection.
type CallerGoneError struct{ Cause error }

// Error implements error.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("caller is gone: %v", e.Cause) }

// Unwrap gives the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// client is one caller's connection. Its own goroutine uses it; kick may be
// called by any.
type client struct {
	server *Server
	conn   net.Conn
	r      *bufio.Reader
	out    []byte
	// idle is true while no request is under way.
	idle atomic.Bool
	// closeAfter makes the answer under way the connection's last.
	closeAfter bool
	// served tells that a request was read.
	served atomic.Bool
}

// limits gives the bounds in force.
func (c *client) limits() routing.Limits {
	l := routing.Limits{MaxHeaderBytes: defaultHead, MaxBodyBytes: defaultBody, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdle}
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
func (c *client) serve(ctx context.Context) {
	c.r = bufio.NewReaderSize(c.conn, c.limits().MaxHeaderBytes)
	for c.await() {
		c.idle.Store(false)
		keep := c.one(ctx)
		c.idle.Store(true)
		if !keep {
			return
		}
	}
}

// await waits for the first byte of a request.
func (c *client) await() bool {
	if c.r.Buffered() > 0 {
		return true
	}
	idle := c.limits().IdleTimeout
	closing := c.server.closing.Load()
	if !c.served.Load() {
		// The first request is on its way, also while the node stops.
		idle = min(idle, firstRequest)
		c.idle.Store(false)
		if closing {
			idle = lastRequest
		}
	}
	if c.conn.SetReadDeadline(time.Now().Add(idle)) != nil {
		return false
	}
	if c.served.Load() && closing {
		return false
	}
	_, err := c.r.Peek(1)
	return err == nil
}

// kick ends the wait for a request.
func (c *client) kick() {
	if c.idle.Load() || !c.served.Load() {
		// A connection that is closed already needs no deadline.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// one reads and answers one request; it reports whether the connection goes on.
func (c *client) one(ctx context.Context) bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if status, err := c.read(req); err != nil {
		c.refuseUnread(status, err)
		return false
	}
	c.served.Store(true)
	c.closeAfter = req.Header.ConnectionClose() || !req.Header.IsHTTP11()
	x := newExchange(c, req)
	x.serve(ctx)
	return !c.closeAfter
}

// read takes one request whole. With an error it gives the status to answer, 0
// for none.
func (c *client) read(req *fasthttp.Request) (int, error) {
	limits := c.limits()
	if err := c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return 0, err
	}
	req.Header.SetNoDefaultContentType(true)
	if err := req.Header.Read(c.r); err != nil {
		return headStatus(err), err
	}
	if req.MayContinue() {
		if err := c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return 0, err
	}
	if err := req.ContinueReadBody(c.r, limits.MaxBodyBytes, false); err != nil {
		return bodyStatus(err), err
	}
	return 0, nil
}

// headStatus gives the status for a head that could not be read.
func headStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var nothing fasthttp.ErrNothingRead
	var network net.Error
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &nothing):
		return 0
	case errors.As(err, &network) && network.Timeout():
		return fasthttp.StatusRequestTimeout
	case errors.As(err, &network), isEnd(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

// bodyStatus gives the status for a body that could not be read.
func bodyStatus(err error) int {
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &network) && network.Timeout():
		return fasthttp.StatusRequestTimeout
	case errors.As(err, &network), isEnd(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

// refuseUnread answers a request that could not be read, and takes the rest.
func (c *client) refuseUnread(status int, err error) {
	c.server.opts.Metrics.Add("refusal.unread", 1)
	c.server.opts.Log.Info().Str("event", "request_unread").Int("status", status).Err(err).Send()
	if status == 0 {
		return
	}
	c.closeAfter = true
	if c.own(status, "", "malformed", 0) != nil {
		return
	}
	c.linger()
}

// linger takes what the caller still sends: closing with bytes unread would
// reset the connection, and the answer with it.
func (c *client) linger() {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.conn.SetReadDeadline(time.Now().Add(lingerFor)) != nil {
		return
	}
	for {
		c.r.Reset(c.conn)
		if _, err := c.r.Peek(1); err != nil {
			return
		}
		if _, err := c.r.Discard(c.r.Buffered()); err != nil {
			return
		}
	}
}

// write sends bytes to the caller.
func (c *client) write(p []byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return &CallerGoneError{err}
	}
	if _, err := c.conn.Write(p); err != nil {
		return &CallerGoneError{err}
	}
	return nil
}

// watch cancels when the caller closes its side. The returned function ends
// it; bytes of a next request stay.
func (c *client) watch(cancel context.CancelCauseFunc) (stop func()) {
	if c.r.Buffered() > 0 || c.conn.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	done := make(chan struct{})
	var stopped atomic.Bool
	go func() {
		defer close(done)
		if _, err := c.r.Peek(1); err != nil && !stopped.Load() {
			cancel(&CallerGoneError{err})
		}
	}()
	return func() {
		stopped.Store(true)
		// A connection that is closed already needs no deadline.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		<-done
	}
}

// own answers with a status of the node's own.
func (c *client) own(status int, id, reason string, retryAfter time.Duration) error {
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

// startHead begins an answer's head.
func (c *client) startHead(status int) {
	c.out = append(c.out[:0], "HTTP/1.1 "...)
	c.out = strconv.AppendInt(c.out, int64(status), 10)
	c.out = append(c.out, ' ')
	c.out = append(c.out, fasthttp.StatusMessage(status)...)
	c.out = append(c.out, "\r\n"...)
}

// addHeader adds a header to the head.
func (c *client) addHeader(name, value string) {
	c.out = append(c.out, name...)
	c.out = append(c.out, ": "...)
	c.out = append(c.out, value...)
	c.out = append(c.out, "\r\n"...)
}

// endHead ends the head.
func (c *client) endHead() {
	if c.server.stopping.Load() {
		c.closeAfter = true
	}
	if c.closeAfter {
		c.addHeader("Connection", "close")
	}
	c.out = append(c.out, "\r\n"...)
}

// copyHead begins an answer with an upstream's status and headers, without
// those that concern only its connection.
func (c *client) copyHead(head *fasthttp.ResponseHeader) {
	c.startHead(head.StatusCode())
	for name, value := range head.All() {
		if !perConnection(string(name)) {
			c.addHeader(string(name), string(value))
		}
	}
}

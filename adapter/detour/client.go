package detour

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"mimosaarch.example/adapter/upconn"
)

// OpenError reports a peer that did not connect to an upstream. Nothing was sent to the
// upstream.
type OpenError struct {
	Peer string
	// result is the peer's answer, empty if there was none. linksLost is true if the peer
	// has lost its own links to all upstreams.
	result    result
	linksLost bool
	// Cause is the error of the call, nil if the peer answered.
	Cause error
}

// Error implements error.
func (e *OpenError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("connect through peer %s: %v", e.Peer, e.Cause)
	}
	return fmt.Sprintf("connect through peer %s: %s", e.Peer, e.result)
}

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Cause }

// detourConn is a connection to an upstream through a peer. It carries one exchange, so that
// the peer can tell from its open connections whether requests are under way.
type detourConn struct {
	*net.TCPConn
	// r holds the bytes that were read with the peer's answer, and then those of the
	// connection.
	r *bufio.Reader
	// upstream reads the upstream's bytes from r.
	upstream io.Reader
	// endChecked is the peer's openAnswer.EndChecked.
	endChecked bool
}

// Read implements net.Conn.
func (c *detourConn) Read(p []byte) (int, error) { return c.upstream.Read(p) }

// EndConfirmed implements upconn.EndConfirmer. The peer closes its connection after the last frame,
// also while the request is still being written.
func (c *detourConn) EndConfirmed() bool { return c.endChecked }

// SingleExchange implements upconn.SingleExchange.
func (c *detourConn) SingleExchange() {}

// open asks the peer at an address to connect to an upstream, for at most ttl. It also returns
// the peer's answer. The error is an *OpenError.
func open(ctx context.Context, peer string, t upconn.Target, ttl time.Duration) (*detourConn, openAnswer, error) {
	conn, err := upconn.NewDialer(0).DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, openAnswer{}, &OpenError{Peer: peer, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() {
		// Setting the deadline fails only if the connection is already closed.
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	c := &detourConn{TCPConn: conn.(*net.TCPConn)}
	answer, err := c.request(openRequest{Upstream: t.ID.Upstream, Address: t.Address, TTLMs: ttl.Milliseconds(), Framed: true})
	if !stop() {
		err = context.Cause(ctx)
	}
	if err != nil || answer.Result != connected {
		_ = conn.Close() // nothing was sent to the upstream
		return nil, openAnswer{}, &OpenError{Peer: peer, result: answer.Result, linksLost: answer.LinksLost, Cause: err}
	}
	c.upstream = c.r
	if answer.Framed {
		c.upstream, c.endChecked = &frameReader{r: c.r}, answer.EndChecked
	}
	return c, answer, nil
}

// request sends the first message and reads the answer.
func (c *detourConn) request(r openRequest) (openAnswer, error) {
	var out bytes.Buffer
	out.WriteByte(preface)
	if err := codec.WriteObject(&out, r); err != nil {
		return openAnswer{}, err
	}
	if _, err := c.TCPConn.Write(out.Bytes()); err != nil {
		return openAnswer{}, err
	}
	c.r = newReader(c.TCPConn)
	var answer openAnswer
	err := codec.ReadObject(c.r, &answer)
	return answer, err
}

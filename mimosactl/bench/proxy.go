package bench

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits and header name of the proxy.
const (
	proxyMaxConns        = 8192
	proxyDialTimeout     = time.Second
	idempotencyKeyHeader = "Idempotency-Key"
)

// proxy simulates callers that know several nodes. It forwards requests to the
// ready nodes in rotation. If a node does not answer, the proxy sends the request
// to another node, provided that it was never sent or is safe to send twice. If a
// response ends early, the proxy cuts it off for the caller too.
type proxy struct {
	listener  net.Listener
	server    *fasthttp.Server
	targets   []target
	next      atomic.Uint64
	resends   atomic.Int64
	serveDone chan struct{}
}

// backend is a node that the proxy may forward requests to.
type backend struct {
	address string
	ready   func() bool
}

// target is a backend with its HTTP client and open connections.
type target struct {
	backend
	host  *fasthttp.HostClient
	conns *connSet
}

// connSet holds the open connections to one node. It is safe for concurrent
// use.
type connSet struct {
	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

// dial opens a connection. After closeAll, it returns a dial error.
func (c *connSet) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, proxyDialTimeout)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: net.ErrClosed}
	}
	c.open[conn] = true
	return &trackedConn{Conn: conn, conns: c}, nil
}

// closeAll closes all connections, as the termination of a process does, and
// makes further dials fail.
func (c *connSet) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		_ = conn.Close()
	}
}

// trackedConn is a connection that removes itself from its connSet when closed.
type trackedConn struct {
	net.Conn
	conns *connSet
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.conns.mu.Lock()
	delete(t.conns.open, t.Conn)
	t.conns.mu.Unlock()
	return t.Conn.Close()
}

// newProxy starts a proxy for backends on a free local port.
func newProxy(backends []backend) (*proxy, error) {
	listener, err := net.Listen("tcp4", anyPort)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, serveDone: make(chan struct{})}
	for _, b := range backends {
		c := &connSet{open: make(map[net.Conn]bool)}
		p.targets = append(p.targets, target{backend: b, host: newHostClient(b.address, c), conns: c})
	}
	p.server = &fasthttp.Server{Handler: p.handle, Concurrency: proxyMaxConns, NoDefaultServerHeader: true}
	go func() {
		defer close(p.serveDone)
		// Serve returns when the listener is closed.
		_ = p.server.Serve(listener)
	}()
	return p, nil
}

// newHostClient returns the HTTP client for one node. It does not retry.
func newHostClient(address string, c *connSet) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  proxyMaxConns,
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		Dial:                      c.dial,
	}
}

// handle forwards one request. It responds with 502 if no node answers.
func (p *proxy) handle(ctx *fasthttp.RequestCtx) {
	first := p.next.Add(1) - 1
	for i := range p.targets {
		t := p.targets[(int(first)+i)%len(p.targets)]
		if !t.ready() {
			continue
		}
		err := t.host.Do(&ctx.Request, &ctx.Response)
		if err == nil {
			return
		}
		ctx.Response.Reset()
		if !neverSent(err) && !canResend(&ctx.Request) {
			break
		}
		p.resends.Add(1)
	}
	ctx.SetStatusCode(fasthttp.StatusBadGateway)
}

// neverSent reports whether a request failed at the dial, before any of it was
// sent.
func neverSent(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

// canResend reports whether it is safe to resend a request that a node may have
// executed.
func canResend(r *fasthttp.Request) bool {
	return r.Header.IsGet() || len(r.Header.Peek(idempotencyKeyHeader)) > 0
}

// closeConns closes all connections to address and opens no new ones.
func (p *proxy) closeConns(address string) {
	for _, t := range p.targets {
		if t.address == address {
			t.conns.closeAll()
		}
	}
}

// close stops the proxy.
func (p *proxy) close() {
	_ = p.listener.Close()
	<-p.serveDone
	for _, t := range p.targets {
		t.host.CloseIdleConnections()
	}
}

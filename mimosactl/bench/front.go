package bench

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of a front.
const (
	frontConnections = 8192
	frontDialTimeout = time.Second
	keyHeader        = "Idempotency-Key"
)

// front stands for callers who know of several nodes: it leads requests to the
// ready nodes in rotation. One that a node did not answer at all goes to
// another node, if it was never sent or may be sent twice. An answer that was
// begun and ends early is cut off for the caller too.
type front struct {
	listener net.Listener
	server   *fasthttp.Server
	targets  []target
	turn     atomic.Uint64
	repeats  atomic.Int64
	served   chan struct{}
}

// backend is where a front may lead requests.
type backend struct {
	address string
	ready   func() bool
}

// target is one backend of a front.
type target struct {
	backend
	host  *fasthttp.HostClient
	conns *conns
}

// conns are the open connections to one node. Any goroutine may call its
// methods.
type conns struct {
	mu   sync.Mutex
	open map[net.Conn]bool
	cut  bool
}

// dial opens a connection, none after a cut.
func (c *conns) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, frontDialTimeout)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: net.ErrClosed}
	}
	c.open[conn] = true
	return &trackedConn{Conn: conn, conns: c}, nil
}

// cutAll closes all connections, as the end of a process does.
func (c *conns) cutAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	for conn := range c.open {
		_ = conn.Close()
	}
}

// trackedConn is taken off its conns when it is closed.
type trackedConn struct {
	net.Conn
	conns *conns
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.conns.mu.Lock()
	delete(t.conns.open, t.Conn)
	t.conns.mu.Unlock()
	return t.Conn.Close()
}

// newFront starts a front of backends.
func newFront(backends []backend) (*front, error) {
	listener, err := net.Listen("tcp4", anyPort)
	if err != nil {
		return nil, err
	}
	f := &front{listener: listener, served: make(chan struct{})}
	for _, b := range backends {
		c := &conns{open: make(map[net.Conn]bool)}
		f.targets = append(f.targets, target{backend: b, host: newHost(b.address, c), conns: c})
	}
	f.server = &fasthttp.Server{Handler: f.handle, Concurrency: frontConnections, NoDefaultServerHeader: true}
	go func() {
		defer close(f.served)
		// Serve ends with the listener.
		_ = f.server.Serve(listener)
	}()
	return f, nil
}

// newHost makes the client of one node. It repeats nothing by itself.
func newHost(address string, c *conns) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  frontConnections,
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		Dial:                      c.dial,
	}
}

// handle leads one request.
func (f *front) handle(ctx *fasthttp.RequestCtx) {
	first := f.turn.Add(1) - 1
	for i := range f.targets {
		t := f.targets[(int(first)+i)%len(f.targets)]
		if !t.ready() {
			continue
		}
		err := t.host.Do(&ctx.Request, &ctx.Response)
		if err == nil {
			return
		}
		ctx.Response.Reset()
		if !neverSent(err) && !maySendTwice(&ctx.Request) {
			break
		}
		f.repeats.Add(1)
	}
	ctx.SetStatusCode(fasthttp.StatusBadGateway)
}

// neverSent reports whether a request failed before any of it was sent.
func neverSent(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

// maySendTwice reports whether a request may be sent again that was perhaps
// run.
func maySendTwice(r *fasthttp.Request) bool {
	return r.Header.IsGet() || len(r.Header.Peek(keyHeader)) > 0
}

// cut cuts all connections to an address and opens none any more.
func (f *front) cut(address string) {
	for _, t := range f.targets {
		if t.address == address {
			t.conns.cutAll()
		}
	}
}

// close stops the front.
func (f *front) close() {
	_ = f.listener.Close()
	<-f.served
	for _, t := range f.targets {
		t.host.CloseIdleConnections()
	}
}

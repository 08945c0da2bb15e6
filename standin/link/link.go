package link

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/standin/internal/httpd"
)

// Paths of the control API.
const (
	ControlPath = "/control"
	StatsPath   = "/control/stats"
)

// Stats counts the connections of a relay.
type Stats struct {
	// Accepted counts the connections accepted since the start, Open those that are
	// relayed at present.
	Accepted int `json:"accepted"`
	Open     int `json:"open"`
}

// Relay is a running TCP relay. It is safe for concurrent use.
type Relay struct {
	target string
	addr   string
	server *httpd.Server
	faults *faults

	mu       sync.Mutex
	closed   bool
	ln       net.Listener
	held     *heldPort // nil while ln is open
	pairs    map[*pair]struct{}
	accepted int
}

// Start starts a relay. The error is an *httpd.ListenError.
func Start(cfg Config) (*Relay, error) {
	server, err := httpd.Listen(cfg.Control)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		target: cfg.Target,
		addr:   cfg.Listen,
		server: server,
		faults: newFaults(),
		pairs:  make(map[*pair]struct{}),
	}
	if r.addr == "" {
		r.addr = httpd.AnyPort
	}
	server.Serve(r.handle)
	if err := r.listen(); err != nil {
		server.Close()
		return nil, err
	}
	return r, nil
}

// Addr returns the address that accepts the relayed connections, with its actual
// port.
func (r *Relay) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// ControlAddr returns the address of the control API.
func (r *Relay) ControlAddr() string { return r.server.Addr() }

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.stopListening()
	r.releasePort()
	r.resetAll()
	r.server.Close()
}

// Stats returns the current counts.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Accepted: r.accepted, Open: len(r.pairs)}
}

// Control sets the mode. The error is an *UnknownModeError, with which nothing
// changes, or an *httpd.ListenError if the relay cannot keep its port in ModeRefuse or
// ModeRefuseNew, or listen again after them.
func (r *Relay) Control(c Control) error {
	if !c.valid() {
		return &UnknownModeError{Mode: c.Mode}
	}
	r.faults.set(c)
	switch c.Mode {
	case ModeCut:
		r.resetAll()
	case ModeRefuse:
		err := r.stopListening()
		r.resetAll()
		return err
	case ModeRefuseNew:
		return r.stopListening()
	case ModeSilenceOld:
		r.silenceAll()
	}
	return r.listen()
}

// listen opens the listener and starts to accept connections. It does nothing if the
// listener is already open or the relay is closed.
func (r *Relay) listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != nil || r.closed {
		return nil
	}
	ln, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return &httpd.ListenError{Listen: r.addr, Err: err}
	}
	r.ln = ln
	r.addr = ln.Addr().String()
	r.releaseHeld()
	go r.accept(ln)
	return nil
}

// stopListening closes the listener, so that new connections are refused, and holds its port. The
// error is an *httpd.ListenError. It does nothing if the listener is closed.
func (r *Relay) stopListening() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln == nil {
		return nil
	}
	addr := r.ln.Addr().(*net.TCPAddr)
	_ = r.ln.Close()
	r.ln = nil
	held, err := holdPort(addr)
	if err != nil {
		return &httpd.ListenError{Listen: r.addr, Err: err}
	}
	r.held = held
	return nil
}

// releasePort gives a held port back.
func (r *Relay) releasePort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseHeld()
}

// releaseHeld is releasePort for callers that hold mu.
func (r *Relay) releaseHeld() {
	if r.held != nil {
		r.held.release()
		r.held = nil
	}
}

// accept accepts and relays connections until the listener is closed.
func (r *Relay) accept(ln net.Listener) {
	for {
		caller, err := ln.Accept()
		if err != nil {
			return
		}
		go r.relay(caller.(*net.TCPConn))
	}
}

// relay connects to the target and relays a caller's connection until both directions
// end. In ModeCut, and if the target cannot be reached, it resets the connection.
func (r *Relay) relay(caller *net.TCPConn) {
	p := newPair(caller, r.faults)
	if !r.add(p) || r.faults.mode() == ModeCut {
		p.reset()
		r.remove(p)
		return
	}
	defer r.remove(p)
	target, err := net.Dial("tcp4", r.target)
	if err != nil {
		p.reset()
		return
	}
	p.run(target.(*net.TCPConn))
}

// add counts an accepted connection and registers its pair. It returns false if the
// relay is closed.
func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
	if r.closed {
		return false
	}
	r.pairs[p] = struct{}{}
	return true
}

// remove deregisters a pair.
func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// openPairs returns all pairs of connections that are open.
func (r *Relay) openPairs() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		out = append(out, p)
	}
	return out
}

// resetAll resets all open connections, on the side of the caller and of the target.
func (r *Relay) resetAll() {
	for _, p := range r.openPairs() {
		p.reset()
	}
}

// silenceAll permanently silences all open connections.
func (r *Relay) silenceAll() {
	for _, p := range r.openPairs() {
		p.silence()
	}
}

// handle serves the control API.
func (r *Relay) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == ControlPath && ctx.IsPost():
		var c Control
		if !httpd.ReadJSON(ctx, &c) {
			return
		}
		if err := r.Control(c); err != nil {
			httpd.WriteBadRequest(ctx, err.Error())
		}
	case path == StatsPath && ctx.IsGet():
		httpd.WriteJSON(ctx, fasthttp.StatusOK, r.Stats())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

package link

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/standin/internal/httpd"
)

// Paths of the control calls.
const (
	ControlPath = "/control"
	StatsPath   = "/control/stats"
)

// Stats counts the connections.
type Stats struct {
	// Accepted connections since the start, and those Open at present.
	Accepted int `json:"accepted"`
	Open     int `json:"open"`
}

// Relay is one running stand-in. All methods may be called from any goroutine.
type Relay struct {
	target string
	addr   string
	server *httpd.Server
	gate   *gate

	mu       sync.Mutex
	closed   bool
	ln       net.Listener
	pairs    map[*pair]struct{}
	accepted int
}

// Start starts a relay. The error tells that an address could not be listened on.
func Start(cfg Config) (*Relay, error) {
	server, err := httpd.Listen(cfg.Control)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		target: cfg.Target,
		addr:   cfg.Listen,
		server: server,
		gate:   newGate(),
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

// Addr is the address relayed from.
func (r *Relay) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// ControlAddr is the address of the control calls.
func (r *Relay) ControlAddr() string { return r.server.Addr() }

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.stopListening()
	r.resetAll()
	r.server.Close()
}

// Stats gives the counts so far.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Accepted: r.accepted, Open: len(r.pairs)}
}

// Control changes how bytes are carried. The error tells that the mode is
// unknown, or that the address could not be listened on again.
func (r *Relay) Control(c Control) error {
	if !c.valid() {
		return &UnknownModeError{Mode: c.Mode}
	}
	r.gate.set(c)
	switch c.Mode {
	case ModeCut:
		r.resetAll()
	case ModeRefuse:
		r.stopListening()
		r.resetAll()
	case ModeSilenceOld:
		r.silenceAll()
	}
	if c.Mode == ModeRefuse {
		return nil
	}
	return r.listen()
}

// listen starts to accept; it does nothing while a listener is open.
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
	go r.accept(ln)
	return nil
}

// stopListening closes the listener, so that new connections are refused.
func (r *Relay) stopListening() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln == nil {
		return
	}
	_ = r.ln.Close()
	r.ln = nil
}

// accept takes connections until the listener is closed.
func (r *Relay) accept(ln net.Listener) {
	for {
		caller, err := ln.Accept()
		if err != nil {
			return
		}
		go r.carry(caller.(*net.TCPConn))
	}
}

// carry joins a caller's connection to the target until either ends.
func (r *Relay) carry(caller *net.TCPConn) {
	p := newPair(caller, r.gate)
	if !r.add(p) || r.gate.mode() == ModeCut {
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

// add notes an open pair; false when the relay is closed.
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

// remove forgets a pair.
func (r *Relay) remove(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// open lists the open pairs.
func (r *Relay) open() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*pair, 0, len(r.pairs))
	for p := range r.pairs {
		out = append(out, p)
	}
	return out
}

// resetAll resets the open connections on both ends.
func (r *Relay) resetAll() {
	for _, p := range r.open() {
		p.reset()
	}
}

// silenceAll silences the open connections for good.
func (r *Relay) silenceAll() {
	for _, p := range r.open() {
		p.silence()
	}
}

// handle answers one control call.
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

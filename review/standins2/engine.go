package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeatInterval is heartbeatMs of the settings.
	heartbeatInterval = 1200 * time.Millisecond
	// workTime is how long an engine works on a request, as the sheet of the site has it.
	workTime = 30 * time.Millisecond
	// downTime is how long an engine that has crashed is away.
	downTime = 2500 * time.Millisecond
	// expiryTime is how long the store keeps the entry of an engine that is silent.
	expiryTime = 3 * heartbeatInterval
)

// engine is a stand-in for one engine of a plain service. After a crash it starts again under its
// id and its address, with a new time of its start, as LETTER-3 and demands/LATER.md allow.
type engine struct {
	id, service, zone, address string
	// base is the id of the first life.
	base   string
	store  *store
	record *record
	// deadly reports whether a request crashes the engine that runs it.
	deadly func(r *http.Request) bool

	// newIDs is true if the engine starts under a new id after a crash. Its entry of before expires.
	newIDs bool
	lives  int
	// work is how long the engine works on a request.
	work time.Duration
	// spoils, unless nil, reports whether the engine answers a request with bytes that belong to
	// none. first is true for the first request of a connection.
	spoils func(first bool) bool
	// closes, unless nil, reports whether a response says that its connection ends.
	closes func() bool

	mu       sync.Mutex
	up       bool
	draining bool
	// clockAhead is how far the time of day of the engine's machine is ahead of true time.
	clockAhead time.Duration
	born       int64
	server     *http.Server
	conns      map[net.Conn]bool
}

// startEngine starts an engine on a free port and writes its entry.
func startEngine(id, service, zone string, s *store, rec *record, deadly func(*http.Request) bool, clockAhead time.Duration) (*engine, error) {
	l, err := listenFree()
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, base: id, service: service, zone: zone, address: l.Addr().String(), store: s, record: rec, deadly: deadly, clockAhead: clockAhead, work: workTime}
	e.serve(l)
	go e.heartbeats()
	return e, nil
}

// serve begins a life of the engine.
func (e *engine) serve(l net.Listener) {
	e.mu.Lock()
	if e.lives++; e.newIDs && e.lives > 1 {
		old := e.id
		time.AfterFunc(expiryTime-downTime, func() { e.store.remove("servers", old) })
		e.id = fmt.Sprintf("%s-%d", e.base, e.lives)
	}
	e.up, e.draining, e.born, e.conns = true, false, time.Now().Add(e.clockAhead).UnixMilli(), make(map[net.Conn]bool)
	e.record.add("engine %s starts, born %d", e.id, e.born)
	e.server = &http.Server{Handler: e, ConnState: e.connState, ConnContext: countRequests, IdleTimeout: time.Second}
	server := e.server
	e.mu.Unlock()
	e.writeEntry()
	go func() { _ = server.Serve(l) }()
}

// requestCount is the key of the number of requests of a connection.
type requestCount struct{}

// countRequests gives a connection its counter.
func countRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, requestCount{}, new(atomic.Int64))
}

// connState keeps the open connections, which a crash resets.
func (e *engine) connState(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.conns, c)
		return
	}
	e.conns[c] = true
}

// writeEntry writes the engine's entry to the store.
func (e *engine) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.store.set("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 6,
		"state": state, "coldRemainingMs": 0, "sequence": 1, "born": e.born,
	})
}

// heartbeats keeps the entry in the store. It changes only when the engine starts again.
func (e *engine) heartbeats() {
	for range time.Tick(heartbeatInterval) {
		e.writeEntry()
	}
}

// setClock steps the time of day of the engine's machine.
func (e *engine) setClock(ahead time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clockAhead = ahead
}

// drain reports that the engine is leaving. It returns the time at which the store has accepted
// that. The engine goes on serving.
func (e *engine) drain() time.Time {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.writeEntry()
	at := time.Now()
	e.record.add("the store has accepted that engine %s is draining", e.id)
	return at
}

// crash ends the engine at once: its connections are reset and new ones are refused. It starts
// again after a time, before its entry expires.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(down, func() {
		for {
			l, err := net.Listen("tcp", e.address)
			if err == nil {
				e.serve(l)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	id, born := e.id, e.born
	e.mu.Unlock()
	w.Header().Set("X-Instance-Id", id)
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/-/report" || r.URL.Path == "/-/order" {
		w.WriteHeader(http.StatusNotFound) // plain services have neither
		return
	}
	e.record.add("engine %s (born %d) runs request %s %s", id, born, request, r.URL.Path)
	e.record.ran(request, id)
	ctx, cancel := context.WithTimeout(r.Context(), e.work)
	defer cancel()
	<-ctx.Done()
	if e.deadly(r) {
		e.record.add("engine %s crashes under request %s", id, request)
		e.record.crashed()
		e.crash(downTime)
		panic(http.ErrAbortHandler)
	}
	// The engine closes idle connections after a second, and says so.
	w.Header().Set("Keep-Alive", "timeout=1")
	first := r.Context().Value(requestCount{}).(*atomic.Int64).Add(1) == 1
	if e.spoils != nil && e.spoils(first) {
		e.spoil(w, id, request)
		return
	}
	if e.closes != nil && e.closes() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("X-Response-Seal", "seal-"+request)
	w.Header().Set("X-Engine-Load", "0,0,6")
	_, _ = fmt.Fprintf(w, "%s %s %s", request, r.URL.Path, body)
}

// spoiled are the bytes that a faulty engine sends in place of its answer. They have neither the id
// of a request nor a signature.
const spoiled = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 17\r\n\r\nout of memory: 0\n"

// spoil sends such bytes.
func (e *engine) spoil(w http.ResponseWriter, id, request string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	e.record.add("engine %s sends bytes that belong to no request in place of its answer to %s", id, request)
	_, _ = conn.Write([]byte(spoiled))
	// The connection stays open for a second, like an idle one.
	time.AfterFunc(time.Second, func() { _ = conn.Close() })
}

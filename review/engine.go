package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is one request as an engine saw it.
type arrival struct {
	at                      time.Time
	engine, request, tenant string
	service, path           string
}

// engine is a stand-in for one engine of a plain service.
type engine struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64
	log                        *arrivals
	server                     *http.Server
	// state and cold are fields of the engine's entry.
	mu    sync.Mutex
	state string
	cold  int
}

// arrivals collects the requests that all engines ran.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

func startEngine(id, service, zone string, work time.Duration, log *arrivals) *engine {
	listener := listenOnFreePort()
	e := &engine{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: 6, work: work,
		born: time.Now().UnixMilli(), log: log, state: "ready",
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	return e
}

// entry returns the engine's entry in the store.
func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state,
		"coldRemainingMs": e.cold, "sequence": 0, "born": e.born,
	}
}

func (e *engine) setCold(ms int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = ms
}

// exit ends the engine: it closes its listener and all its connections.
func (e *engine) exit() { _ = e.server.Close() }

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.log.add(arrival{at: time.Now(), engine: e.id, request: id, tenant: r.Header.Get("X-Tenant"), service: e.service, path: r.URL.Path})
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	answer := fmt.Sprintf("%s %s %s %s", e.service, strings.TrimSpace(r.URL.Path), r.Header.Get("X-Tenant"), body)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", "seal-"+e.id+"-"+id)
	w.Header().Set("X-Engine-Load", fmt.Sprintf("1,0,%d", e.slots))
	_, _ = io.WriteString(w, answer)
}

package engine

import (
	"context"
	"sync"
	"time"

	"mimosaarch.example/core/engineapi"
)

// stageIdle is how long after its last step a request counts as running on a
// later stage.
const stageIdle = time.Second

// attemptKey names one attempt.
type attemptKey struct {
	request string
	attempt int
}

// registry holds the runs of this engine by request, the slots they take and
// the tombstones. It is safe for concurrent use.
type registry struct {
	cfg  Config
	book *book

	mu     sync.Mutex
	closed bool
	taken  int
	runs   map[string]*run
	live   map[*run]struct{}
	// ended lists the runs that ended, oldest first.
	ended      []endedRun
	tombstones *boundedSet
	// active holds when each attempt last ran a step here as a later stage.
	active map[attemptKey]time.Time
}

// endedRun is a run that ended, and until when it is kept.
type endedRun struct {
	run   *run
	until time.Time
}

// newRegistry makes an empty registry.
func newRegistry(cfg Config, b *book) *registry {
	return &registry{
		cfg:        cfg,
		book:       b,
		runs:       make(map[string]*run),
		live:       make(map[*run]struct{}),
		tombstones: newBoundedSet(cfg.KeepRuns),
		active:     make(map[attemptKey]time.Time),
	}
}

// start takes a slot and makes the run of an attempt; an earlier attempt's
// run of the same request is stopped. With a code, nothing was started.
func (g *registry) start(req *engineapi.ChatRequest, cancel context.CancelFunc) (*run, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		return nil, engineapi.CodeLeaving
	case g.tombstones.has(req.Request):
		return nil, engineapi.CodeTombstoned
	case g.taken >= g.cfg.Slots:
		return nil, engineapi.CodeBusy
	}
	if old, ok := g.runs[req.Request]; ok {
		old.stop()
	}
	r := newRun(req, g.cfg, g.book, cancel)
	g.book.start(req.Request, req.Attempt)
	g.taken++
	g.runs[req.Request] = r
	g.live[r] = struct{}{}
	return r, ""
}

// get gives the newest run of a request, nil when there is none.
func (g *registry) get(request string) *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(time.Now())
	return g.runs[request]
}

// bury gives the run of a request; without one, the request will be refused
// from now on.
func (g *registry) bury(request string) *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(time.Now())
	if r, ok := g.runs[request]; ok {
		return r
	}
	g.tombstones.add(request)
	return nil
}

// release gives a run's slot back; its stream is kept for a while.
func (g *registry) release(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.taken--
	delete(g.live, r)
	g.ended = append(g.ended, endedRun{run: r, until: now.Add(millis(g.cfg.KeepMs))})
	g.sweep(now)
}

// sweep forgets the ended runs kept for too long, or beyond the bound. The
// caller holds the lock.
func (g *registry) sweep(now time.Time) {
	for len(g.ended) > 0 {
		oldest := g.ended[0]
		if len(g.ended) <= g.cfg.KeepStreams && now.Before(oldest.until) {
			return
		}
		g.ended = g.ended[1:]
		if g.runs[oldest.run.request] == oldest.run {
			delete(g.runs, oldest.run.request)
		}
	}
}

// touch notes a step run as a later stage.
func (g *registry) touch(call stepCall, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := attemptKey{request: call.Request, attempt: call.Attempt}
	if call.Final {
		delete(g.active, key)
		return
	}
	g.active[key] = now
}

// running counts the requests that run here, as head or as a later stage.
func (g *registry) running(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, last := range g.active {
		if now.Sub(last) > stageIdle {
			delete(g.active, key)
		}
	}
	return g.taken + len(g.active)
}

// closeAll stops every run and refuses new ones.
func (g *registry) closeAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for r := range g.live {
		r.stop()
	}
}

package engine

import (
	"context"
	"sync"
	"time"

	"mimosaarch.example/core/engineapi"
)

// stageIdleTimeout is how long an attempt counts as running on a later stage after
// its last step there. A stage is not notified when an attempt ends early.
const stageIdleTimeout = time.Second

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	request string
	attempt int
}

// registry holds the runs of this engine by request, counts the slots in use and
// holds the tombstones of requests cancelled before they started. It is safe for
// concurrent use.
type registry struct {
	cfg      Config
	recorder *recorder

	mu         sync.Mutex
	closed     bool
	slotsInUse int
	runs       map[string]*run   // newest run of each request, including kept ended ones
	live       map[*run]struct{} // runs that still occupy a slot
	// ended lists the released runs, oldest first.
	ended      []endedRun
	tombstones *boundedSet
	// lastStageStep is when each attempt last ran a step on this engine as a later
	// stage.
	lastStageStep map[attemptKey]time.Time
}

// endedRun is a released run whose stream can be rejoined until keepUntil.
type endedRun struct {
	run       *run
	keepUntil time.Time
}

// newRegistry returns an empty registry with the limits of cfg.
func newRegistry(cfg Config, rec *recorder) *registry {
	return &registry{
		cfg:           cfg,
		recorder:      rec,
		runs:          make(map[string]*run),
		live:          make(map[*run]struct{}),
		tombstones:    newBoundedSet(cfg.KeepRuns),
		lastStageStep: make(map[attemptKey]time.Time),
	}
}

// start takes a slot and creates the run of an attempt. It stops the run of an
// earlier attempt of the same request. It returns the refusal code instead if nothing
// was started.
func (g *registry) start(req *engineapi.ChatRequest, cancel context.CancelFunc) (*run, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		return nil, engineapi.CodeLeaving
	case g.tombstones.has(req.Request):
		return nil, engineapi.CodeTombstoned
	case g.slotsInUse >= g.cfg.Slots:
		return nil, engineapi.CodeBusy
	}
	if old, ok := g.runs[req.Request]; ok {
		old.stop()
	}
	r := newRun(req, g.cfg, g.recorder, cancel)
	g.recorder.attemptStarted(req.Request, req.Attempt)
	g.slotsInUse++
	g.runs[req.Request] = r
	g.live[r] = struct{}{}
	return r, ""
}

// get returns the newest run of a request, or nil if none is kept.
func (g *registry) get(request string) *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(time.Now())
	return g.runs[request]
}

// getOrTombstone returns the run of a request. If there is none it returns nil and
// records a tombstone, so that start refuses the request from then on.
func (g *registry) getOrTombstone(request string) *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(time.Now())
	if r, ok := g.runs[request]; ok {
		return r
	}
	g.tombstones.add(request)
	return nil
}

// tombstoneUnstarted records a tombstone for a request that has not started, and reports
// whether it did. A request whose ended run is no longer kept has started too.
func (g *registry) tombstoneUnstarted(request string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.runs[request]; ok || g.recorder.started(request) {
		return false
	}
	g.tombstones.add(request)
	return true
}

// release frees the slot of a run that ended. Its stream can be rejoined for another
// Config.KeepMs.
func (g *registry) release(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.slotsInUse--
	delete(g.live, r)
	g.ended = append(g.ended, endedRun{run: r, keepUntil: now.Add(millis(g.cfg.KeepMs))})
	g.sweep(now)
}

// sweep removes the ended runs that are kept past their time, and the oldest ones
// beyond Config.KeepStreams. The caller holds the lock.
func (g *registry) sweep(now time.Time) {
	for len(g.ended) > 0 {
		oldest := g.ended[0]
		if len(g.ended) <= g.cfg.KeepStreams && now.Before(oldest.keepUntil) {
			return
		}
		g.ended = g.ended[1:]
		if g.runs[oldest.run.request] == oldest.run {
			delete(g.runs, oldest.run.request)
		}
	}
}

// noteStageStep records that an attempt ran a step on this engine as a later stage,
// or removes the attempt after its final step.
func (g *registry) noteStageStep(call stepCall, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := attemptKey{request: call.Request, attempt: call.Attempt}
	if call.Final {
		delete(g.lastStageStep, key)
		return
	}
	g.lastStageStep[key] = now
}

// countRunning returns the number of attempts that run on this engine, as head or as
// a later stage. It drops attempts idle for longer than stageIdleTimeout.
func (g *registry) countRunning(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, last := range g.lastStageStep {
		if now.Sub(last) > stageIdleTimeout {
			delete(g.lastStageStep, key)
		}
	}
	return g.slotsInUse + len(g.lastStageStep)
}

// closeAll stops every run and makes start refuse new ones.
func (g *registry) closeAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for r := range g.live {
		r.stop()
	}
}

package bench

import (
	"context"
	"sync"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/loadgen/load"
	"mimosaarch.example/loadgen/report"
	"mimosaarch.example/node"
	standins "mimosaarch.example/standin/fleet"
)

// Failure is what a bench makes fail.
type Failure string

// Failures.
const (
	FailNothing Failure = ""
	// FailEngine kills an engine of a middle stage.
	FailEngine Failure = "engine"
	// FailNode stops a node at once and cuts its streams.
	FailNode Failure = "node"
	// FailDrain stops a node as planned.
	FailDrain Failure = "drain"
)

// drainWithin bounds a planned stop.
const drainWithin = 30 * time.Second

// Failed is what was made to fail, and what it did to requests.
type Failed struct {
	Kind Failure `json:"kind"`
	// Name is the engine's or the node's address.
	Name string `json:"name"`
	// BoundSteps is the token steps a second that the rest allows.
	BoundSteps float64 `json:"bound_steps_per_s"`
	// Repeats counts requests that got no answer from one node and were sent
	// to another.
	Repeats int64 `json:"repeats"`
	// StopError tells why a planned stop cut requests off; empty for none.
	StopError string `json:"stop_error,omitempty"`
	// HeldUp are the requests that the failure held up longest.
	HeldUp []HeldUp `json:"held_up,omitempty"`
}

// checkFailure checks the options of a failure.
func (o Options) checkFailure() error {
	switch {
	case o.Fail == FailNothing:
		return nil
	case o.Fail != FailEngine && o.Fail != FailNode && o.Fail != FailDrain:
		return &SettingError{Option: "fail", Expected: "engine, node or drain"}
	case o.FailAt <= 0 || o.FailAt >= o.For:
		return &SettingError{Option: "fail at", Expected: "a time within the run"}
	case o.Fail != FailEngine && o.Nodes < 2:
		return &SettingError{Option: "nodes", Expected: "at least 2 for one to fail"}
	}
	return nil
}

// failing makes a failure happen in a run and watches what it does. Without a
// failure it only passes samples on. Many goroutines call Done.
type failing struct {
	*heldUp
	fixture  *fixture
	recorder *report.Recorder
	front    *front
	result   Failed
	// target is the tokens a second to come back to.
	target float64
	victim *node.Node
	duties sync.WaitGroup
	cancel context.CancelFunc
}

// newFailing prepares the failure of the options. offered is in token steps a
// second; tokens is the tokens of a step.
func (f *fixture) newFailing(recorder *report.Recorder, offered, tokens float64) (*failing, error) {
	x := &failing{fixture: f, recorder: recorder, heldUp: &heldUp{}, cancel: func() {}}
	if f.options.Fail == FailNothing {
		return x, nil
	}
	front, err := newFront(f.backends())
	if err != nil {
		return nil, err
	}
	x.front = front
	x.result = Failed{Kind: f.options.Fail}
	rest := f.config
	if f.options.Fail == FailEngine {
		x.result.Name, rest = withoutMiddle(f.config)
	} else {
		x.victim = f.nodes[len(f.nodes)/2]
		x.result.Name = x.victim.CallerAddr()
	}
	x.result.BoundSteps = Bound(rest)
	x.target = min(offered, x.result.BoundSteps) * tokens
	return x, nil
}

// backends are the nodes as a front sees them.
func (f *fixture) backends() []backend {
	out := make([]backend, len(f.nodes))
	for i, n := range f.nodes {
		out[i] = backend{address: n.CallerAddr(), ready: n.Ready}
	}
	return out
}

// withoutMiddle gives the first engine that holds neither the first nor the
// last layer, and the set without it.
func withoutMiddle(cfg standins.Config) (string, standins.Config) {
	for i, spec := range cfg.Engines {
		if spec.Engine.First == 0 || spec.Engine.Last == cfg.Layers-1 {
			continue
		}
		rest := cfg
		rest.Engines = append(append([]standins.EngineSpec{}, cfg.Engines[:i]...), cfg.Engines[i+1:]...)
		return spec.Engine.ID, rest
	}
	return "", cfg
}

// addresses are where callers go.
func (x *failing) addresses() []string {
	if x.front == nil {
		return x.fixture.addresses()
	}
	return []string{x.front.listener.Addr().String()}
}

// Observe implements load.Observer.
func (x *failing) Observe(s *load.Sample) {
	x.see(s)
	x.recorder.Observe(s)
}

// schedule lets the failure happen at its time after start, unless ctx ends
// first.
func (x *failing) schedule(ctx context.Context, start time.Time) {
	if x.front == nil {
		return
	}
	ctx, x.cancel = context.WithCancel(ctx)
	x.duties.Add(1)
	go func() {
		defer x.duties.Done()
		timer := time.NewTimer(time.Until(start.Add(x.fixture.options.FailAt)))
		defer timer.Stop()
		select {
		case <-timer.C:
			x.fail()
		case <-ctx.Done():
		}
	}()
}

// fail makes the failure happen.
func (x *failing) fail() {
	now := time.Now()
	x.failed(now)
	x.recorder.RecordFailure(now, x.target)
	switch x.result.Kind {
	case FailEngine:
		// Kill fails only for an engine that the set doesn't have.
		_ = x.fixture.standins.Kill(x.result.Name)
	case FailNode:
		x.fixture.stopped = map[*node.Node]bool{x.victim: true}
		// The end of a process closes its connections; Close of a node in
		// this process leaves those of its callers open.
		x.front.cut(x.result.Name)
		x.victim.Close()
	case FailDrain:
		x.fixture.stopped = map[*node.Node]bool{x.victim: true}
		ctx, done := context.WithTimeout(context.Background(), drainWithin)
		defer done()
		if err := x.victim.Shutdown(ctx); err != nil {
			x.result.StopError = err.Error()
		}
	}
}

// end waits for the failure and tells of it; nil without one.
func (x *failing) end() *Failed {
	x.cancel()
	x.duties.Wait()
	if x.front == nil {
		return nil
	}
	out := x.result
	out.Repeats = x.front.repeats.Load()
	out.HeldUp = x.explain(func(id ids.Request) []Decision { return x.fixture.decisions(id, x.at) })
	return &out
}

// close stops what the failure needed.
func (x *failing) close() {
	x.cancel()
	x.duties.Wait()
	if x.front != nil {
		x.front.close()
	}
}

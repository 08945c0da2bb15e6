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

// FailureKind is the kind of failure that a bench run injects.
type FailureKind string

// Failure kinds.
const (
	FailNone FailureKind = ""
	// FailEngine kills an engine of a middle stage.
	FailEngine FailureKind = "engine"
	// FailNode stops a node abruptly and closes its connections.
	FailNode FailureKind = "node"
	// FailDrain drains a node and stops it.
	FailDrain FailureKind = "drain"
)

// drainTimeout limits the drain of a node.
const drainTimeout = 30 * time.Second

// FailureReport describes an injected failure and its effect on requests.
type FailureReport struct {
	Kind FailureKind `json:"kind"`
	// Name is the ID of the engine or the caller address of the node.
	Name string `json:"name"`
	// RemainingBoundStepsPerSec is the upper bound without a failed engine, in
	// token steps per second.
	RemainingBoundStepsPerSec float64 `json:"bound_steps_per_s"`
	// Resends counts the times that the proxy sent a request to another node
	// because the first one did not answer.
	Resends int64 `json:"repeats"`
	// StopError is the error of a drain that cut off requests; empty if there
	// is none.
	StopError string `json:"stop_error,omitempty"`
	// LongestStalls are the requests that the failure delayed longest, longest
	// first.
	LongestStalls []StalledRequest `json:"held_up,omitempty"`
}

// validateFailure checks the options of a failure. The error is an *OptionError.
func (o Options) validateFailure() error {
	switch {
	case o.Failure == FailNone:
		return nil
	case o.Failure != FailEngine && o.Failure != FailNode && o.Failure != FailDrain:
		return &OptionError{Option: "fail", Expected: "engine, node or drain"}
	case o.FailAfter <= 0 || o.FailAfter >= o.Duration:
		return &OptionError{Option: "fail at", Expected: "a time within the run"}
	case o.Failure != FailEngine && o.Nodes < 2:
		return &OptionError{Option: "nodes", Expected: "at least 2 for one to fail"}
	}
	return nil
}

// failureInjector injects a failure into a run and records its effect on requests.
// If no failure is configured, it only forwards samples to the recorder. Done may
// be called concurrently.
type failureInjector struct {
	*stallRecorder
	fixture  *fixture
	recorder *report.Recorder
	proxy    *proxy
	result   FailureReport
	// recoveryTarget is the throughput that counts as recovered, in tokens per
	// second.
	recoveryTarget float64
	failedNode     *node.Node
	wg             sync.WaitGroup
	cancel         context.CancelFunc
}

// newFailureInjector prepares the failure set in the options. offered is the
// offered load in token steps per second; tokens is the mean number of answer
// tokens per step.
func (f *fixture) newFailureInjector(recorder *report.Recorder, offered, tokens float64) (*failureInjector, error) {
	x := &failureInjector{fixture: f, recorder: recorder, stallRecorder: &stallRecorder{}, cancel: func() {}}
	if f.options.Failure == FailNone {
		return x, nil
	}
	proxy, err := newProxy(f.backends())
	if err != nil {
		return nil, err
	}
	x.proxy = proxy
	x.result = FailureReport{Kind: f.options.Failure}
	rest := f.config
	if f.options.Failure == FailEngine {
		x.result.Name, rest = removeMiddleEngine(f.config)
	} else {
		x.failedNode = f.nodes[len(f.nodes)/2]
		x.result.Name = x.failedNode.CallerAddr()
	}
	x.result.RemainingBoundStepsPerSec = Bound(rest)
	x.recoveryTarget = min(offered, x.result.RemainingBoundStepsPerSec) * tokens
	return x, nil
}

// backends returns the nodes as backends of the proxy.
func (f *fixture) backends() []backend {
	out := make([]backend, len(f.nodes))
	for i, n := range f.nodes {
		out[i] = backend{address: n.CallerAddr(), ready: n.Ready}
	}
	return out
}

// removeMiddleEngine returns the ID of the first engine that holds neither the
// first nor the last layer, and the configuration without it. If there is none, it
// returns an empty ID and cfg.
func removeMiddleEngine(cfg standins.Config) (string, standins.Config) {
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

// addresses returns the addresses that callers use: the proxy's, or the nodes' if
// no failure is configured.
func (x *failureInjector) addresses() []string {
	if x.proxy == nil {
		return x.fixture.addresses()
	}
	return []string{x.proxy.listener.Addr().String()}
}

// Observe implements load.Observer.
func (x *failureInjector) Observe(s *load.Sample) {
	x.record(s)
	x.recorder.Observe(s)
}

// schedule starts a goroutine that injects the failure FailAfter after start,
// unless ctx ends first.
func (x *failureInjector) schedule(ctx context.Context, start time.Time) {
	if x.proxy == nil {
		return
	}
	ctx, x.cancel = context.WithCancel(ctx)
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		timer := time.NewTimer(time.Until(start.Add(x.fixture.options.FailAfter)))
		defer timer.Stop()
		select {
		case <-timer.C:
			x.injectFailure()
		case <-ctx.Done():
		}
	}()
}

// injectFailure records the time of the failure and injects it.
func (x *failureInjector) injectFailure() {
	now := time.Now()
	x.setFailureTime(now)
	x.recorder.RecordFailure(now, x.recoveryTarget)
	switch x.result.Kind {
	case FailEngine:
		// Kill fails only for an unknown engine.
		_ = x.fixture.standins.Kill(x.result.Name)
	case FailNode:
		x.fixture.stopped = map[*node.Node]bool{x.failedNode: true}
		// A terminated process loses all its connections, but Close of a node
		// in this process leaves those of its callers open.
		x.proxy.closeConns(x.result.Name)
		x.failedNode.Close()
	case FailDrain:
		x.fixture.stopped = map[*node.Node]bool{x.failedNode: true}
		ctx, done := context.WithTimeout(context.Background(), drainTimeout)
		defer done()
		if err := x.failedNode.Shutdown(ctx); err != nil {
			x.result.StopError = err.Error()
		}
	}
}

// report cancels a pending failure, waits for a running one and returns the
// report; nil if no failure is configured.
func (x *failureInjector) report() *FailureReport {
	x.cancel()
	x.wg.Wait()
	if x.proxy == nil {
		return nil
	}
	out := x.result
	out.Resends = x.proxy.resends.Load()
	out.LongestStalls = x.withDecisions(func(id ids.Request) []Decision { return x.fixture.decisions(id, x.failedAt) })
	return &out
}

// close cancels a pending failure and stops the proxy.
func (x *failureInjector) close() {
	x.cancel()
	x.wg.Wait()
	if x.proxy != nil {
		x.proxy.close()
	}
}

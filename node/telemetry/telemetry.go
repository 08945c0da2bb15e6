// Package telemetry holds a node's counters and histograms: one counter for
// each refusal, retry and outcome reason.
package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// Prefixes of counter names; a reason or outcome follows.
const (
	RefusalPrefix       = "refusal."
	RetryPrefix         = "retry."
	AttemptFailedPrefix = "attempt_failed."
	OutcomePrefix       = "outcome."
	ErrorPrefix         = "error."
)

// Names of histograms, in microseconds.
const (
	QueueWaitHistogram = "wait_us"
	TotalTimeHistogram = "total_us"
)

// Sample sizes of histograms.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Telemetry counts what the decisions say. Any goroutine may call any method.
type Telemetry struct {
	registry metrics.Registry
	wait     metrics.Histogram
	total    metrics.Histogram
}

// New makes a Telemetry without counts.
func New() *Telemetry {
	t := &Telemetry{registry: metrics.NewRegistry()}
	t.wait = t.histogram(QueueWaitHistogram)
	t.total = t.histogram(TotalTimeHistogram)
	return t
}

// histogram makes and registers one histogram.
func (t *Telemetry) histogram(name string) metrics.Histogram {
	h := metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	// A name is registered once only, so this cannot fail.
	_ = t.registry.Register(name, h)
	return h
}

// CountDecision counts one decision.
func (t *Telemetry) CountDecision(d router.Decision) {
	switch d.Step {
	case router.StepRefused:
		t.CountRefusal(d.Reason)
	case router.StepRetried, router.StepJoined:
		t.count(RetryPrefix + string(d.Reason))
	case router.StepFailed:
		t.count(AttemptFailedPrefix + string(d.Reason))
	case router.StepSent:
		t.wait.Update(d.Wait.Microseconds())
	case router.StepFinished:
		t.finished(d)
	}
}

// finished counts a final answer.
func (t *Telemetry) finished(d router.Decision) {
	t.count(OutcomePrefix + string(d.Outcome))
	t.total.Update(d.Wait.Microseconds())
	if d.Outcome != outcome.Complete {
		t.count(RefusalPrefix + string(d.Reason))
	}
}

// CountRefusal counts a refusal made before a request was held.
func (t *Telemetry) CountRefusal(reason outcome.Reason) {
	t.count(OutcomePrefix + string(outcome.NotRun))
	t.count(RefusalPrefix + string(reason))
}

// CountError counts an error that is not about one request, by its kind.
func (t *Telemetry) CountError(kind string) { t.count(ErrorPrefix + kind) }

// ObserveDuration notes how long a duty's step took.
func (t *Telemetry) ObserveDuration(name string, d time.Duration) { t.Timer(name)(d) }

// Timer gives ObserveDuration for one name, which is looked up once.
func (t *Telemetry) Timer(name string) func(d time.Duration) {
	return metrics.GetOrRegisterTimer(name, t.registry).Update
}

// Add adds to a counter.
func (t *Telemetry) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, t.registry).Inc(n)
}

// Gauge shows the value that f gives when the counters are read. Any goroutine
// may call f.
func (t *Telemetry) Gauge(name string, f func() int64) {
	// A name is registered once only, so this cannot fail.
	_ = t.registry.Register(name, metrics.NewFunctionalGauge(f))
}

// count adds one to a counter.
func (t *Telemetry) count(name string) { t.Add(name, 1) }

// Registry gives the counters for the operator port.
func (t *Telemetry) Registry() metrics.Registry { return t.registry }

// Package telemetry holds the metrics of a node: counters for each reason of a
// refusal, retry or failure and for each outcome, and histograms of request
// times.
package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// Prefixes of counter names. The reason, outcome or kind of error follows.
const (
	RefusalPrefix       = "refusal."
	RetryPrefix         = "retry."
	AttemptFailedPrefix = "attempt_failed."
	OutcomePrefix       = "outcome."
	ErrorPrefix         = "error."
)

// Names of histograms, whose values are in microseconds since the arrival of a
// request: until an attempt is sent upstream, and until the final answer.
const (
	TimeToSendHistogram = "wait_us"
	TotalTimeHistogram  = "total_us"
)

// Parameters of the exponentially decaying samples behind the histograms.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Telemetry registers and updates the metrics of one node. It is safe for
// concurrent use.
type Telemetry struct {
	registry metrics.Registry
	wait     metrics.Histogram
	total    metrics.Histogram
}

// New returns a Telemetry with an empty registry apart from its two histograms.
func New() *Telemetry {
	t := &Telemetry{registry: metrics.NewRegistry()}
	t.wait = t.histogram(TimeToSendHistogram)
	t.total = t.histogram(TotalTimeHistogram)
	return t
}

// histogram creates and registers a histogram.
func (t *Telemetry) histogram(name string) metrics.Histogram {
	h := metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	// Register fails only for a name that is already registered.
	_ = t.registry.Register(name, h)
	return h
}

// CountDecision updates the metrics for one routing decision.
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

// finished counts the final answer to a request.
func (t *Telemetry) finished(d router.Decision) {
	t.count(OutcomePrefix + string(d.Outcome))
	t.total.Update(d.Wait.Microseconds())
	if d.Outcome != outcome.Complete {
		t.count(RefusalPrefix + string(d.Reason))
	}
}

// CountRefusal counts a request that was refused without being run, by reason.
func (t *Telemetry) CountRefusal(reason outcome.Reason) {
	t.count(OutcomePrefix + string(outcome.NotRun))
	t.count(RefusalPrefix + string(reason))
}

// CountError counts an error that does not belong to a single request, by kind.
func (t *Telemetry) CountError(kind string) { t.count(ErrorPrefix + kind) }

// ObserveDuration adds a duration to the timer with the given name.
func (t *Telemetry) ObserveDuration(name string, d time.Duration) { t.Timer(name)(d) }

// Timer returns a function that adds durations to the timer with the given
// name. It avoids the lookup by name of ObserveDuration.
func (t *Telemetry) Timer(name string) func(d time.Duration) {
	return metrics.GetOrRegisterTimer(name, t.registry).Update
}

// Add adds n to the counter with the given name.
func (t *Telemetry) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, t.registry).Inc(n)
}

// Gauge registers a gauge whose value is read by calling f. f must be safe for
// concurrent use.
func (t *Telemetry) Gauge(name string, f func() int64) {
	// Register fails only for a name that is already registered.
	_ = t.registry.Register(name, metrics.NewFunctionalGauge(f))
}

// count adds one to a counter.
func (t *Telemetry) count(name string) { t.Add(name, 1) }

// Registry returns the registry of all metrics, for the operator port.
func (t *Telemetry) Registry() metrics.Registry { return t.registry }

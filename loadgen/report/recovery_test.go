package report

import (
	"testing"
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/load"
)

// steady returns a request with a token every 50 ms between two times, in
// milliseconds since the start.
func steady(from, until int) *load.Sample {
	var tokens []int
	for ms := from; ms < until; ms += 50 {
		tokens = append(tokens, ms)
	}
	return sample(from, tokens...)
}

// recoveryOf returns the recovery of a run of 4 s with these samples, a failure
// after 2 s and a target rate of 20 tokens per second.
func recoveryOf(samples ...*load.Sample) *Recovery {
	r := New(Options{Start: start, WindowStart: time.Second, WindowEnd: 4 * time.Second})
	r.RecordFailure(at(2000), 20)
	for _, s := range samples {
		r.Observe(s)
	}
	return r.Report().Recovery
}

func TestRecoveryCountsFromTheFailureToAWholeWindow(t *testing.T) {
	cut := steady(0, 2000)
	cut.End, cut.Outcome, cut.Reason = at(2001), outcome.Unknown, load.CutOff
	refused := &load.Sample{Due: at(2100), End: at(2100), Outcome: outcome.NotRun, Reason: outcome.QueueFull}
	early := &load.Sample{Due: at(100), End: at(1900), Outcome: outcome.Unknown, Reason: load.CutOff}
	r := recoveryOf(cut, refused, early, steady(2600, 4000))
	if !r.Recovered || !near(r.RecoverySeconds, 1.1) || !near(r.LastBelowSeconds, 1.0) {
		t.Errorf("recovery is %+v, want 1.1 s, the end of the first whole window after 2.6 s", r)
	}
	if !near(r.RateBefore, 20) || !near(r.RateAfter, 14) || r.LowestRate != 0 || r.BelowShareBefore != 0 || !near(r.BelowShareAfter, 6.0/16) {
		t.Errorf("rates are %+v", r)
	}
	if r.CutOff != 1 || r.NotComplete != 2 {
		t.Errorf("%d cut off, %d not complete", r.CutOff, r.NotComplete)
	}
}

func TestNoRecovery(t *testing.T) {
	if r := recoveryOf(steady(0, 2000)); r.Recovered || r.RecoverySeconds != 0 || !near(r.LastBelowSeconds, 2) {
		t.Errorf("recovery is %+v without a token after the failure", r)
	}
	if r := reportOf(steady(0, 2000)).Recovery; r != nil {
		t.Errorf("recovery is %+v without a failure", r)
	}
}

// near reports whether two numbers are equal up to rounding errors.
func near(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }

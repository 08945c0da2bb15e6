package report

import (
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/load"
)

// Throughput after a failure is measured over a sliding window of
// recoveryWindow that advances by recoveryStep.
const (
	recoveryStep   = 100 * time.Millisecond
	recoveryWindow = 500 * time.Millisecond
	// stepsPerWindow is the number of steps in a window.
	stepsPerWindow = int(recoveryWindow / recoveryStep)
	// recoveredShare is the share of the target rate at which throughput counts
	// as recovered.
	recoveredShare = 0.95
)

// Recovery describes the throughput around a failure that was injected into a
// run. Rates are in tokens per second. Windows are 500 ms long and advance by
// 100 ms. Windows after the failure begin at or after it, so that none contains
// tokens from before it.
type Recovery struct {
	// FailureSeconds is the time of the failure, in seconds since the run's
	// start.
	FailureSeconds float64 `json:"at_s"`
	// TargetRate is the throughput expected after the failure. At 95% of it
	// throughput counts as recovered.
	TargetRate float64 `json:"target_tokens_per_s"`
	// Recovered reports whether a window reached 95% of the target rate before
	// the end of the steady window. RecoverySeconds is the time from the
	// failure to the end of the first such window, at least the length of a
	// window.
	Recovered       bool    `json:"recovered"`
	RecoverySeconds float64 `json:"recovery_s"`
	// LastBelowSeconds is the time from the failure to the end of the last
	// window below 95% of the target rate; 0 if there is none.
	LastBelowSeconds float64 `json:"last_below_s"`
	// RateBefore and RateAfter are the mean rates of the steady window before
	// and after the failure. LowestRate is that of the lowest window after it.
	RateBefore float64 `json:"before_tokens_per_s"`
	RateAfter  float64 `json:"after_tokens_per_s"`
	LowestRate float64 `json:"lowest_tokens_per_s"`
	// BelowShareBefore and BelowShareAfter are the shares of windows below 95%
	// of the target rate before and after the failure. The share before shows
	// how often the rate falls that low without a failure.
	BelowShareBefore float64 `json:"below_before_share"`
	BelowShareAfter  float64 `json:"below_after_share"`
	// CutOff counts requests that ended after the failure with the outcome
	// unknown. NotComplete counts all that ended after it without a complete,
	// right answer.
	CutOff      int `json:"cut_off"`
	NotComplete int `json:"not_complete"`
}

// failure is an injected failure.
type failure struct {
	at time.Time
	// targetRate is in tokens per second.
	targetRate float64
}

// RecordFailure records that a failure was injected, and the throughput expected
// after it, in tokens per second. Only the last failure counts.
func (r *Recorder) RecordFailure(at time.Time, targetRate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = &failure{at: at, targetRate: targetRate}
}

// countAfterFailure counts a request that ended after the failure without a
// complete, right answer. The caller holds the lock.
func (r *Recorder) countAfterFailure(s *load.Sample) {
	if r.failure == nil || s.Complete() || s.End.Before(r.failure.at) {
		return
	}
	r.notComplete++
	if s.Outcome == outcome.Unknown {
		r.cutOff++
	}
}

// recovery describes the recovery from the last failure; nil without a failure.
// The caller holds the lock.
func (r *Recorder) recovery() *Recovery {
	if r.failure == nil {
		return nil
	}
	failedAt := r.failure.at.Sub(r.options.Start)
	out := &Recovery{
		FailureSeconds: failedAt.Seconds(),
		TargetRate:     r.failure.targetRate,
		CutOff:         r.cutOff,
		NotComplete:    r.notComplete,
	}
	// Rounded up, since the step in which the failure lies also has tokens from
	// before it.
	firstAfter := int((failedAt + recoveryStep - 1) / recoveryStep)
	end := int(r.options.WindowEnd / recoveryStep)
	out.setBefore(r.recoverySeries, int(r.options.WindowStart/recoveryStep), int(failedAt/recoveryStep))
	out.setAfter(r.recoverySeries, firstAfter, end)
	return out
}

// setBefore sets the fields for the time before the failure, which begins at
// step from and ends before step until.
func (o *Recovery) setBefore(tokens series, from, until int) {
	o.RateBefore = tokens.rate(from, until)
	below, windows := 0, 0
	for at := from; at+stepsPerWindow <= until; at++ {
		windows++
		if tokens.rate(at, at+stepsPerWindow) < recoveredShare*o.TargetRate {
			below++
		}
	}
	o.BelowShareBefore = ratio(below, windows)
}

// setAfter sets the fields for the time after the failure, which begins at step
// from and ends before step until.
func (o *Recovery) setAfter(tokens series, from, until int) {
	o.RateAfter = tokens.rate(from, until)
	below, windows := 0, 0
	for at := from; at+stepsPerWindow <= until; at++ {
		rate := tokens.rate(at, at+stepsPerWindow)
		ended := float64(at+stepsPerWindow)*recoveryStep.Seconds() - o.FailureSeconds
		if windows == 0 || rate < o.LowestRate {
			o.LowestRate = rate
		}
		windows++
		if rate < recoveredShare*o.TargetRate {
			below++
			o.LastBelowSeconds = ended
			continue
		}
		if !o.Recovered {
			o.Recovered, o.RecoverySeconds = true, ended
		}
	}
	o.BelowShareAfter = ratio(below, windows)
}

// rate returns the tokens per second from step from to before step until. The
// buckets of the series must be of recoveryStep.
func (s series) rate(from, until int) float64 {
	n := 0
	for i := from; i < until; i++ {
		n += s.at(i)
	}
	return perSecond(n, float64(until-from)*recoveryStep.Seconds())
}

// ratio returns n divided by total; 0 if total is 0.
func ratio(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

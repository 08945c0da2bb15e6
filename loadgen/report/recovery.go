package report

import (
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/load"
)

// The sliding window of recovery.
const (
	recoveryStep   = 100 * time.Millisecond
	recoveryWindow = 500 * time.Millisecond
	recoverySteps  = int(recoveryWindow / recoveryStep)
	// recoveredShare is the part of the target at which work is back.
	recoveredShare = 0.95
)

// Recovery tells how delivered work came back after a failure. Rates are over
// a window of 500 ms that is moved on by 100 ms; the windows after the failure
// begin at or after it, so that none has work from before it.
type Recovery struct {
	// FailureSeconds is the failure, in seconds from the run's start.
	FailureSeconds float64 `json:"at_s"`
	// TargetRate is the tokens a second that delivered work is to come back to;
	// it counts as back at 95% of it.
	TargetRate float64 `json:"target_tokens_per_s"`
	// Recovered tells whether a window reached that before the run's end.
	// Time is from the failure to the end of the first one that did, in
	// seconds, so at least the window's length.
	Recovered       bool    `json:"recovered"`
	RecoverySeconds float64 `json:"recovery_s"`
	// LastBelowSeconds is from the failure to the end of the last window below it;
	// 0 when there is none.
	LastBelowSeconds float64 `json:"last_below_s"`
	// RateBefore and RateAfter are the means of the steady window's parts before and
	// after the failure, Lowest the lowest window after it, in tokens a
	// second.
	RateBefore float64 `json:"before_tokens_per_s"`
	RateAfter  float64 `json:"after_tokens_per_s"`
	LowestRate float64 `json:"lowest_tokens_per_s"`
	// BelowShareBefore and BelowShareAfter are the parts of windows below 95% of the
	// target: the first tells how much of the second is the load's own
	// change.
	BelowShareBefore float64 `json:"below_before_share"`
	BelowShareAfter  float64 `json:"below_after_share"`
	// CutOff counts requests that ended after the failure with an unknown
	// outcome, NotComplete all that ended then otherwise than complete.
	CutOff      int `json:"cut_off"`
	NotComplete int `json:"not_complete"`
}

// failure is what a Recorder knows of one.
type failure struct {
	at     time.Time
	target float64
}

// RecordFailure tells that something was made to fail, and the tokens a second that
// delivered work is to come back to. Only the last failure counts.
func (r *Recorder) RecordFailure(at time.Time, target float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = &failure{at: at, target: target}
}

// countFailed counts a request that ended otherwise than complete. The caller
// holds the lock.
func (r *Recorder) countFailed(s *load.Sample) {
	if r.failure == nil || s.Complete() || s.End.Before(r.failure.at) {
		return
	}
	r.notComplete++
	if s.Outcome == outcome.Unknown {
		r.cutOff++
	}
}

// recovery sums up what followed a failure; nil when there was none. The
// caller holds the lock.
func (r *Recorder) recovery() *Recovery {
	if r.failure == nil {
		return nil
	}
	after := r.failure.at.Sub(r.options.Start)
	out := &Recovery{
		FailureSeconds: after.Seconds(),
		TargetRate:     r.failure.target,
		CutOff:         r.cutOff,
		NotComplete:    r.notComplete,
	}
	failed := int((after + recoveryStep - 1) / recoveryStep)
	until := int(r.options.WindowEnd / recoveryStep)
	out.before(r.fine, int(r.options.WindowStart/recoveryStep), int(after/recoveryStep))
	out.after(r.fine, failed, until)
	return out
}

// before takes in the time before the failure, given in steps.
func (o *Recovery) before(fine series, from, until int) {
	o.RateBefore = fine.rate(from, until)
	below, windows := 0, 0
	for at := from; at+recoverySteps <= until; at++ {
		windows++
		if fine.rate(at, at+recoverySteps) < recoveredShare*o.TargetRate {
			below++
		}
	}
	o.BelowShareBefore = part(below, windows)
}

// after takes in the time after the failure, given in steps.
func (o *Recovery) after(fine series, from, until int) {
	o.RateAfter = fine.rate(from, until)
	below, windows := 0, 0
	for at := from; at+recoverySteps <= until; at++ {
		rate := fine.rate(at, at+recoverySteps)
		ended := float64(at+recoverySteps)*recoveryStep.Seconds() - o.FailureSeconds
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
	o.BelowShareAfter = part(below, windows)
}

// rate gives the tokens a second from one step to another.
func (s series) rate(from, until int) float64 {
	n := 0
	for i := from; i < until; i++ {
		n += s.at(i)
	}
	return per(n, float64(until-from)*recoveryStep.Seconds())
}

// part gives the part that n is of a whole; 0 of none.
func part(n, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(n) / float64(whole)
}

// Package report turns the samples of a load test into a report: throughput and
// its share of the hardware's bound, latency percentiles, outcomes, counts for
// each account, and the recovery from an injected failure. A report can be
// written as text, JSON and a plot.
package report

import (
	"sync"
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/load"
)

// DefaultBucket is the default of Options.Bucket.
const DefaultBucket = 500 * time.Millisecond

// maxBuckets bounds the length of a series. Later tokens count in the last
// bucket.
const maxBuckets = 1 << 16

// Options configure a Recorder.
type Options struct {
	// Start is the run's start.
	Start time.Time
	// WindowStart and WindowEnd bound the steady window, counted from Start.
	// Throughput counts the tokens that arrive in it, and latencies count the
	// requests that are due in it.
	WindowStart, WindowEnd time.Duration
	// Bucket is the length of time that each point of the series covers.
	// Default 500ms.
	Bucket time.Duration
	// Bound is the highest throughput that the hardware allows, in tokens per
	// second; 0 if unknown.
	Bound float64
}

// Recorder collects the samples of a run. Its methods are safe for concurrent
// use.
type Recorder struct {
	options Options

	// mu guards all fields below.
	mu       sync.Mutex
	sent     int
	notSent  int
	retries  int
	wrong    int
	outcomes map[outcome.Outcome]int
	reasons  map[outcome.Reason]int
	accounts []Account
	// delivered and goodput count tokens in buckets of options.Bucket.
	delivered series
	goodput   series
	// inWindow counts the tokens of the steady window.
	inWindow struct{ delivered, goodput int }
	// recoverySeries counts delivered tokens in buckets of recoveryStep.
	recoverySeries      series
	failure             *failure
	cutOff, notComplete int

	firstToken, tokenInterval, modelAnswer, plainCall, sendDelay *histogram
}

// New returns a Recorder without samples.
func New(o Options) *Recorder {
	if o.Bucket <= 0 {
		o.Bucket = DefaultBucket
	}
	return &Recorder{
		options:       o,
		outcomes:      make(map[outcome.Outcome]int),
		reasons:       make(map[outcome.Reason]int),
		firstToken:    newHistogram(),
		tokenInterval: newHistogram(),
		modelAnswer:   newHistogram(),
		plainCall:     newHistogram(),
		sendDelay:     newHistogram(),
	}
}

// Observe implements load.Observer.
func (r *Recorder) Observe(s *load.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.NotSent {
		r.notSent++
		return
	}
	r.count(s)
	r.countTokens(s)
	if due := s.Due.Sub(r.options.Start); due >= r.options.WindowStart && due < r.options.WindowEnd {
		r.addLatencies(s)
	}
}

// count counts a request, its outcome and its account. The caller holds the
// lock.
func (r *Recorder) count(s *load.Sample) {
	r.sent++
	r.retries += s.Retries
	if s.Wrong {
		r.wrong++
	}
	r.outcomes[s.Outcome]++
	r.countAfterFailure(s)
	if s.Reason != "" {
		r.reasons[s.Reason]++
	}
	for len(r.accounts) <= s.Account {
		r.accounts = append(r.accounts, Account{})
	}
	a := &r.accounts[s.Account]
	a.Sent++
	if s.Complete() {
		a.Complete++
	}
}

// countTokens counts a request's tokens by their arrival times. Those of a wrong
// answer don't count. The caller holds the lock.
func (r *Recorder) countTokens(s *load.Sample) {
	if s.Wrong {
		return
	}
	complete := s.Complete()
	for _, at := range s.Tokens {
		elapsed := at.Sub(r.options.Start)
		r.delivered.add(elapsed, r.options.Bucket)
		r.recoverySeries.add(elapsed, recoveryStep)
		inWindow := elapsed >= r.options.WindowStart && elapsed < r.options.WindowEnd
		if inWindow {
			r.inWindow.delivered++
			r.accounts[s.Account].Tokens++
		}
		if !complete {
			continue
		}
		r.goodput.add(elapsed, r.options.Bucket)
		if inWindow {
			r.inWindow.goodput++
		}
	}
}

// addLatencies records the latencies of a request that was due in the steady
// window. The time to the end counts for complete answers only. The caller
// holds the lock.
func (r *Recorder) addLatencies(s *load.Sample) {
	r.sendDelay.add(s.Sent.Sub(s.Due))
	for i, at := range s.Tokens {
		if i == 0 {
			r.firstToken.add(at.Sub(s.Due))
			continue
		}
		r.tokenInterval.add(at.Sub(s.Tokens[i-1]))
	}
	switch {
	case !s.Complete():
	case s.Plain:
		r.plainCall.add(s.End.Sub(s.Due))
	default:
		r.modelAnswer.add(s.End.Sub(s.Due))
	}
}

// series counts tokens in buckets of equal length by their arrival time. Bucket
// 0 begins at the run's start.
type series []int

// add counts a token that arrived at a time since the start.
func (s *series) add(elapsed, bucket time.Duration) {
	i := min(max(int(elapsed/bucket), 0), maxBuckets-1)
	for len(*s) <= i {
		*s = append(*s, 0)
	}
	(*s)[i]++
}

// at returns the count of bucket i; 0 beyond the last one.
func (s series) at(i int) int {
	if i < len(s) {
		return s[i]
	}
	return 0
}

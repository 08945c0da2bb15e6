package report

import (
	"mimosaarch.example/core/outcome"
)

// Account counts one client account's requests, those with a complete, right
// answer, and its tokens.
type Account struct {
	Sent     int `json:"sent"`
	Complete int `json:"complete"`
	// Tokens counts those delivered in the steady window.
	Tokens int `json:"tokens"`
}

// Point is the throughput in one bucket of time, in tokens per second. Delivered
// and Goodput are as in Report.
type Point struct {
	// StartSeconds is the bucket's start, in seconds since the run's start.
	StartSeconds float64 `json:"after_s"`
	Delivered    float64 `json:"delivered"`
	Goodput      float64 `json:"good"`
}

// Report is the result of a load test.
type Report struct {
	// WindowSeconds is the length of the steady window, in seconds.
	WindowSeconds float64 `json:"window_s"`
	// Sent counts the requests sent, each of which has an outcome. NotSent
	// counts those that were due while the load generator had its maximum of
	// requests in flight; above 0, the load generator limited the load.
	Sent    int `json:"sent"`
	NotSent int `json:"not_sent"`
	// Retries counts the retries of refused requests.
	Retries int `json:"returns"`
	// Wrong counts the requests with a wrong answer, or a wrong part of one,
	// whatever their outcome.
	Wrong int `json:"wrong"`
	// Outcomes and Reasons count the requests sent by their outcome, and by the
	// reason of those that have one.
	Outcomes map[outcome.Outcome]int `json:"outcomes"`
	Reasons  map[outcome.Reason]int  `json:"reasons"`
	// Delivered is the throughput in the steady window, in tokens per second,
	// without the tokens of wrong answers. Goodput counts only the tokens of
	// complete answers.
	Delivered float64 `json:"delivered_tokens_per_s"`
	Goodput   float64 `json:"good_tokens_per_s"`
	// Bound is the highest throughput that the hardware allows, in tokens per
	// second. Share and GoodputShare are Delivered and Goodput divided by it.
	// All are 0 if the bound is unknown.
	Bound        float64 `json:"bound_tokens_per_s"`
	Share        float64 `json:"delivered_share"`
	GoodputShare float64 `json:"good_share"`
	// Latencies are of requests due in the steady window. FirstToken is the
	// time from the due time to the first token, and TokenInterval that between
	// two tokens. ModelAnswer and PlainCall are the times from the due time to
	// the end of complete answers, of model requests and calls of a plain
	// service.
	FirstToken    Latency `json:"first_token"`
	TokenInterval Latency `json:"token_interval"`
	ModelAnswer   Latency `json:"whole"`
	PlainCall     Latency `json:"plain"`
	// SendDelay is the time from the due time to sending: how late the load
	// generator was.
	SendDelay Latency   `json:"send_delay"`
	Accounts  []Account `json:"accounts"`
	Series    []Point   `json:"series"`
	// Recovery is nil if no failure was injected.
	Recovery *Recovery `json:"recovery,omitempty"`
}

// Report returns a report of the samples observed so far.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	window := (r.options.WindowEnd - r.options.WindowStart).Seconds()
	out := Report{
		WindowSeconds: window,
		Sent:          r.sent,
		NotSent:       r.notSent,
		Retries:       r.retries,
		Wrong:         r.wrong,
		Outcomes:      copyCounts(r.outcomes),
		Reasons:       copyCounts(r.reasons),
		Delivered:     perSecond(r.inWindow.delivered, window),
		Goodput:       perSecond(r.inWindow.goodput, window),
		Bound:         r.options.Bound,
		FirstToken:    r.firstToken.latency(),
		TokenInterval: r.tokenInterval.latency(),
		ModelAnswer:   r.modelAnswer.latency(),
		PlainCall:     r.plainCall.latency(),
		SendDelay:     r.sendDelay.latency(),
		Accounts:      append([]Account{}, r.accounts...),
		Series:        r.points(),
		Recovery:      r.recovery(),
	}
	if out.Bound > 0 {
		out.Share = out.Delivered / out.Bound
		out.GoodputShare = out.Goodput / out.Bound
	}
	return out
}

// points returns the throughput of each bucket. The caller holds the lock.
func (r *Recorder) points() []Point {
	width := r.options.Bucket.Seconds()
	out := make([]Point, len(r.delivered))
	for i := range out {
		out[i] = Point{
			StartSeconds: float64(i) * width,
			Delivered:    float64(r.delivered.at(i)) / width,
			Goodput:      float64(r.goodput.at(i)) / width,
		}
	}
	return out
}

// perSecond returns a count divided by a time; 0 if the time is 0 or less.
func perSecond(count int, seconds float64) float64 {
	if seconds <= 0 {
		return 0
	}
	return float64(count) / seconds
}

// copyCounts returns a copy of counts that is never nil.
func copyCounts[K comparable](counts map[K]int) map[K]int {
	out := make(map[K]int, len(counts))
	for key, n := range counts {
		out[key] = n
	}
	return out
}

package report

import (
	"mimosaarch.example/core/outcome"
)

// Account is what one client account got.
type Account struct {
	Sent     int `json:"sent"`
	Complete int `json:"complete"`
	// Tokens delivered to it in the steady window.
	Tokens int `json:"tokens"`
}

// Point is the throughput of one stretch of time, in tokens a second.
type Point struct {
	// StartSeconds is its start, in seconds from the run's start.
	StartSeconds float64 `json:"after_s"`
	Delivered    float64 `json:"delivered"`
	Goodput      float64 `json:"good"`
}

// Report is the result of a run.
type Report struct {
	// WindowSeconds is the length of the steady window, in seconds.
	WindowSeconds float64 `json:"window_s"`
	// Sent requests have an outcome each. NotSent ones came due while the
	// tool had no caller free: above 0, the tool was the limit.
	Sent    int `json:"sent"`
	NotSent int `json:"not_sent"`
	// Retries counts refused callers that came back.
	Retries int `json:"returns"`
	// Wrong answers had a text that is not the one to their request,
	// whatever their outcome.
	Wrong    int                     `json:"wrong"`
	Outcomes map[outcome.Outcome]int `json:"outcomes"`
	Reasons  map[outcome.Reason]int  `json:"reasons"`
	// Delivered is the tokens a second that came in the steady window, wrong
	// answers left out; Good those of complete answers only.
	Delivered float64 `json:"delivered_tokens_per_s"`
	Goodput   float64 `json:"good_tokens_per_s"`
	// Bound is the tokens a second that the hardware allows, and Share and
	// GoodShare are the parts of it; 0 when it is not known.
	Bound        float64 `json:"bound_tokens_per_s"`
	Share        float64 `json:"delivered_share"`
	GoodputShare float64 `json:"good_share"`
	// FirstToken counts from when the request was due; Whole and Plain are
	// complete answers of models and plain services.
	FirstToken    Latency `json:"first_token"`
	TokenInterval Latency `json:"token_interval"`
	ModelAnswer   Latency `json:"whole"`
	PlainCall     Latency `json:"plain"`
	// SendDelay is how late the tool itself was.
	SendDelay Latency   `json:"send_delay"`
	Accounts  []Account `json:"accounts"`
	Series    []Point   `json:"series"`
	// Recovery is nil when nothing was made to fail.
	Recovery *Recovery `json:"recovery,omitempty"`
}

// Report sums up what was gathered so far.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	window := (r.options.WindowEnd - r.options.WindowStart).Seconds()
	out := Report{
		WindowSeconds: window,
		Sent:          r.sent,
		NotSent:       r.notSent,
		Retries:       r.returns,
		Wrong:         r.wrong,
		Outcomes:      copyOf(r.outcomes),
		Reasons:       copyOf(r.reasons),
		Delivered:     per(r.inWindow.delivered, window),
		Goodput:       per(r.inWindow.good, window),
		Bound:         r.options.Bound,
		FirstToken:    r.first.latency(),
		TokenInterval: r.interval.latency(),
		ModelAnswer:   r.whole.latency(),
		PlainCall:     r.plain.latency(),
		SendDelay:     r.delay.latency(),
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

// points gives the series. The caller holds the lock.
func (r *Recorder) points() []Point {
	width := r.options.Bucket.Seconds()
	out := make([]Point, len(r.delivered))
	for i := range out {
		out[i] = Point{
			StartSeconds: float64(i) * width,
			Delivered:    float64(r.delivered.at(i)) / width,
			Goodput:      float64(r.good.at(i)) / width,
		}
	}
	return out
}

// per gives a count a second; 0 for no time.
func per(count int, seconds float64) float64 {
	if seconds <= 0 {
		return 0
	}
	return float64(count) / seconds
}

// copyOf copies counts.
func copyOf[K comparable](counts map[K]int) map[K]int {
	out := make(map[K]int, len(counts))
	for key, n := range counts {
		out[key] = n
	}
	return out
}

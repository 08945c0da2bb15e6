package bench

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
	"mimosaarch.example/loadgen/load"
)

// maxStalledRequests limits the requests in a FailureReport.
const maxStalledRequests = 5

// StalledRequest is a request that was in flight at the time of the failure.
type StalledRequest struct {
	Request ids.Request `json:"request"`
	// GapSeconds is its longest time without a token that ended after the
	// failure.
	GapSeconds float64         `json:"seconds"`
	Outcome    outcome.Outcome `json:"outcome"`
	Reason     outcome.Reason  `json:"reason,omitempty"`
	Decisions  []Decision      `json:"decisions,omitempty"`
}

// Decision is a node's decision on a request, with the time since the failure in
// seconds; negative for a decision before it.
type Decision struct {
	AfterSeconds float64 `json:"after_s"`
	router.Decision
}

// stallRecorder keeps the requests that were delayed longest. It is safe for
// concurrent use.
type stallRecorder struct {
	mu       sync.Mutex
	failedAt time.Time
	requests []StalledRequest
}

// setFailureTime sets the time of the failure.
func (r *stallRecorder) setFailureTime(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = at
}

// record adds a completed request if it was in flight at the time of the failure.
func (r *stallRecorder) record(s *load.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failedAt.IsZero() || s.NotSent || s.Sent.After(r.failedAt) || s.End.Before(r.failedAt) {
		return
	}
	r.requests = append(r.requests, StalledRequest{
		Request:    s.Request,
		GapSeconds: longestGap(s, r.failedAt).Seconds(),
		Outcome:    s.Outcome,
		Reason:     s.Reason,
	})
	slices.SortFunc(r.requests, func(a, b StalledRequest) int { return cmp.Compare(b.GapSeconds, a.GapSeconds) })
	r.requests = r.requests[:min(len(r.requests), maxStalledRequests)]
}

// longestGap returns the longest time without a token that ended after the
// failure. Sending the request and its end delimit gaps as tokens do.
func longestGap(s *load.Sample, failed time.Time) time.Duration {
	last, longest := s.Sent, time.Duration(0)
	for _, at := range append(slices.Clone(s.Tokens), s.End) {
		if at.After(failed) {
			longest = max(longest, at.Sub(last))
		}
		last = at
	}
	return longest
}

// withDecisions returns the recorded requests, longest gap first, with the
// decisions on each.
func (r *stallRecorder) withDecisions(decisions func(ids.Request) []Decision) []StalledRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.requests)
	for i := range out {
		out[i].Decisions = decisions(out[i].Request)
	}
	return out
}

// decisions returns all nodes' decisions on a request.
func (f *fixture) decisions(id ids.Request, failed time.Time) []Decision {
	var out []Decision
	for _, n := range f.nodes {
		for _, d := range n.Explain(id) {
			out = append(out, Decision{AfterSeconds: d.At.Sub(failed).Seconds(), Decision: d})
		}
	}
	return out
}

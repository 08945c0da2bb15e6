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

// mostHeldUp is the count of requests told of.
const mostHeldUp = 5

// StalledRequest is a request that was in flight when the failure came.
type StalledRequest struct {
	Request ids.Request `json:"request"`
	// GapSeconds is its longest time without a token after the failure.
	GapSeconds   float64         `json:"seconds"`
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    outcome.Reason  `json:"reason,omitempty"`
	Decisions []Decision      `json:"decisions,omitempty"`
}

// Decision is a node's decision on a request, with its time from the failure
// in seconds.
type Decision struct {
	AfterSeconds float64 `json:"after_s"`
	router.Decision
}

// heldUp keeps the requests that were held up longest. Any goroutine may call
// its methods.
type heldUp struct {
	mu       sync.Mutex
	at       time.Time
	requests []StalledRequest
}

// failed tells when the failure came.
func (h *heldUp) failed(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = at
}

// see takes in a request.
func (h *heldUp) see(s *load.Sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at.IsZero() || s.NotSent || s.Sent.After(h.at) || s.End.Before(h.at) {
		return
	}
	h.requests = append(h.requests, StalledRequest{
		Request: s.Request,
		GapSeconds: longestGap(s, h.at).Seconds(),
		Outcome: s.Outcome,
		Reason:  s.Reason,
	})
	slices.SortFunc(h.requests, func(a, b StalledRequest) int { return cmp.Compare(b.GapSeconds, a.GapSeconds) })
	h.requests = h.requests[:min(len(h.requests), mostHeldUp)]
}

// longestGap gives the longest time without a token that ended after a
// failure.
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

// explain gives the requests with the decisions on them.
func (h *heldUp) explain(decisions func(ids.Request) []Decision) []StalledRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Clone(h.requests)
	for i := range out {
		out[i].Decisions = decisions(out[i].Request)
	}
	return out
}

// decisions gives the nodes' decisions on a request.
func (f *fixture) decisions(id ids.Request, failed time.Time) []Decision {
	var out []Decision
	for _, n := range f.nodes {
		for _, d := range n.Explain(id) {
			out = append(out, Decision{AfterSeconds: d.At.Sub(failed).Seconds(), Decision: d})
		}
	}
	return out
}

package engine

import (
	"sync"
	"time"

	"mimosaarch.example/core/engineapi"
)

// link is the current state of one connection to a next stage. It is safe for
// concurrent use.
type link struct {
	pacer *pacer

	mu      sync.Mutex
	latency time.Duration
	cut     bool
}

// newLinks returns the state of the configured links, by the engine they lead to.
func newLinks(links []Link) map[string]*link {
	out := make(map[string]*link, len(links))
	for _, l := range links {
		out[l.To] = &link{
			pacer:   newPacer(l.Rate),
			latency: time.Duration(l.LatencyUs) * time.Microsecond,
		}
	}
	return out
}

// reserve takes the next transmission slot for a step sent at from. It returns when
// the step arrives, or false if the link is cut.
func (l *link) reserve(from time.Time) (time.Time, bool) {
	l.mu.Lock()
	latency, cut := l.latency, l.cut
	l.mu.Unlock()
	if cut {
		return from, false
	}
	return l.pacer.reserve(from).Add(latency), true
}

// apply replaces the latency, rate and cut state of the link.
func (l *link) apply(c LinkChange) {
	l.mu.Lock()
	l.latency = time.Duration(c.LatencyMs * float64(time.Millisecond))
	l.cut = c.Cut
	l.mu.Unlock()
	l.pacer.setRate(c.Rate)
}

// report returns the link to engine to as it appears in a load report.
func (l *link) report(to string) engineapi.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return engineapi.Link{
		To:              to,
		LatencyUs:       l.latency.Microseconds(),
		TokensPerSecond: l.pacer.effectiveRate(),
	}
}

// canReach reports whether a chain may continue from this engine to engine to, which
// is empty after the last stage. Without configured links every engine is reachable.
func (e *Engine) canReach(to string) bool {
	if len(e.links) == 0 || to == "" {
		return true
	}
	_, ok := e.links[to]
	return ok
}

package engine

import (
	"sync"
	"time"

	"mimosaarch.example/core/engineapi"
)

// link is the live state of one connection to a next stage.
type link struct {
	pacer *pacer

	mu      sync.Mutex
	latency time.Duration
	cut     bool
}

// newLinks makes the live state of the configured links, by engine.
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

// reserve gives when a step that leaves at a time arrives; false when cut.
func (l *link) reserve(from time.Time) (time.Time, bool) {
	l.mu.Lock()
	latency, cut := l.latency, l.cut
	l.mu.Unlock()
	if cut {
		return from, false
	}
	return l.pacer.reserve(from).Add(latency), true
}

// change degrades or mends the link.
func (l *link) change(c LinkChange) {
	l.mu.Lock()
	l.latency = time.Duration(c.LatencyMs * float64(time.Millisecond))
	l.cut = c.Cut
	l.mu.Unlock()
	l.pacer.setRate(c.Rate)
}

// report gives the engine's view of the link.
func (l *link) report(to string) engineapi.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return engineapi.Link{
		To:              to,
		LatencyUs:       l.latency.Microseconds(),
		TokensPerSecond: l.pacer.effective(),
	}
}

// linked reports whether a chain may go on from this engine to another.
func (e *Engine) linked(to string) bool {
	if len(e.links) == 0 || to == "" {
		return true
	}
	_, ok := e.links[to]
	return ok
}

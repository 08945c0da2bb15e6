package limit

import (
	"math"
	"time"
)

// maxTold bounds the digests remembered for an account.
const maxTold = 16

// told is the demand of one digest sent.
type told struct {
	at     time.Time
	demand float64
}

// history holds the demands told of one account, oldest first. Before the
// first, none was told.
type history struct{ sent []told }

// add notes a digest. Digests in quick succession are merged to the least.
func (h *history) add(now time.Time, demand float64, hold time.Duration) {
	h.trim(now, hold)
	last := len(h.sent) - 1
	if last >= 1 && (now.Sub(h.sent[last].at) < hold/maxTold || len(h.sent) >= maxTold) {
		h.sent[last].demand = min(h.sent[last].demand, demand)
		return
	}
	if last < 0 && demand == 0 {
		return
	}
	h.sent = append(h.sent, told{at: now, demand: demand})
}

// least gives the lowest demand that any peer may still hold: the least of
// those in force since hold ago.
func (h *history) least(now time.Time, hold time.Duration) float64 {
	if len(h.sent) == 0 || now.Sub(h.sent[0].at) < hold {
		return 0
	}
	h.trim(now, hold)
	if len(h.sent) == 0 {
		return 0
	}
	out := h.sent[0].demand
	for _, s := range h.sent {
		out = min(out, s.demand)
	}
	return out
}

// trim drops the digests that later ones replaced before hold ago.
func (h *history) trim(now time.Time, hold time.Duration) {
	for len(h.sent) > 1 && now.Sub(h.sent[1].at) >= hold {
		h.sent = h.sent[1:]
	}
	for _, s := range h.sent {
		if s.demand > 0 {
			return
		}
	}
	h.sent = nil
}

// quiet reports whether no peer may still hold demand.
func (h *history) quiet() bool { return len(h.sent) == 0 }

// demandAt gives a bucket's demand faded up to now.
func (b *bucket) demandAt(now time.Time) float64 {
	elapsed := max(now.Sub(b.at).Seconds(), 0)
	return b.demand * math.Exp(-elapsed/demandWindow.Seconds())
}

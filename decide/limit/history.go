package limit

import (
	"math"
	"time"
)

// maxHistory is the maximum number of entries in a demandHistory.
const maxHistory = 16

// sentDemand is the demand for one account in one digest that was sent.
type sentDemand struct {
	at     time.Time
	demand float64
}

// demandHistory holds the demands recently sent to peers for one account, oldest
// first. No demand was sent before the first entry.
type demandHistory struct{ sent []sentDemand }

// add records the demand in a digest. Digests in quick succession are merged into
// one entry with the lowest demand.
func (h *demandHistory) add(now time.Time, demand float64, hold time.Duration) {
	h.trim(now, hold)
	last := len(h.sent) - 1
	if last >= 1 && (now.Sub(h.sent[last].at) < hold/maxHistory || len(h.sent) >= maxHistory) {
		h.sent[last].demand = min(h.sent[last].demand, demand)
		return
	}
	if last < 0 && demand == 0 {
		return
	}
	h.sent = append(h.sent, sentDemand{at: now, demand: demand})
}

// lowest returns the lowest demand that any peer may still use for this VM, if
// digests reach all peers within hold.
func (h *demandHistory) lowest(now time.Time, hold time.Duration) float64 {
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

// trim drops entries that were superseded at least hold ago. It drops all entries
// once none of them has demand.
func (h *demandHistory) trim(now time.Time, hold time.Duration) {
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

// isEmpty reports whether no peer can still use a demand above zero for this VM.
func (h *demandHistory) isEmpty() bool { return len(h.sent) == 0 }

// demandAt returns the bucket's average demand at now, in cost per second.
func (b *bucket) demandAt(now time.Time) float64 {
	elapsed := max(now.Sub(b.refilledAt).Seconds(), 0)
	return b.demand * math.Exp(-elapsed/demandWindow.Seconds())
}

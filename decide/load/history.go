package load

import "time"

// sample is the counts in flight from a time on.
type sample struct {
	at         time.Time
	own, peers int
}

// history is a ring of the counts of the last while. Changes closer than
// historyStep share a sample, which keeps the time of its first change.
type history struct {
	samples [historyLength]sample
	count   int
	newest  int
	// lost tells that samples were overwritten: before the oldest, the
	// counts aren't known to have been zero.
	lost bool
}

// add records the counts from a time on.
func (h *history) add(s sample) {
	if h.count > 0 && s.at.Sub(h.samples[h.newest].at) < historyStep {
		s.at = h.samples[h.newest].at
		h.samples[h.newest] = s
		return
	}
	if h.count > 0 {
		h.newest = (h.newest + 1) % historyLength
	}
	if h.count < historyLength {
		h.count++
	} else {
		h.lost = true
	}
	h.samples[h.newest] = s
}

// at gives the counts that held at a time, false when it lies before all
// that is kept.
func (h *history) at(t time.Time) (sample, bool) {
	for k := range h.count {
		s := h.samples[(h.newest-k+historyLength)%historyLength]
		if !s.at.After(t) {
			return s, true
		}
	}
	return sample{}, !h.lost
}

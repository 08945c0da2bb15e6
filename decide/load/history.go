package load

import "time"

// sample holds the in-flight counts of an upstream from time at on.
type sample struct {
	at         time.Time
	own, peers int
}

// history is a ring buffer of the most recent samples. Changes closer together
// than minSampleInterval share a sample, which keeps the time of the first of
// them and the counts of the last.
type history struct {
	samples [historyLength]sample
	count   int
	newest  int
	// overwritten is set once a sample has been overwritten. Without that, the
	// counts before the oldest sample were zero.
	overwritten bool
}

// add appends a sample or merges it into the newest one.
func (h *history) add(s sample) {
	if h.count > 0 && s.at.Sub(h.samples[h.newest].at) < minSampleInterval {
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
		h.overwritten = true
	}
	h.samples[h.newest] = s
}

// at returns the counts at time t, and false if t is before all samples and
// earlier ones have been overwritten.
func (h *history) at(t time.Time) (sample, bool) {
	for k := range h.count {
		s := h.samples[(h.newest-k+historyLength)%historyLength]
		if !s.at.After(t) {
			return s, true
		}
	}
	return sample{}, !h.overwritten
}

package load

import (
	"time"

	"mimosaarch.example/core/ids"
)

// contribution is the latest message of one sender to a collector: the counts of a node of
// the collector's zone, or the sums of a collector of another zone.
type contribution struct {
	ownZone         bool
	start, sequence uint64
	// parts is a bit set of the parts that have arrived, of so many.
	parts uint8
	of    int
	// partial is set if the sender had no room for all engines, or the Index lacks one.
	partial bool
	// at is when the latest part arrived.
	at time.Time
	// heard is the number of nodes in the contribution, and oldest the age of the oldest
	// one at that time.
	heard   int
	oldest  time.Duration
	entries []slotCounts
	// resumeOwn and resumeOthers are the places of the first engines of the own zone and of
	// other zones that the last answer to the sender had no room for.
	resumeOwn, resumeOthers int
}

// accepts reports whether a message is newer than the contribution or another part of it.
func (k *contribution) accepts(h *header) bool {
	switch {
	case h.start != k.start:
		return h.start > k.start
	case h.sequence != k.sequence:
		return h.sequence > k.sequence
	}
	return k.parts&(1<<h.part) == 0
}

// collector is the state of a node as the collector of one shard.
type collector struct {
	contributions map[ids.VM]*contribution
}

// totals are the sums of all contributions, by slot.
type totals struct {
	// zone are the sums over the nodes of the own zone, and others those over the other
	// zones.
	zone, others []Counts
}

// of returns the sums that a contribution is part of.
func (t *totals) of(k *contribution) []Counts {
	if k.ownZone {
		return t.zone
	}
	return t.others
}

// add adds a contribution to the sums.
func (t *totals) add(k *contribution) {
	sums := t.of(k)
	for _, e := range k.entries {
		sums[e.slot].add(e.counts)
	}
}

// remove removes a contribution from the sums, exactly as it was added.
func (t *totals) remove(k *contribution) {
	sums := t.of(k)
	for _, e := range k.entries {
		sums[e.slot].subtract(e.counts)
	}
}

// all returns the sums over all nodes in a slot.
func (t *totals) all(slot int) Counts {
	c := t.zone[slot]
	c.add(t.others[slot])
	return c
}

// begin returns the contribution of a sender, emptied for the message with header h. It
// returns nil if the message is older than the contribution.
func (c *collector) begin(now time.Time, from ids.VM, h *header, t *totals) *contribution {
	k := c.contributions[from]
	if k == nil {
		k = &contribution{}
		c.contributions[from] = k
	} else if !k.accepts(h) {
		return nil
	}
	ownZone := h.kind == nodeCounts
	// The list of nodes may have changed the sender's zone between two parts of a message.
	if k.start != h.start || k.sequence != h.sequence || k.ownZone != ownZone {
		t.remove(k)
		k.entries, k.parts, k.partial = k.entries[:0], 0, false
	}
	k.ownZone = ownZone
	k.start, k.sequence, k.at, k.heard, k.oldest = h.start, h.sequence, now, h.heard, h.oldest
	if k.ownZone {
		k.heard = 1
	}
	k.parts |= 1 << h.part
	k.of, k.partial = h.parts, k.partial || !h.complete
	return k
}

// expire removes the contributions that are older than MaxAge.
func (c *collector) expire(now time.Time, t *totals) {
	for from, k := range c.contributions {
		if now.Sub(k.at) > MaxAge {
			t.remove(k)
			delete(c.contributions, from)
		}
	}
}

// heard returns the number of nodes in the sums and the age of the oldest contribution,
// without the contributions of one sender, and of other zones if zoneOnly.
func (c *collector) heard(now time.Time, without ids.VM, zoneOnly bool) (nodes int, oldest time.Duration) {
	for from, k := range c.contributions {
		if from == without || zoneOnly && !k.ownZone {
			continue
		}
		nodes += k.heard
		oldest = max(oldest, now.Sub(k.at)+k.oldest)
	}
	return nodes, oldest
}

// isWhole reports whether no contribution lacks an engine. Then an engine that is in none of them
// has no load.
func (c *collector) isWhole() bool {
	for _, k := range c.contributions {
		if k.partial || k.parts != 1<<k.of-1 {
			return false
		}
	}
	return true
}

// collects reports whether nodes of the own zone take this node for their collector.
func (c *collector) collects() bool {
	for _, k := range c.contributions {
		if k.ownZone {
			return true
		}
	}
	return false
}

// moveTo changes the slots of all contributions from one Index to another with the same
// shards. Engines that the new one lacks are dropped.
func (c *collector) moveTo(from, to *Index, t *totals) {
	for _, k := range c.contributions {
		kept := k.entries[:0]
		for _, e := range k.entries {
			if slot, ok := to.byID[from.engines[e.slot].ID]; ok {
				kept = append(kept, slotCounts{slot, e.counts})
			}
		}
		k.entries = kept
		t.add(k)
	}
}

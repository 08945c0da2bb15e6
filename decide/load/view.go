package load

import (
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// RoundInterval is the time between two rounds of an exchange.
	RoundInterval = 500 * time.Millisecond
	// MaxAge is the age from which on counts and sums are not used.
	MaxAge = 2 * time.Second
)

// slotCounts are the counts of the engine in a slot of an Index.
type slotCounts struct {
	slot   int32
	counts Counts
}

// Sums are sums over the other nodes for one shard, or for a part of it. Exchange passes
// them to View.
type Sums struct {
	// index is the Index that the slots of entries belong to.
	index *Index
	shard int
	// at is the time at which this node asked for the sums.
	at time.Time
	// heard is the number of other nodes in the sums, oldest the age at that time of the
	// oldest contribution.
	heard  int
	oldest time.Duration
	// complete is set if the engines of the shard that no entry of this time names have no
	// load from others.
	complete bool
	entries  []slotCounts
}

// Load is the load on an engine from several nodes.
type Load struct {
	Streams, TokenLayers, FirstStages float64
}

// othersLoad is what a View knows of the load of the other nodes on one engine.
type othersLoad struct {
	counts Counts
	// at is the time as of which counts holds, zero for never.
	at time.Time
	// refusalRate was computed at rateAt, the last time at which sends were known.
	refusalRate float64
	rateAt      time.Time
}

// shardSums describes the latest sums of a shard.
type shardSums struct {
	at     time.Time
	heard  int
	oldest time.Duration
}

// View is one node's knowledge of the load that the other nodes put on engines. The node's
// own counts are not part of it. It is not safe for concurrent use and reads no clock.
type View struct {
	otherNodes float64
	index      *Index
	// others is indexed by the slots of index.
	others []othersLoad
	shards []shardSums
	// latestID is the engine that was looked up last, and latestSlot its slot, -1 for none.
	// The costs of an engine take several look-ups one after another.
	latestID   ids.Instance
	latestSlot int32
}

// NewView returns a View that knows nothing.
func NewView() *View { return &View{index: NewIndex(nil, 1, ""), shards: make([]shardSums, 1)} }

// SetNodes sets the number of nodes of the fleet, this one included.
func (v *View) SetNodes(nodes int) { v.otherNodes = float64(max(nodes-1, 0)) }

// SetIndex replaces the engines. What is known of engines that remain is kept if the number
// of shards is the same.
func (v *View) SetIndex(ix *Index) {
	others := make([]othersLoad, ix.Len())
	if ix.Shards() != v.index.Shards() {
		v.shards = make([]shardSums, ix.Shards())
	} else {
		for slot, e := range v.index.engines {
			if now, ok := ix.byID[e.ID]; ok {
				others[now] = v.others[slot]
			}
		}
	}
	v.index, v.others = ix, others
	v.latestID = ids.Instance{}
}

// slot returns the slot of an engine, -1 if the Index does not have it.
func (v *View) slot(id ids.Instance) int32 {
	if len(v.others) == 0 {
		return -1
	}
	if id == v.latestID && id != (ids.Instance{}) {
		return v.latestSlot
	}
	slot, ok := v.index.byID[id]
	if !ok {
		slot = -1
	}
	v.latestID, v.latestSlot = id, slot
	return slot
}

// Apply applies sums. Sums of an earlier Index, and those that are older than the latest of
// their shard, have no effect.
func (v *View) Apply(s *Sums) {
	if s.index != v.index || s.at.Before(v.shards[s.shard].at) {
		return
	}
	v.shards[s.shard] = shardSums{at: s.at, heard: s.heard, oldest: s.oldest}
	for _, e := range s.entries {
		o := &v.others[e.slot]
		o.counts, o.at = e.counts, s.at
	}
	if !s.complete {
		return
	}
	for slot := v.index.begin[s.shard]; slot < v.index.begin[s.shard+1]; slot++ {
		if o := &v.others[slot]; o.at.Before(s.at) {
			o.counts, o.at = Counts{}, s.at
		}
	}
}

// known returns what is known of the other nodes' load on an engine, and its shard. It
// returns nil if that is older than MaxAge.
func (v *View) known(now time.Time, id ids.Instance) (*othersLoad, *shardSums) {
	slot := v.slot(id)
	if slot < 0 {
		return nil, nil
	}
	o, shard := &v.others[slot], &v.shards[v.index.engines[slot].shard]
	if o.at.IsZero() || now.Sub(o.at) >= MaxAge || shard.heard == 0 {
		return nil, nil
	}
	return o, shard
}

// meanContributionAge is the mean age of the counts in an answer: half a round until a node
// sends them, and half a round until the collectors of two zones exchange them.
const meanContributionAge = RoundInterval

// Others returns the load of all other nodes on an engine, and its mean age. Nodes that were
// not heard are taken for average ones. ok is false if the load is not known or too old.
func (v *View) Others(now time.Time, id ids.Instance) (l Load, age time.Duration, ok bool) {
	o, shard := v.known(now, id)
	if o == nil {
		return Load{}, 0, false
	}
	scale := v.otherNodes / float64(shard.heard)
	l = Load{
		Streams:     float64(o.counts.Streams) * scale,
		TokenLayers: float64(o.counts.KiloTokenLayers) * tokenLayersUnit * scale,
		FirstStages: float64(o.counts.FirstStages) * scale,
	}
	return l, now.Sub(o.at) + meanContributionAge, true
}

// tokenLayersUnit is the unit of Counts.KiloTokenLayers.
const tokenLayersUnit = 1000

const (
	// priorSends is the number of sends without refusal that are added to those known, so
	// that one refusal is no high rate.
	priorSends = 4
	// rateMemory is how long a refusal rate is kept after the end of the window of the last
	// send, which is 4 s after that send.
	rateMemory = 4*time.Second - SendWindow
)

// Tracks reports whether the engine is one of those whose load the nodes exchange.
func (v *View) Tracks(id ids.Instance) bool { return v.slot(id) >= 0 }

// RefusalRate returns the fraction of sends that an engine refuses although it has capacity,
// over all nodes, from 0 to 1. sends and refusals are this node's own within SendWindow. The
// rate is kept for a while after the last send, and 0 then.
func (v *View) RefusalRate(now time.Time, id ids.Instance, sends, refusals int64) float64 {
	slot := v.slot(id)
	if slot < 0 {
		return 0
	}
	if o, _ := v.known(now, id); o != nil {
		sends += o.counts.Sends
		refusals += o.counts.Refusals
	}
	o := &v.others[slot]
	switch {
	case sends > 0:
		o.refusalRate, o.rateAt = min(float64(refusals)/float64(sends+priorSends), 1), now
	case now.Sub(o.rateAt) >= rateMemory:
		o.refusalRate = 0
	}
	return o.refusalRate
}

// Status describes how much a View knows.
type Status struct {
	// Shards is the number of shards, and Known that of the shards with sums younger than
	// MaxAge.
	Shards, Known int
	// Heard is the least number of other nodes in the sums of a known shard.
	Heard int
	// Age is the highest age of the oldest contribution to a known shard.
	Age time.Duration
}

// Usable reports whether there are sums for all shards.
func (s Status) Usable() bool { return s.Known == s.Shards }

// Status returns how much the View knows at now.
func (v *View) Status(now time.Time) Status {
	s := Status{Shards: len(v.shards)}
	for _, shard := range v.shards {
		if shard.at.IsZero() || now.Sub(shard.at) >= MaxAge || shard.heard == 0 {
			continue
		}
		if s.Known == 0 || shard.heard < s.Heard {
			s.Heard = shard.heard
		}
		s.Known++
		s.Age = max(s.Age, now.Sub(shard.at)+shard.oldest)
	}
	return s
}

package chain

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/load"
)

// SetLoadIndex sets the engines whose load the nodes exchange. With an empty Index the load
// of all nodes is estimated from this node's own requests.
func (p *Picker) SetLoadIndex(ix *load.Index) { p.others.SetIndex(ix) }

// ApplyLoad applies sums over the load of the other nodes.
func (p *Picker) ApplyLoad(s *load.Sums) { p.others.Apply(s) }

// LoadStatus returns how much is known of the load of the other nodes.
func (p *Picker) LoadStatus(now time.Time) load.Status { return p.others.Status(now) }

// AppendCounts appends this node's counts of all engines on which it has requests, or had
// some within load.SendWindow.
func (p *Picker) AppendCounts(now time.Time, out []load.EngineCounts) []load.EngineCounts {
	for id, s := range p.engines {
		c := load.Counts{
			Streams:         int64(max(s.current.streams, 0)),
			KiloTokenLayers: int64(math.Round(max(s.current.tokenLayers, 0) / tokenLayersPerCount)),
			FirstStages:     int64(max(s.current.firstStages, 0)),
		}
		c.Sends, c.Refusals = s.sent.Totals(now)
		if c != (load.Counts{}) {
			out = append(out, load.EngineCounts{ID: id, Counts: c})
		}
	}
	return out
}

// tokenLayersPerCount is the unit of load.Counts.KiloTokenLayers.
const tokenLayersPerCount = 1000

// fleetLoad returns the estimated load that all nodes together put on an engine: this node's
// own, which is exact, and that of the others as they have told. Without recent news of them
// it is that of an average node as estimated from this node's own requests, times the number
// of nodes.
func (p *Picker) fleetLoad(now time.Time, id ids.Instance) engineLoad {
	s := p.engines[id]
	if others, _, ok := p.others.Others(now, id); ok {
		l := engineLoad{streams: others.Streams, tokenLayers: others.TokenLayers, firstStages: others.FirstStages}
		if s != nil {
			l = l.plus(s.current)
		}
		return l
	}
	if s == nil {
		return engineLoad{}
	}
	return s.loadPerNode(now).scale(p.nodeCount)
}

// expectedLoad returns fleetLoad with what the other nodes are expected to have added since
// they told their load: as much as this node has recently added, each. All nodes see the same
// sums until the next round, and would otherwise choose the same engines meanwhile.
func (p *Picker) expectedLoad(now time.Time, id ids.Instance) engineLoad {
	l := p.fleetLoad(now, id)
	s := p.engines[id]
	if _, _, ok := p.others.Others(now, id); ok && s != nil {
		s.decayAdded(now)
		l = l.plus(s.added.scale(p.nodeCount - 1))
	}
	return l
}

// addedPeriod is the time constant over which what a node has added to an engine counts as
// recent. Nodes tell their loads each 0.5 s, and their collectors each other's sums as often,
// so the sums are some 0.75 s old on average.
const addedPeriod = 750 * time.Millisecond

// decayAdded updates the recently added load to time now.
func (s *engineState) decayAdded(now time.Time) {
	s.added = s.added.scale(math.Exp(-now.Sub(s.addedAt).Seconds() / addedPeriod.Seconds()))
	s.addedAt = now
}

// plus returns the sum of two loads.
func (l engineLoad) plus(o engineLoad) engineLoad {
	return engineLoad{streams: l.streams + o.streams, tokenLayers: l.tokenLayers + o.tokenLayers, firstStages: l.firstStages + o.firstStages}
}

// RequestSent counts a send to an engine that has a request of this node, for its refusal
// rate.
func (p *Picker) RequestSent(now time.Time, id ids.Instance) {
	if s := p.engines[id]; s != nil {
		s.sent.Sent(now)
	}
}

// RequestRefused records that an engine refused a request of this node although it had
// capacity, or closed its connection before it responded although it is alive.
func (p *Picker) RequestRefused(now time.Time, id ids.Instance) {
	if s := p.engines[id]; s != nil {
		s.sent.Refused(now)
	}
}

// refusalCost returns the expected cost in ms of refusals by an engine that has capacity. A
// refusal costs callers the same as one for lack of capacity. The cost is 0 where the nodes
// do not exchange their loads.
func (p *Picker) refusalCost(now time.Time, id ids.Instance) float64 {
	if !p.others.Tracks(id) {
		return 0
	}
	var sends, refusals int64
	if s := p.engines[id]; s != nil {
		sends, refusals = s.sent.Totals(now)
	}
	return p.others.RefusalRate(now, id, sends, refusals) * recentRefusalCostMs
}

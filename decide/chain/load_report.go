package chain

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
)

// loadReport is the load that an engine reports with its answers.
type loadReport struct {
	// requests is the number of requests that the engine runs or queues as
	// their first stage, from all nodes.
	requests float64
	// ownRequests is the number of requests of this node that had the engine as
	// their first stage when the report was received.
	ownRequests float64
	receivedAt  time.Time
}

// reportMaxAge is the age from which on a report is ignored. By then a good part
// of the streams that it counted have ended, and as many have started.
const reportMaxAge = 1 * time.Second

// LoadReported records the number of requests that an engine reports to run or
// queue as their first stage. It has no effect for an engine that this node has
// no state of, such as one that Forget has removed.
func (p *Picker) LoadReported(now time.Time, id ids.Instance, requests int) {
	s := p.engines[id]
	if s == nil {
		return // Forget has removed the engine: don't create its state again
	}
	s.report = loadReport{requests: float64(requests), ownRequests: s.current.firstStages, receivedAt: now}
}

// maxUnreportedPerNode is the number of requests that each node may have sent to
// an engine since its last report. With hundreds of nodes, one or two from each
// fill an engine.
const maxUnreportedPerNode = 2.0

// firstStageRequests returns the number of requests, from all nodes, whose first
// stage an engine is. It is based on the engine's report. If that is too old, it is
// based on what the other nodes have told, and otherwise estimated from this node's
// requests. age is the age of that knowledge as a fraction of reportMaxAge, 1 if there
// is none or it is older.
func (p *Picker) firstStageRequests(now time.Time, id ids.Instance) (requests, age float64) {
	s := p.engines[id]
	if s != nil {
		if since := now.Sub(s.report.receivedAt); since < reportMaxAge {
			return max(s.report.requests+s.current.firstStages-s.report.ownRequests, 0), since.Seconds() / reportMaxAge.Seconds()
		}
	}
	if _, since, ok := p.others.Others(now, id); ok {
		return p.fleetLoad(now, id).firstStages, min(since.Seconds()/reportMaxAge.Seconds(), 1)
	}
	if s == nil {
		return 0, 1
	}
	return max(s.current.firstStages*p.nodeCount, p.fleetLoad(now, id).firstStages), 1
}

// slotUtilization returns the fraction of an engine's slots that a request must
// assume taken: over 1 if requests queue there, 0 if the number of slots is not
// known. Other nodes may have sent requests since the engine's report, the more
// the older it is. Their number is drawn from the request's jitter, because nodes
// with the same reports would otherwise choose the same engine at the same moment.
func (p *Picker) slotUtilization(now time.Time, r Request, e *directory.Upstream) float64 {
	if e.Slots <= 0 {
		return 0
	}
	requests, age := p.firstStageRequests(now, e.ID)
	if r.JitterSeed != 0 {
		requests += r.jitter(e.ID) * age * maxUnreportedPerNode * p.nodeCount
	}
	return requests / float64(e.Slots)
}

// noSlotCostMs is the cost of a first stage without a free slot, in ms. It equals the
// cost of a recent refusal: a request queues there until another one ends, which
// takes longer than callers' latency objectives.
const noSlotCostMs = recentRefusalCostMs

// slotCost returns the cost of an engine as the first stage, in ms. It is 0 up to
// a utilization of its slots of highUtilization, and rises from there to noSlotCostMs
// when all are taken.
func (p *Picker) slotCost(now time.Time, r Request, e *directory.Upstream) float64 {
	return min(max(p.slotUtilization(now, r, e)-highUtilization, 0)/(1-highUtilization), 1) * noSlotCostMs
}

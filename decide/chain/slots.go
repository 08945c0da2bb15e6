package chain

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
)

// report is the load that an engine tells with its answers.
type report struct {
	// requests are those that it works on or queues as their first stage.
	requests float64
	// own are this node's among them.
	own float64
	at  time.Time
}

// reportFresh is how long a report holds: by then a good part of the streams that it
// counted have ended, and as many have come.
const reportFresh = 1 * time.Second

// LoadReported takes the number of requests that an engine tells to work on or queue as
// their first stage.
func (b *Picker) LoadReported(now time.Time, id ids.Life, requests int) {
	s := b.engines[id]
	if s == nil {
		return // it is gone, and its state with it
	}
	s.report = report{requests: float64(requests), own: s.now.firsts, at: now}
}

// unreported is how many requests each node may have sent to an engine since its last
// report: hundreds of nodes fill an engine with one or two each.
const unreported = 2.0

// firsts gives the requests of the whole fleet of which an engine is the first stage, by
// its report, or by a guess from this node's requests where that is too old; age is the
// part of reportFresh that has passed since, 1 where there is no report.
func (b *Picker) firsts(now time.Time, id ids.Life) (requests, age float64) {
	s := b.engines[id]
	if s == nil {
		return 0, 1
	}
	since := now.Sub(s.report.at)
	if since >= reportFresh {
		return max(s.now.firsts, s.guess(now).firsts) * b.fleet, 1
	}
	return max(s.report.requests+s.now.firsts-s.report.own, 0), since.Seconds() / reportFresh.Seconds()
}

// slotsTaken gives the part of an engine's slots that is taken as a request sees it, over
// 1 with a queue, 0 where the engine does not tell how many it has. Other nodes may have
// sent requests since its report: the older that is the more, by each request's own draw,
// since nodes that know as little choose at the same moment.
func (b *Picker) slotsTaken(now time.Time, r Request, e *directory.Upstream) float64 {
	if e.Slots <= 0 {
		return 0
	}
	requests, age := b.firsts(now, e.ID)
	if r.JitterSeed != 0 {
		requests += r.draw(e.ID) * age * unreported * b.fleet
	}
	return requests / float64(e.Slots)
}

// queuedMs is charged for a first stage whose slots are taken, in ms, as much as for one
// that refused: a request waits there until another ends, longer than callers' objectives.
const queuedMs = refusedMs

// slotCost is charged for an engine as the first stage, in ms: more as its slots fill, up
// to queuedMs.
func (b *Picker) slotCost(now time.Time, r Request, e *directory.Upstream) float64 {
	return min(max(b.slotsTaken(now, r, e)-fullAt, 0)/(1-fullAt), 1) * queuedMs
}

package load

import (
	"time"

	"mimosaarch.example/core/engineapi"
)

// Shape of the history that a lagging report is compared with.
const (
	// historyStep is the shortest time between two kept samples.
	historyStep = 50 * time.Millisecond
	// historyLength samples reach back at least 1.6s; older reports leave
	// the unexplained part as it is.
	historyLength = 32
	// smoothing is the weight of a new report in the unexplained part.
	smoothing = 0.4
)

// entry is what a Book keeps of one upstream.
type entry struct {
	// own and peers are the counts in flight accounted for.
	own, peers int
	// unexplained is the smoothed count reported beyond those; the estimate
	// uses it when positive.
	unexplained float64
	// comparable is the time since which the history and unexplained mean
	// the same set of senders.
	comparable time.Time
	history    history

	known    bool
	last     engineapi.LoadReport
	measured time.Time
	failures int
}

// note records the counts after a change.
func (e *entry) note(now time.Time) {
	e.history.add(sample{at: now, own: e.own, peers: e.peers})
}

// shift moves work into (n > 0) or out of the unexplained part. Reports
// measured before now can't be compared with the counts any more.
func (e *entry) shift(now time.Time, n float64) {
	e.unexplained = max(e.unexplained, 0) + n
	e.unexplained = max(e.unexplained, 0)
	e.comparable = now
}

// report takes a report measured at the given time. Peers' counts become
// known peerLag late on average.
func (e *entry) report(now time.Time, r engineapi.LoadReport, measured time.Time, peerLag time.Duration) {
	e.failures = 0
	if e.known && measured.Before(e.measured) {
		return
	}
	restarted := e.known && e.last.Epoch != r.Epoch
	repeated := e.known && measured.Equal(e.measured)
	first := !e.known
	e.known = true
	e.last = r
	e.last.Links = nil
	e.measured = measured
	switch {
	case restarted:
		e.unexplained = 0
		e.comparable = now
	case repeated, measured.Before(e.comparable):
		return
	default:
		e.compare(r.Running, measured, peerLag, first)
	}
}

// compare sets the unexplained part from a report and the counts of its time.
func (e *entry) compare(running int, measured time.Time, peerLag time.Duration, first bool) {
	own, okOwn := e.history.at(measured)
	peers, okPeers := e.history.at(measured.Add(peerLag))
	if !okOwn || !okPeers {
		return
	}
	beyond := float64(running - own.own - peers.peers)
	if first {
		e.unexplained = beyond
		return
	}
	e.unexplained += smoothing * (beyond - e.unexplained)
}

// forget drops all reports.
func (e *entry) forget() {
	e.known = false
	e.last = engineapi.LoadReport{}
	e.measured = time.Time{}
	e.unexplained = 0
	e.failures = 0
}

// estimate gives the belief now.
func (e *entry) estimate(now time.Time) Estimate {
	est := Estimate{
		InFlight:        float64(e.own+e.peers) + max(e.unexplained, 0),
		OwnInFlight:     e.own,
		ReportedRunning: e.last.Running,
		Slots:           e.last.Slots,
		Rate:            e.last.TokensPerSecond,
		Epoch:           e.last.Epoch,
		Leaving:         e.last.Leaving,
		Failures:        e.failures,
		HasReport:       e.known,
	}
	if e.known {
		est.Age = now.Sub(e.measured)
	}
	return est
}

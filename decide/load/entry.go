package load

import (
	"time"

	"mimosaarch.example/core/engineapi"
)

// Parameters of the history of counts that load reports are compared with.
const (
	// minSampleInterval is the shortest time between two samples of the history.
	minSampleInterval = 50 * time.Millisecond
	// historyLength is the number of samples in the history. They cover at least
	// 1.6 s. Reports measured before that leave the unattributed load as it is.
	historyLength = 32
	// newReportWeight is the weight of a new report in the moving average of the
	// unattributed load.
	newReportWeight = 0.4
)

// entry is the load data of one upstream.
type entry struct {
	// own and peers are the numbers of requests in flight from this VM and from
	// its peers.
	own, peers int
	// unattributed is the moving average of the reported number of running
	// requests less own and peers. A negative value counts as 0 in the estimate.
	unattributed float64
	// comparableSince is the time since which history and unattributed refer to
	// the same set of senders. Reports measured before it are not compared.
	comparableSince time.Time
	history         history

	hasReport   bool
	lastReport  engineapi.LoadReport
	measuredAt  time.Time
	failedPolls int
}

// recordCounts adds the current counts to the history.
func (e *entry) recordCounts(now time.Time) {
	e.history.add(sample{at: now, own: e.own, peers: e.peers})
}

// shiftUnattributed adds n requests, which may be negative, to the unattributed
// load. Reports measured before now can no longer be compared with the counts.
func (e *entry) shiftUnattributed(now time.Time, n float64) {
	e.unattributed = max(e.unattributed, 0) + n
	e.unattributed = max(e.unattributed, 0)
	e.comparableSince = now
}

// applyReport applies a load report that was measured at measuredAt. peerLag is
// the average delay after which a change of a peer's count becomes known here.
func (e *entry) applyReport(now time.Time, r engineapi.LoadReport, measuredAt time.Time, peerLag time.Duration) {
	e.failedPolls = 0
	if e.hasReport && measuredAt.Before(e.measuredAt) {
		return
	}
	restarted := e.hasReport && e.lastReport.Epoch != r.Epoch
	repeated := e.hasReport && measuredAt.Equal(e.measuredAt)
	first := !e.hasReport
	e.hasReport = true
	e.lastReport = r
	e.lastReport.Links = nil
	e.measuredAt = measuredAt
	switch {
	case restarted:
		e.unattributed = 0
		e.comparableSince = now
	case repeated, measuredAt.Before(e.comparableSince):
		return
	default:
		e.updateUnattributed(r.Running, measuredAt, peerLag, first)
	}
}

// updateUnattributed updates the unattributed load from a reported number of
// running requests and the counts at the time of the report. The first report
// sets it without averaging.
func (e *entry) updateUnattributed(running int, measuredAt time.Time, peerLag time.Duration, first bool) {
	own, okOwn := e.history.at(measuredAt)
	peers, okPeers := e.history.at(measuredAt.Add(peerLag))
	if !okOwn || !okPeers {
		return
	}
	difference := float64(running - own.own - peers.peers)
	if first {
		e.unattributed = difference
		return
	}
	e.unattributed += newReportWeight * (difference - e.unattributed)
}

// forgetReports drops all data from load reports.
func (e *entry) forgetReports() {
	e.hasReport = false
	e.lastReport = engineapi.LoadReport{}
	e.measuredAt = time.Time{}
	e.unattributed = 0
	e.failedPolls = 0
}

// estimate returns the estimated load at time now.
func (e *entry) estimate(now time.Time) Estimate {
	est := Estimate{
		InFlight:        float64(e.own+e.peers) + max(e.unattributed, 0),
		OwnInFlight:     e.own,
		ReportedRunning: e.lastReport.Running,
		Slots:           e.lastReport.Slots,
		Rate:            e.lastReport.TokensPerSecond,
		Epoch:           e.lastReport.Epoch,
		Leaving:         e.lastReport.Leaving,
		FailedPolls:     e.failedPolls,
		HasReport:       e.hasReport,
	}
	if e.hasReport {
		est.Age = now.Sub(e.measuredAt)
	}
	return est
}

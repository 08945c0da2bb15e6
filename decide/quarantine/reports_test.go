package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Guards against keepers that have no time for anything else, because each node sends them all
// that it knows each time that one request succeeds.
func TestReportsGrowWithTheNews(t *testing.T) {
	const (
		runs         = 200
		interval     = 30 * time.Millisecond
		timesTold    = 10
		newsPerRun   = 2 // that it was lost, and that it has succeeded since
		mostReported = timesTold * newsPerRun * runs
	)
	d := NewDecider()
	now := at(0)
	var lost []Run
	for i := range runs {
		lost = append(lost, Run{Fingerprint: Fingerprint(fmt.Sprint("r", i)), Began: now})
	}
	now = now.Add(time.Second)
	d.RecordDeath(now, now, simService, "u", "1", lost)
	reported := 0
	for _, r := range lost {
		now = now.Add(interval)
		d.RecordSuccess(now, simService, r.Fingerprint)
		for _, report := range d.TakeReports(now) {
			reported += len(report.Events)
		}
	}
	if reported > mostReported {
		t.Errorf("%d events were reported about %d runs, want %d at most", reported, runs, mostReported)
	}
}

// mostWithin returns the most of some sorted times that lie within a window, in ms.
func mostWithin(times []int, window int) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first] <= at-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against keepers whose load grows with the square of the crashes, beside parts of prompts
// that most requests have.
func TestReportsAreBoundedWhileEnginesFailByTurns(t *testing.T) {
	t.Parallel()
	const (
		window  = 1000 // ms
		seconds = 14
		// controlBytes is what a node may send for control, in bytes per second.
		controlBytes = 16_000
	)
	for _, nodes := range []int{9, 85, 295} {
		f := newSimFleet(t, nodes, 7)
		f.badPart = badPart // requests have parts
		f.failEngines(0, fleetEngines, 200)
		f.playBadPart(seconds, 1<<30)
		mostReports := reportBurst + int(window*time.Millisecond/spacing(nodes)) + contradictionBurst + int(window*time.Millisecond/contradictionSpacing)
		for pair, times := range f.reportTimes {
			if n := mostWithin(times, window); n > mostReports {
				t.Errorf("%d nodes: node %d sent keeper %d %d reports within %d ms, want %d at most", nodes, pair[0], pair[1], n, window, mostReports)
				break
			}
		}
		rate := f.reportBytes / nodes / seconds
		if rate > controlBytes {
			t.Errorf("%d nodes: each sent %d bytes a second to keepers, want %d at most", nodes, rate, controlBytes)
		}
		t.Logf("%d nodes: each sent %d bytes a second to keepers", nodes, rate)
	}
}

// Guards against sound requests that are refused because keepers hear too late that a part of
// their prompts was served.
func TestSuccessIsToldBeforeKeepersDecide(t *testing.T) {
	d := NewDecider()
	d.SetNodes(9)
	part := PartFingerprint(simService, "popular")
	d.RecordDeath(at(1000), at(1000), simService, "u", "1", []Run{{Fingerprint: "r", Began: at(900)}, {Fingerprint: part, Began: at(900), Via: "r"}})
	if reports := d.TakeReports(at(1030)); len(reports) != 1 || len(reports[0].Events) != 2 {
		t.Fatalf("reports of the death: %v", reports)
	}
	d.RecordLived(at(1100), simService, []Fingerprint{part})
	due := d.NextReport()
	if due.IsZero() || due.Sub(at(1100)) >= evidenceWait {
		t.Fatalf("the success is told at %v, want less than %v after it", due.Sub(at(1100)), evidenceWait)
	}
	reports := d.TakeReports(due)
	if len(reports) != 1 || len(reports[0].Events) != 1 || reports[0].Events[0].Kind != Succeeded || reports[0].Events[0].Fingerprint != part {
		t.Errorf("reports of the success: %v", reports)
	}
}

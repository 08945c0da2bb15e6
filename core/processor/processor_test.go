package processor

import (
	"testing"
	"time"
)

func TestReportNamesTheDutiesOfItsPeriod(t *testing.T) {
	m := NewMonitor()
	m.add("short", time.Millisecond)
	m.add("long", 2*time.Millisecond)
	m.add("long", 3*time.Millisecond)
	m.Begin("measured")()
	m.Sample()
	r := m.Report()
	if len(r.Duties) != 3 || r.Duties[0] != (Usage{"long", 2, 5 * time.Millisecond}) || r.Duties[1] != (Usage{"short", 1, time.Millisecond}) {
		t.Errorf("duties are %v", r.Duties)
	}
	if r.LongestWait <= 0 || r.LongestWait != r.MeanWait || r.Elapsed <= 0 {
		t.Errorf("report is %+v", r)
	}
	if m.LongestWait() != r.LongestWait {
		t.Errorf("the longest wait is %v, want %v", m.LongestWait(), r.LongestWait)
	}
	if later := m.Report(); len(later.Duties) != 0 || later.LongestWait != 0 {
		t.Errorf("next report is %+v", later)
	}
}

func TestNilMonitorRecordsNothing(t *testing.T) {
	var m *Monitor
	m.Begin("duty")()
	if m.LongestWait() != 0 {
		t.Error("a nil Monitor knows a wait")
	}
}

func TestReportCountsTheTimeOfTheProcess(t *testing.T) {
	m := NewMonitor()
	for start := time.Now(); time.Since(start) < 50*time.Millisecond; {
	}
	if r := m.Report(); r.Used <= 0 {
		t.Errorf("used time is %v", r.Used)
	}
}

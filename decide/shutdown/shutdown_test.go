package shutdown

import (
	"testing"
	"time"
)

func TestLateRequestsAreSentOnlyIfTheirDeadlinesEndBeforeTheCut(t *testing.T) {
	start := time.Unix(1000, 0)
	p := NewPlan(start, 8*time.Second)
	for _, c := range []struct {
		afterMs, deadlineMs int
		want                bool
	}{
		{0, 20_000, true}, {2999, 20_000, true}, {3000, 20_000, false}, {3000, 7400, true}, {3000, 7401, false}, {7000, 7300, true},
	} {
		now, deadline := start.Add(time.Duration(c.afterMs)*time.Millisecond), start.Add(time.Duration(c.deadlineMs)*time.Millisecond)
		if got := p.MaySend(now, deadline); got != c.want {
			t.Errorf("at %d ms with a deadline at %d ms: %v", c.afterMs, c.deadlineMs, got)
		}
	}
	if !(*Plan)(nil).MaySend(start, start.Add(time.Hour)) {
		t.Error("a node that does not stop sends nothing")
	}
}

func TestPlanOfAnyGraceIsInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second, time.Minute} {
		p := NewPlan(start, grace)
		if p.ListenUntil.After(p.LateAt) || p.LateAt.After(p.CutAt) || p.ReadUntil.After(p.CutAt) || p.ReadUntil.Before(start) {
			t.Errorf("grace %v: %+v", grace, p)
		}
		if end := start.Add(grace); grace >= exitMargin && p.CutAt.After(end.Add(-exitMargin)) {
			t.Errorf("grace %v: the cut is %v before the end", grace, end.Sub(p.CutAt))
		}
	}
}

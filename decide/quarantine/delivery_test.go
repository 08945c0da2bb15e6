package quarantine

import (
	"testing"
	"time"
)

// Guards against keepers that never get news which another process of theirs, or nobody, has taken.
func TestKeepersThatLackNewsGetAllEvidence(t *testing.T) {
	var d Delivery
	next := func(ms int, want Content) {
		t.Helper()
		if got := d.Next(at(ms), "k"); got != want {
			t.Errorf("at %d ms: content %d, want %d", ms, got, want)
		}
	}
	next(0, Whole)
	if d.Delivered("k", "p1", Whole) {
		t.Error("a keeper that got all evidence lacks some")
	}
	next(10, News)
	if !d.Delivered("k", "p2", News) {
		t.Error("a keeper that has restarted lacks nothing")
	}
	next(20, Whole)
	if d.Delivered("k", "p2", Whole) || d.Delivered("k", "p2", News) {
		t.Error("a keeper that has got all lacks some")
	}
	d.Failed(at(100), "k")
	next(150, Nothing)
	if due, at1 := d.Retry(at(150), []string{"k", "other"}); due || !at1.Equal(at(1100)) {
		t.Errorf("retry due %v, at %v", due, at1)
	}
	if due, _ := d.Retry(at(1100), []string{"k"}); !due {
		t.Error("no retry after the pause")
	}
	next(1100, Whole)
	d.Failed(at(1100), "k")
	next(3000, Nothing)
	next(3100, Whole)
	_ = d.Delivered("k", "p2", Whole)
	d.Lost()
	next(3200, Whole)
}

func TestPauseOfASilentKeeperIsBounded(t *testing.T) {
	var d Delivery
	now := time.Duration(0)
	for range 100 {
		d.Failed(t0.Add(now), "k")
		_, next := d.Retry(t0.Add(now), []string{"k"})
		if pause := next.Sub(t0.Add(now)); pause < firstRetryPause || pause > maxRetryPause {
			t.Fatalf("pause of %v", pause)
		}
		now += maxRetryPause
	}
}

package backpressure

import (
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

// usualSends lets a node send to the upstream at a rate for ten seconds, and returns the
// time after that.
func usualSends(n *Table, perSecond int) time.Time {
	now := start
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Second / time.Duration(perSecond)) {
		n.Sent(now, engine)
	}
	return now
}

// Guards against requests during a rest, and against a rest that a later refusal, a new
// limit or a new list of upstreams shortens.
func TestNoRequestDuringARest(t *testing.T) {
	n := New(1)
	n.SetNodeCount(1)
	now := usualSends(n, 20)
	n.RestAsked(now, engine, 3*time.Second)
	n.RestAsked(now.Add(100*time.Millisecond), engine, time.Second)
	n.LimitAnswered(now.Add(200*time.Millisecond), now, engine, 5, true)
	n.LimitNotified(now.Add(300*time.Millisecond), LimitNotice{Upstream: engine})
	n.Removed(now.Add(400*time.Millisecond), engine)
	for after := time.Duration(0); after < 3*time.Second; after += 10 * time.Millisecond {
		if got := n.Admits(now.Add(after), engine, true); got != Held {
			t.Fatalf("admission %v after %v", got, after)
		}
		if n.AdmitProbe(now.Add(after), engine) {
			t.Fatalf("probe admitted after %v", after)
		}
	}
	if got, want := n.RestLeft(now.Add(time.Second), engine), 2*time.Second; got != want {
		t.Errorf("%v of the rest are left, want %v", got, want)
	}
}

// A later refusal extends a rest, and a rest is bounded.
func TestRestIsExtendedAndBounded(t *testing.T) {
	n := New(1)
	n.RestAsked(start, engine, time.Second)
	if got, want := n.RestAsked(start.Add(500*time.Millisecond), engine, 2*time.Second), start.Add(2500*time.Millisecond); !got.Equal(want) {
		t.Errorf("rest until %v, want %v", got, want)
	}
	if got, want := n.RestAsked(start, engine, 1000*time.Hour), start.Add(MaxRest); !got.Equal(want) {
		t.Errorf("rest until %v, want %v", got, want)
	}
	if got := n.RestLeft(start, ids.Instance{Upstream: "other"}); got != 0 {
		t.Errorf("%v of the rest of another upstream are left", got)
	}
}

// Guards against all requests that wait for the end of a rest being sent at once.
func TestRateRisesGraduallyAfterARest(t *testing.T) {
	const usual = 40
	n := New(1)
	end := usualSends(n, usual).Add(3 * time.Second)
	n.RestAsked(end.Add(-3*time.Second), engine, 3*time.Second)
	sent := make(map[int]int) // by second since the end
	for now := end; now.Before(end.Add(6 * time.Second)); now = now.Add(time.Second / (2 * usual)) {
		if n.Admits(now, engine, false) == Admitted {
			n.Sent(now, engine)
			sent[int(now.Sub(end).Seconds())]++
		}
	}
	if sent[0] < 1 || sent[0] > usual/4 || sent[1] > usual/2 {
		t.Errorf("requests by second %v: want a gradual rise", sent)
	}
	if sent[4] < 2*usual {
		t.Errorf("requests by second %v: want no restriction in the end", sent)
	}
}

// Guards against an upstream with few requests that is left alone after a rest.
func TestFirstRequestAfterARestIsAdmitted(t *testing.T) {
	n := New(1)
	n.Sent(start, engine)
	n.RestAsked(start, engine, time.Second)
	if got := n.Admits(start.Add(time.Second), engine, false); got != Admitted {
		t.Errorf("admission %v", got)
	}
	n.Sent(start.Add(time.Second), engine)
	if got := n.Admits(start.Add(time.Second), engine, false); got != Held {
		t.Errorf("admission %v of a second request at the same moment", got)
	}
}

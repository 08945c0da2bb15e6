package replica

import (
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
)

var start = time.Unix(1000, 0)

func three() []*directory.Upstream {
	return []*directory.Upstream{
		{ID: ids.Instance{Upstream: "a"}, Zone: "1", Slots: 6},
		{ID: ids.Instance{Upstream: "b"}, Zone: "2", Slots: 6},
		{ID: ids.Instance{Upstream: "c"}, Zone: "3", Slots: 6},
	}
}

func TestPrefersOwnZoneThenSpreads(t *testing.T) {
	b := New(condition.New())
	if u := b.Pick(start, three(), "2", nil, 0.5); u.ID != life("b") {
		t.Errorf("idle: %s, want the own zone's", u.ID)
	}
	for range 6 {
		b.RequestStarted(life("b"))
	}
	if u := b.Pick(start, three(), "2", nil, 0.5); u.ID == life("b") {
		t.Error("the own zone's is chosen though it is full")
	}
}

func TestLeavingAndAvoidedGetNothing(t *testing.T) {
	b := New(condition.New())
	list := three()
	list[1].Leaving = true
	if u := b.Pick(start, list, "2", map[ids.Instance]bool{{Upstream: "a"}: true}, 0); u.ID != life("c") {
		t.Errorf("chosen %s", u.ID)
	}
	if u := b.Pick(start, list, "2", map[ids.Instance]bool{{Upstream: "a"}: true, life("c"): true}, 0); u != nil {
		t.Errorf("chosen %s, though none is left", u.ID)
	}
}

func TestSuspectedIsTheLastResort(t *testing.T) {
	conditions := condition.New()
	b := New(conditions)
	conditions.Failed(start, life("b"))
	if u := b.Pick(start, three(), "2", nil, 0); u.ID == life("b") {
		t.Error("a suspected one is chosen before others")
	}
	if u := b.Pick(start, three(), "2", map[ids.Instance]bool{{Upstream: "a"}: true, life("c"): true}, 0); u.ID != life("b") {
		t.Error("a suspected one is not chosen as the last")
	}
}

func TestFailuresCostAndAreForgotten(t *testing.T) {
	b := New(condition.New())
	for range 3 {
		b.RequestStarted(life("b"))
		b.RequestEnded(start, life("b"), time.Millisecond, true)
	}
	if u := b.Pick(start, three(), "2", nil, 0); u.ID == life("b") {
		t.Error("one that fails fast looks quick")
	}
	if u := b.Pick(start.Add(5*time.Second), three(), "2", nil, 0); u.ID != life("b") {
		t.Error("it is not tried again later")
	}
}

// life is the one life of an upstream whose start is not told.
func life(name ids.Upstream) ids.Instance { return ids.Instance{Upstream: name} }

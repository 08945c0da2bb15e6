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
		{ID: "a", Zone: "1", Slots: 6},
		{ID: "b", Zone: "2", Slots: 6},
		{ID: "c", Zone: "3", Slots: 6},
	}
}

func TestPrefersOwnZoneThenSpreads(t *testing.T) {
	b := New(condition.New())
	if u := b.Choose(start, three(), "2", nil, 0.5); u.ID != "b" {
		t.Errorf("idle: %s, want the own zone's", u.ID)
	}
	for range 6 {
		b.Began("b")
	}
	if u := b.Choose(start, three(), "2", nil, 0.5); u.ID == "b" {
		t.Error("the own zone's is chosen though it is full")
	}
}

func TestLeavingAndAvoidedGetNothing(t *testing.T) {
	b := New(condition.New())
	list := three()
	list[1].Leaving = true
	if u := b.Choose(start, list, "2", map[ids.Upstream]bool{"a": true}, 0); u.ID != "c" {
		t.Errorf("chosen %s", u.ID)
	}
	if u := b.Choose(start, list, "2", map[ids.Upstream]bool{"a": true, "c": true}, 0); u != nil {
		t.Errorf("chosen %s, though none is left", u.ID)
	}
}

func TestSuspectedIsTheLastResort(t *testing.T) {
	conditions := condition.New()
	b := New(conditions)
	conditions.Failed(start, "b")
	if u := b.Choose(start, three(), "2", nil, 0); u.ID == "b" {
		t.Error("a suspected one is chosen before others")
	}
	if u := b.Choose(start, three(), "2", map[ids.Upstream]bool{"a": true, "c": true}, 0); u.ID != "b" {
		t.Error("a suspected one is not chosen as the last")
	}
}

func TestFailuresCostAndAreForgotten(t *testing.T) {
	b := New(condition.New())
	for range 3 {
		b.Began("b")
		b.Ended(start, "b", time.Millisecond, true)
	}
	if u := b.Choose(start, three(), "2", nil, 0); u.ID == "b" {
		t.Error("one that fails fast looks quick")
	}
	if u := b.Choose(start.Add(5*time.Second), three(), "2", nil, 0); u.ID != "b" {
		t.Error("it is not tried again later")
	}
}

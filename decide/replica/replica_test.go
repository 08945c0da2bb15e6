package replica

import (
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
)

// start is the start time of the tests.
var start = time.Unix(1000, 0)

// threeZones returns three equal upstreams, each in another zone.
func threeZones() []*directory.Upstream {
	return []*directory.Upstream{
		{ID: ids.Instance{Upstream: "a"}, Zone: "1", Slots: 6},
		{ID: ids.Instance{Upstream: "b"}, Zone: "2", Slots: 6},
		{ID: ids.Instance{Upstream: "c"}, Zone: "3", Slots: 6},
	}
}

func TestPrefersOwnZoneThenSpreads(t *testing.T) {
	p := New(condition.New())
	if u := p.Pick(start, threeZones(), "2", nil, 0.5); u.ID != instanceOf("b") {
		t.Errorf("picked %s of idle upstreams, want the one in the zone of the request", u.ID)
	}
	for range 6 {
		p.RequestStarted(instanceOf("b"))
	}
	if u := p.Pick(start, threeZones(), "2", nil, 0.5); u.ID == instanceOf("b") {
		t.Error("picked the upstream in the zone of the request although it is full")
	}
}

func TestLeavingAndAvoidedGetNothing(t *testing.T) {
	p := New(condition.New())
	list := threeZones()
	list[1].Leaving = true
	if u := p.Pick(start, list, "2", map[ids.Instance]bool{{Upstream: "a"}: true}, 0); u.ID != instanceOf("c") {
		t.Errorf("picked %s, want c", u.ID)
	}
	if u := p.Pick(start, list, "2", map[ids.Instance]bool{{Upstream: "a"}: true, instanceOf("c"): true}, 0); u != nil {
		t.Errorf("picked %s, want none", u.ID)
	}
}

func TestSuspectedIsTheLastResort(t *testing.T) {
	conditions := condition.New()
	p := New(conditions)
	conditions.Failed(start, instanceOf("b"))
	if u := p.Pick(start, threeZones(), "2", nil, 0); u.ID == instanceOf("b") {
		t.Error("picked a suspected upstream before others")
	}
	if u := p.Pick(start, threeZones(), "2", map[ids.Instance]bool{{Upstream: "a"}: true, instanceOf("c"): true}, 0); u.ID != instanceOf("b") {
		t.Error("did not pick a suspected upstream although no other is left")
	}
}

func TestFailuresCostAndAreForgotten(t *testing.T) {
	p := New(condition.New())
	for range 3 {
		p.RequestStarted(instanceOf("b"))
		p.RequestEnded(start, instanceOf("b"), time.Millisecond, true)
	}
	if u := p.Pick(start, threeZones(), "2", nil, 0); u.ID == instanceOf("b") {
		t.Error("picked an upstream that fails quickly")
	}
	if u := p.Pick(start.Add(5*time.Second), threeZones(), "2", nil, 0); u.ID != instanceOf("b") {
		t.Error("an upstream that has failed is not tried again later")
	}
}

// instanceOf returns the ID of an upstream that does not report its start time.
func instanceOf(name ids.Upstream) ids.Instance { return ids.Instance{Upstream: name} }

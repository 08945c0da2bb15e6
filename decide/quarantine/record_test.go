package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

// firstKeeper is the role of the first keeper of a service in a fleet.
func firstKeeper(ids.Service) Role { return Role{Keeper: true} }

// deciderWithVerdict returns a Decider of a keeper that has a verdict on a fingerprint as of a time.
func deciderWithVerdict(t *testing.T, ms int, fp Fingerprint) *Decider {
	t.Helper()
	dec := NewDecider()
	for i, e := range []ids.Upstream{"e1", "e2"} {
		dec.RecordDeath(at(ms-2000+i), at(ms-2000+i), simService, e, "1", []Run{{Fingerprint: fp}})
	}
	if refused, f, _ := dec.Check(at(ms), simService, fp, firstKeeper("")); !refused {
		t.Fatalf("no verdict: %+v", f)
	}
	return dec
}

// recalled returns a Decider that has started with what is recorded.
func recalled(ms int, records ...Record) *Decider {
	dec := NewDecider()
	for _, r := range records {
		for _, v := range r.Recall(at(ms).UnixMilli()) {
			dec.AddVerdict(at(ms), v)
		}
	}
	return dec
}

// refuses reports whether a node that is no keeper refuses requests with a fingerprint.
func refuses(dec *Decider, ms int, fp Fingerprint) bool {
	refused, _, _ := dec.Check(at(ms), simService, fp, Role{})
	return refused
}

func TestRecordedVerdictEndsWithTheVerdict(t *testing.T) {
	r := deciderWithVerdict(t, 0, "bad").Record(at(0), at(0).UnixMilli(), firstKeeper)
	end := int(DefaultDuration.Milliseconds()) - 2000
	for _, c := range []struct {
		ms   int
		want bool
	}{{0, true}, {1000, true}, {end - 100, true}, {end + 100, false}} {
		dec := recalled(c.ms, r, r)
		if got := refuses(dec, c.ms, "bad"); got != c.want {
			t.Errorf("after %d ms: refused %v", c.ms, got)
		}
		// A process that starts later continues the verdict, and does not prolong it.
		again := recalled(c.ms+1000, dec.Record(at(c.ms), at(c.ms).UnixMilli(), firstKeeper))
		if refuses(again, end+200, "bad") {
			t.Errorf("after a second start at %d ms the verdict does not end", c.ms+1000)
		}
	}
	// The clock has jumped back by an hour since.
	if dec := recalled(-3_600_000, r); !refuses(dec, -3_600_000, "bad") || refuses(dec, -3_600_000+end+100, "bad") {
		t.Error("on a clock that was put back the verdict does not have its own length")
	}
}

// Guards against a sound request that stays refused after a success because it is recalled.
func TestRecalledVerdictIsClearedByASuccess(t *testing.T) {
	dec := deciderWithVerdict(t, 0, "sound")
	r := dec.Record(at(0), at(0).UnixMilli(), firstKeeper)
	after := recalled(1000, r)
	after.RecordSuccess(at(1500), simService, "sound")
	if refuses(after, 1600, "sound") {
		t.Error("refused after a success")
	}
	dec.RecordSuccess(at(1500), simService, "sound")
	if next := dec.Record(at(1600), at(1600).UnixMilli(), firstKeeper); len(next.Verdicts) != 0 || r.Covers(next) {
		t.Errorf("the record keeps %d verdicts, and is rewritten: %v", len(next.Verdicts), !r.Covers(next))
	}
}

func TestRecordIsBoundedAndLeavesOutWhatNoNodeWrites(t *testing.T) {
	dec := NewDecider()
	for i := range 3 * maxRecordedVerdicts {
		dec.AddVerdict(at(0), Verdict{Fingerprint: Fingerprint(fmt.Sprint("f", i)), For: time.Minute + time.Duration(i)*time.Second, Service: simService})
	}
	r := dec.Record(at(0), at(0).UnixMilli(), firstKeeper)
	if len(r.Verdicts) != maxRecordedVerdicts || r.Verdicts[0].Fingerprint != Fingerprint(fmt.Sprint("f", 3*maxRecordedVerdicts-1)) {
		t.Errorf("%d verdicts, the first is %v", len(r.Verdicts), r.Verdicts[0])
	}
	if later := dec.Record(at(1000), at(1000).UnixMilli(), firstKeeper); !r.Covers(later) {
		t.Error("the record is rewritten though nothing has changed")
	}
	for rank, want := range map[int]bool{recordingKeepers - 1: true, recordingKeepers: false} {
		got := dec.Record(at(0), at(0).UnixMilli(), func(ids.Service) Role { return Role{Keeper: true, Rank: rank} })
		if len(got.Verdicts) > 0 != want {
			t.Errorf("keeper %d records %d verdicts", rank, len(got.Verdicts))
		}
	}
	odd := Record{AtMs: at(0).UnixMilli(), Verdicts: []Verdict{
		{Fingerprint: "no service", For: time.Minute},
		{Fingerprint: Fingerprint(strings.Repeat("x", 1000)), For: time.Minute, Service: simService},
		{Fingerprint: "ended", For: -time.Minute, Service: simService},
		{Fingerprint: "long", For: 1000 * time.Hour, Service: simService, Evidence: make([]Event, 1000)},
	}}
	if got := odd.Recall(at(0).UnixMilli()); len(got) != 1 || len(got[0].Evidence) != maxRecordedEvents {
		t.Errorf("recalled %+v", got)
	}
	if refuses(recalled(0, odd), int(DefaultDuration.Milliseconds())+1, "long") {
		t.Error("a verdict lasts longer than any node would refuse")
	}
}

package quarantine

import (
	"fmt"
	"testing"

	"mimosaarch.example/core/ids"
)

// Guards against a request that crashes the same upstream without end, since it always comes to the
// one that has started again under its id.
func TestRequestThatCrashesAnUpstreamThatKeepsItsIDIsRefused(t *testing.T) {
	for name, started := range map[string]bool{"before the first event": false, "after it": true} {
		t.Run(name, func(t *testing.T) {
			b := New(Options{})
			deaths := 0
			for ms := 0; !isQuarantined(b, ms+2000, "bad"); ms += 4000 {
				if deaths++; deaths > 5 {
					t.Fatal("not refused after 5 crashes")
				}
				runs := []Run{{Fingerprint: "bad", Began: at(ms - 50), Started: started}, {Fingerprint: Fingerprint(fmt.Sprint("other", ms)), Began: at(ms - 40)}}
				b.RecordDeathAt(at(ms), at(ms), "e1", fmt.Sprint(ms), runs)
			}
			// Three may follow the third crash.
			if want := map[bool]int{false: 3, true: 4}[started]; deaths != want {
				t.Errorf("refused after %d crashes, want %d", deaths, want)
			}
		})
	}
}

// Guards against refusing a request that was sent again to an upstream that crashed by itself twice.
func TestRequestOnAnUpstreamThatCrashesTwiceIsNotRefused(t *testing.T) {
	b := New(Options{})
	b.RecordDeath(at(0), "e1", "1", []Fingerprint{"sound"})
	b.RecordDeath(at(4000), "e1", "2", []Fingerprint{"sound"})
	if isQuarantined(b, 8000, "sound") {
		t.Error("refused")
	}
}

// Guards against counting a death again when a report about an earlier process comes late, and
// against counting a process that a run had begun before.
func TestProcessesOfAnUpstreamCountOnce(t *testing.T) {
	b := New(Options{})
	for range 4 {
		b.MergeDigest(at(100), ids.VM("p"), []Event{{Kind: Blamed, Upstream: "e1", Epoch: "1", Fingerprint: "bad"}})
		b.RecordDeathAt(at(4000), at(4000), "e1", "2", []Run{{Fingerprint: "bad", Began: at(-100)}})
		b.RecordDeathAt(at(8000), at(8000), "e1", "3", []Run{{Fingerprint: "bad", Began: at(-100)}})
	}
	if isQuarantined(b, 12000, "bad") {
		t.Error("refused for one process")
	}
}

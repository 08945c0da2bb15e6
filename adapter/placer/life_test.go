package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
)

// An engine that starts again is empty and knows nothing of an order under way,
// so the next life gets one of its own at once.
func TestOrderUnderWayEndsWithTheLife(t *testing.T) {
	f := newFleet()
	play(t, f, true, func() {
		f.life("a", 100, 0, 0)
		f.life("b", 100, 6, 10)
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{"a@100 0-6 fence 9 after 4"}, f.given()); diff != "" {
			t.Error(diff)
		}
		f.life("a", 200, 0, 0)
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{"a@200 0-6 fence 9 after 4"}, f.given()); diff != "" {
			t.Error(diff)
		}
	})
}

// An order for one life never goes to the next, whose report tells it apart
// before the directory does.
func TestReportOfALaterLifeStopsTheOrder(t *testing.T) {
	f := newFleet()
	f.born = map[ids.Upstream]int64{"a": 200}
	play(t, f, true, func() {
		f.life("a", 100, 0, 0)
		f.life("b", 100, 6, 10)
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{"a@200 0-6 fence 9 after 4"}, f.given()); diff != "" {
			t.Error(diff)
		}
	})
}

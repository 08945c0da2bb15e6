package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
)

// A restarted engine is empty and knows of no pending order, so its new process
// gets an order at once.
func TestPendingOrderEndsWithTheProcess(t *testing.T) {
	f := newFleet()
	runPlacer(t, f, true, func() {
		f.engineStartedAt("a", 100, 0, 0)
		f.engineStartedAt("b", 100, 6, 10)
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{"a@100 0-6 fence 9 after 4"}, f.takeOrders()); diff != "" {
			t.Error(diff)
		}
		f.engineStartedAt("a", 200, 0, 0)
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{"a@200 0-6 fence 9 after 4"}, f.takeOrders()); diff != "" {
			t.Error(diff)
		}
	})
}

// An order for one process is never sent to the next one. The engine's report shows
// the restart before the directory does.
func TestReportOfRestartStopsTheOrder(t *testing.T) {
	f := newFleet()
	f.startTimes = map[ids.Upstream]int64{"a": 200}
	runPlacer(t, f, true, func() {
		f.engineStartedAt("a", 100, 0, 0)
		f.engineStartedAt("b", 100, 6, 10)
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{"a@200 0-6 fence 9 after 4"}, f.takeOrders()); diff != "" {
			t.Error(diff)
		}
	})
}

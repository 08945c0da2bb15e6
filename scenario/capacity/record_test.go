package capacity

import (
	"fmt"
	"testing"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
	"mimosaarch.example/node/record"
)

// stepsPerRequest is the number of decisions recorded for a typical request.
const stepsPerRequest = 3

// BenchmarkRecords measures the memory of the routing decisions that a node
// keeps, and the time to add one to a full history.
func BenchmarkRecords(b *testing.B) {
	for _, kept := range []int{1000, 5000, 20000} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) {
			before := heapBytes()
			history := record.New(kept)
			for i := range 2 * kept {
				history.Add(decision(i))
			}
			heldKB := float64(int64(heapBytes())-int64(before)) / 1024
			i := 2 * kept
			for b.Loop() {
				history.Add(decision(i))
				i++
			}
			b.ReportMetric(heldKB, "KB-held")
		})
	}
}

// decision returns the i-th decision of the benchmark, of which stepsPerRequest
// belong to the same request.
func decision(i int) router.Decision {
	return router.Decision{
		At:      start,
		ID:      ids.Request(fmt.Sprintf("entry-000-abcdef-%d", i/stepsPerRequest)),
		Account: "account-00001",
		Step:    router.StepSent,
		Attempt: 1,
		Chain:   []ids.Upstream{"engine-a", "engine-b", "engine-c"},
	}
}

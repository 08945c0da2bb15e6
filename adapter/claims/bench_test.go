package claims

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/router"
)

const (
	// benchLatency is the latency of each call to the benchStore.
	benchLatency = 2 * time.Millisecond
	// benchDuration is how long claims are submitted.
	benchDuration = 3 * time.Second
)

// BenchmarkFleet submits claims of distinct keys to the Committers of a fleet
// in turn, at a constant rate. One iteration is one run of benchDuration.
func BenchmarkFleet(b *testing.B) {
	for _, nodes := range []int{3, 9, 26} {
		for _, rate := range []int{20, 100, 500} {
			b.Run(fmt.Sprintf("nodes=%d/rate=%d", nodes, rate), func(b *testing.B) {
				for b.Loop() {
					runFleet(b, nodes, rate, false)
				}
			})
		}
	}
}

// BenchmarkFleetSettles does the same as BenchmarkFleet and settles each claim
// after it has ended.
func BenchmarkFleetSettles(b *testing.B) {
	for _, rate := range []int{20, 100, 500} {
		b.Run(fmt.Sprintf("nodes=9/rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				runFleet(b, 9, rate, true)
			}
		})
	}
}

// BenchmarkFleetSameKeys submits claims of the same 2,000 keys to nine
// Committers at once.
func BenchmarkFleetSameKeys(b *testing.B) {
	const nodes, keys = 9, 2000
	for b.Loop() {
		store, sink, fleet, stop := startFleet(b, nodes)
		sink.pending.Add(nodes * keys)
		for i := range keys {
			for _, c := range fleet {
				offerBench(b, c, sink, i, false)
			}
		}
		sink.pending.Wait()
		stop()
		store.report(b, keys)
		sink.report(b)
		b.ReportMetric(float64(sink.won), "won")
	}
}

// runFleet runs a fleet once and reports its metrics.
func runFleet(b *testing.B, nodes, rate int, settles bool) {
	store, sink, fleet, stop := startFleet(b, nodes)
	claims := rate * int(benchDuration/time.Second)
	sink.pending.Add(claims)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	for i := range claims {
		<-ticker.C
		offerBench(b, fleet[i%nodes], sink, i, settles)
	}
	ticker.Stop()
	sink.pending.Wait()
	stop()
	store.report(b, claims)
	sink.report(b)
	if sink.won+sink.failed != claims {
		b.Errorf("%d of %d claims of distinct keys found the key taken", claims-sink.won-sink.failed, claims)
	}
}

// startFleet starts Committers that share a store. stop ends them.
func startFleet(b *testing.B, nodes int) (store *benchStore, sink *benchSink, fleet []*Committer, stop func()) {
	store = &benchStore{objects: make(map[string]platformapi.Object)}
	sink = &benchSink{startedAt: make(map[ids.Request]time.Time), onEnded: make(map[ids.Request]func())}
	ctx, cancel := context.WithCancel(b.Context())
	fleet = benchFleet(store, sink, nodes)
	var running sync.WaitGroup
	for _, c := range fleet {
		running.Go(func() { c.Run(ctx) })
	}
	return store, sink, fleet, func() {
		cancel()
		running.Wait()
	}
}

// offerBench submits the i-th claim.
func offerBench(b *testing.B, c *Committer, sink *benchSink, i int, settles bool) {
	sink.offered++
	id := ids.Request(fmt.Sprintf("entry-%d-0123456789abcdef-%d", i%26, sink.offered))
	record := router.ClaimRecord{
		Account: "school-17", Key: fmt.Sprintf("booking-%08d", i), Fingerprint: fmt.Sprintf("%064x", i),
		Request: id, VM: "entry-3", Upstream: "booking-api-2", Attempt: 1,
	}
	var onEnded func()
	if settles {
		onEnded = func() {
			if err := c.Offer(router.Settle{ID: id, Record: record}); err != nil {
				b.Error(err)
			}
		}
	}
	sink.start(id, onEnded)
	if err := c.Offer(router.Claim{ID: id, Record: record}); err != nil {
		b.Error(err)
		sink.ClaimEnded(router.ClaimEnded{ID: id, Result: router.ClaimFailed})
	}
}

// benchStore is a versioned in-memory store with a constant latency.
type benchStore struct {
	mu                              sync.Mutex
	revision                        int64
	objects                         map[string]platformapi.Object
	reads, writes, conflicts, bytes int
}

func (s *benchStore) Get(_ context.Context, key string) (platformapi.Object, error) {
	<-time.After(benchLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	object, ok := s.objects[key]
	if !ok {
		return platformapi.Object{}, &platform.NotFoundError{Key: key}
	}
	return object, nil
}

func (s *benchStore) Put(_ context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error) {
	<-time.After(benchLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.bytes += len(value)
	if current := s.objects[key]; current.Version != ifMatch {
		s.conflicts++
		return platformapi.Object{}, &platform.ConflictError{Current: current}
	}
	s.revision++
	s.objects[key] = platformapi.Object{Key: key, Version: s.revision, Value: value}
	return s.objects[key], nil
}

// report reports the number of calls and the stored bytes per claim.
func (s *benchStore) report(b *testing.B, claims int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, object := range s.objects {
		size += len(object.Value)
	}
	b.ReportMetric(float64(s.writes), "writes")
	b.ReportMetric(float64(s.conflicts), "conflicts")
	b.ReportMetric(float64(s.reads), "reads")
	b.ReportMetric(float64(size)/float64(claims), "B/entry")
}

// benchSink measures the latency of claims.
type benchSink struct {
	mu        sync.Mutex
	startedAt map[ids.Request]time.Time
	onEnded   map[ids.Request]func()
	latencies []time.Duration
	pending   sync.WaitGroup
	// offered counts the submitted claims. Only the submitting goroutine
	// accesses it.
	offered, won, failed int
}

// start records the start of a claim and a function to call when it has ended.
// The function may be nil.
func (s *benchSink) start(id ids.Request, onEnded func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt[id] = time.Now()
	s.onEnded[id] = onEnded
}

func (s *benchSink) ClaimEnded(ev router.ClaimEnded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch ev.Result {
	case router.ClaimWon:
		s.won++
	case router.ClaimFailed, router.ClaimUncertain:
		s.failed++
	}
	s.latencies = append(s.latencies, time.Since(s.startedAt[ev.ID]))
	if onEnded := s.onEnded[ev.ID]; onEnded != nil {
		onEnded()
	}
	s.pending.Done()
}

func (s *benchSink) ClaimReleased(router.ClaimReleased) {}

// report reports latency percentiles and the number of failed claims.
func (s *benchSink) report(b *testing.B) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.latencies)
	b.ReportMetric(float64(s.latencies[len(s.latencies)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(s.latencies[len(s.latencies)*95/100].Microseconds())/1000, "p95-ms")
	b.ReportMetric(float64(s.failed), "failed")
	b.ReportMetric(0, "ns/op")
}

// benchFleet returns the Committers of a fleet, which forward to each other if
// there is more than one.
func benchFleet(store *benchStore, sink Sink, nodes int) []*Committer {
	fleet := make([]*Committer, nodes)
	for i := range fleet {
		settings := Settings{}
		if nodes > 1 {
			settings.Peers = &fakePeers{self: i, fleet: &fleet}
		}
		fleet[i] = New(store, sink, settings)
	}
	return fleet
}

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
	// benchLatency is how long the benchmark's store takes for each call.
	benchLatency = 2 * time.Millisecond
	// benchTime is how long claims are offered.
	benchTime = 3 * time.Second
)

// BenchmarkFleet offers claims of distinct keys to the Committers of a fleet,
// in turn, at a steady pace. One iteration is one such run.
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

// BenchmarkFleetSettles is BenchmarkFleet with each claim settled once won.
func BenchmarkFleetSettles(b *testing.B) {
	for _, rate := range []int{20, 100, 500} {
		b.Run(fmt.Sprintf("nodes=9/rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				runFleet(b, 9, rate, true)
			}
		})
	}
}

// BenchmarkFleetSameKeys offers claims of the same 2,000 keys to nine
// Committers, all at once.
func BenchmarkFleetSameKeys(b *testing.B) {
	const nodes, keys = 9, 2000
	for b.Loop() {
		store, sink, fleet, stop := startFleet(b, nodes)
		sink.open.Add(nodes * keys)
		for i := range keys {
			for _, c := range fleet {
				offerBench(b, c, sink, i, false)
			}
		}
		sink.open.Wait()
		stop()
		store.report(b, keys)
		sink.report(b)
		b.ReportMetric(float64(sink.won), "won")
	}
}

// runFleet is one run; it reports its figures.
func runFleet(b *testing.B, nodes, rate int, settles bool) {
	store, sink, fleet, stop := startFleet(b, nodes)
	claims := rate * int(benchTime/time.Second)
	sink.open.Add(claims)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	for i := range claims {
		<-ticker.C
		offerBench(b, fleet[i%nodes], sink, i, settles)
	}
	ticker.Stop()
	sink.open.Wait()
	stop()
	store.report(b, claims)
	sink.report(b)
	if sink.won+sink.failed != claims {
		b.Errorf("%d of %d claims of new keys found them taken", claims-sink.won-sink.failed, claims)
	}
}

// startFleet starts Committers over a store; stop ends them.
func startFleet(b *testing.B, nodes int) (store *benchStore, sink *benchSink, fleet []*Committer, stop func()) {
	store = &benchStore{objects: make(map[string]platformapi.Object)}
	sink = &benchSink{began: make(map[ids.Request]time.Time), then: make(map[ids.Request]func())}
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

// offerBench offers the i-th claim.
func offerBench(b *testing.B, c *Committer, sink *benchSink, i int, settles bool) {
	sink.offered++
	id := ids.Request(fmt.Sprintf("entry-%d-0123456789abcdef-%d", i%26, sink.offered))
	record := router.ClaimRecord{
		Account: "school-17", Key: fmt.Sprintf("booking-%08d", i), Fingerprint: fmt.Sprintf("%064x", i),
		Request: id, VM: "entry-3", Upstream: "booking-api-2", Attempt: 1,
	}
	var then func()
	if settles {
		then = func() {
			if err := c.Offer(router.Settle{ID: id, Record: record}); err != nil {
				b.Error(err)
			}
		}
	}
	sink.begin(id, then)
	if err := c.Offer(router.Claim{ID: id, Record: record}); err != nil {
		b.Error(err)
		sink.ClaimEnded(router.ClaimEnded{ID: id, Result: router.ClaimFailed})
	}
}

// benchStore is a versioned store in memory, each call of which takes a time.
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

// report gives the calls, and the bytes of the objects for each claim.
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

// benchSink measures how long claims take.
type benchSink struct {
	mu    sync.Mutex
	began map[ids.Request]time.Time
	then  map[ids.Request]func()
	took  []time.Duration
	open  sync.WaitGroup
	// offered counts claims; only the one that offers them touches it.
	offered, won, failed int
}

// begin notes the start of a claim, and what to do once it is won; nil for
// nothing.
func (s *benchSink) begin(id ids.Request, then func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began[id] = time.Now()
	s.then[id] = then
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
	s.took = append(s.took, time.Since(s.began[ev.ID]))
	if then := s.then[ev.ID]; then != nil {
		then()
	}
	s.open.Done()
}

func (s *benchSink) ClaimReleased(router.ClaimReleased) {}

// report gives the latency and the claims not won.
func (s *benchSink) report(b *testing.B) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.took)
	b.ReportMetric(float64(s.took[len(s.took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(s.took[len(s.took)*95/100].Microseconds())/1000, "p95-ms")
	b.ReportMetric(float64(s.failed), "failed")
	b.ReportMetric(0, "ns/op")
}

// benchFleet makes the Committers of a fleet.
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

package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mimosaarch.example/adapter/peer"
	"mimosaarch.example/adapter/peer/identity"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/member"
	"mimosaarch.example/decide/router"
)

// What each node of the benchmarks has to tell.
const (
	reportsPerNode = 8
	linksPerReport = 3
	inFlightCounts = 30
	accountsTold   = 20
)

// node is a Service with figures that change as those of a busy node do.
type node struct {
	*peer.Service
	zone  ids.Zone
	round chan struct{}

	sent, received atomic.Int64
	missed         atomic.Int64

	mu     sync.Mutex
	rand   *rand.Rand
	digest peerapi.Digest
	relay  bool
	// churn has a tenth of the counts move to other engines in each round.
	churn bool
	// heard holds what peers told, and gaps the longest time between two
	// digests of one peer of the zone.
	heard map[ids.VM]peerapi.Digest
	last  map[ids.VM]time.Time
	gap   time.Duration
}

// newNode makes a node's first figures.
func newNode(index int, zone ids.Zone, relay, churn bool) *node {
	n := &node{
		zone:  zone,
		round: make(chan struct{}, 1),
		rand:  rand.New(rand.NewPCG(uint64(index), 1)),
		relay: relay,
		churn: churn,
		heard: make(map[ids.VM]peerapi.Digest),
		last:  make(map[ids.VM]time.Time),
	}
	n.digest.InFlight = make(map[ids.Upstream]int)
	for i := range inFlightCounts {
		n.digest.InFlight[ids.Upstream(engineName(zone, i))] = 1 + n.rand.IntN(9)
	}
	for i := range accountsTold {
		account := ids.Account(fmt.Sprintf("account-%05d", index*7+i))
		n.digest.Usage = append(n.digest.Usage, peerapi.AccountUsage{Account: account, Demand: n.rand.Float64() * 10})
	}
	for i := range reportsPerNode {
		n.digest.Loads = append(n.digest.Loads, peerapi.Load{Report: report(zone, index*reportsPerNode+i, n.rand)})
	}
	return n
}

// engineName names an engine.
func engineName(zone ids.Zone, i int) string { return fmt.Sprintf("engine-%s-%03d", zone, i) }

// report makes an engine's load report.
func report(zone ids.Zone, i int, r *rand.Rand) engineapi.LoadReport {
	out := engineapi.LoadReport{
		Engine:          engineName(zone, i),
		Epoch:           fmt.Sprintf("%016x", r.Uint64()),
		Model:           "mimosa-desk",
		First:           i % 3 * 20,
		Last:            i%3*20 + 19,
		Slots:           16,
		TokensPerSecond: 400 + float64(r.IntN(10)*40),
	}
	for k := range linksPerReport {
		out.Links = append(out.Links, engineapi.Link{
			To:              engineName(zone, i+k+1),
			LatencyUs:       200 + int64(r.IntN(400)),
			TokensPerSecond: 5000 * float64(1+r.IntN(3)),
		})
	}
	return out
}

// Digest implements peer.Source. In each round a third of the counts, a half
// of the demands and all reports have changed.
func (n *node) Digest(context.Context) (peerapi.Digest, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := peerapi.Digest{InFlight: make(map[ids.Upstream]int), Usage: slices.Clone(n.digest.Usage)}
	n.move()
	for id, count := range n.digest.InFlight {
		if n.rand.IntN(3) == 0 {
			count = max(count+n.rand.IntN(3)-1, 1)
			n.digest.InFlight[id] = count
		}
		out.InFlight[id] = count
	}
	for i := range n.digest.Usage {
		if n.rand.IntN(2) == 0 {
			n.digest.Usage[i].Demand *= 0.9 + 0.2*n.rand.Float64()
		}
	}
	for i := range n.digest.Loads {
		r := &n.digest.Loads[i].Report
		r.Running = min(max(r.Running+n.rand.IntN(3)-1, 0), r.Slots)
		r.AgeMs = int64(n.rand.IntN(100))
		n.digest.Loads[i].AgeNs = n.rand.Int64N(int64(100 * time.Millisecond))
		out.Loads = append(out.Loads, n.digest.Loads[i])
	}
	out.Loads = append(out.Loads, n.relayed()...)
	select {
	case n.round <- struct{}{}:
	default:
	}
	return out, nil
}

// churnEngines are the engines among which counts move.
const churnEngines = 200

// move moves some counts to other engines.
func (n *node) move() {
	if !n.churn {
		return
	}
	for id, count := range n.digest.InFlight {
		if n.rand.IntN(10) == 0 {
			delete(n.digest.InFlight, id)
			n.digest.InFlight[ids.Upstream(engineName(n.zone, n.rand.IntN(churnEngines)))] = count
		}
	}
}

// relayed gives the reports of peers, as a router tells them again.
func (n *node) relayed() []peerapi.Load {
	var out []peerapi.Load
	if !n.relay {
		return nil
	}
	for _, d := range n.heard {
		for _, l := range d.Loads {
			if !l.Relayed {
				l.Relayed = true
				l.AgeNs += n.rand.Int64N(int64(time.Second))
				out = append(out, l)
			}
		}
	}
	return out
}

// Explain implements peer.Source.
func (*node) Explain(ids.Request) []router.Decision { return nil }

// PeerDigest implements peer.Sink.
func (n *node) PeerDigest(d peerapi.Digest, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard[d.VM] = d
	if last, ok := n.last[d.VM]; ok && d.Zone == n.zone {
		n.gap = max(n.gap, at.Sub(last))
	}
	n.last[d.VM] = at
}

// resetGap forgets the longest time between two digests.
func (n *node) resetGap() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gap = 0
}

// PeerGone implements peer.Sink.
func (*node) PeerGone(ids.VM, member.GoneReason) {}

// PeerVMs implements peer.Sink.
func (*node) PeerVMs(platformapi.VMList) {}

// count takes the counts that the benchmarks show.
func (n *node) count(c peer.Counter, by int64) {
	switch c {
	case peer.BytesSent:
		n.sent.Add(by)
	case peer.BytesReceived:
		n.received.Add(by)
	case peer.DigestsMissed:
		n.missed.Add(by)
	}
}

// hears is how many peers the node has heard from, those of its zone apart.
func (n *node) hears() (inZone, across int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.heard {
		if d.Zone == n.zone {
			inZone++
		} else {
			across++
		}
	}
	return inZone, across
}

// startNodes runs nodes, spread over zones, and waits until each hears from
// all of its zone.
func startNodes(b *testing.B, count, zones int, relay, churn bool) []*node {
	b.Helper()
	ca, err := identity.NewCA("fleet")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() { stop(); running.Wait() })
	var nodes []*node
	var seeds []string
	for i := range count {
		n := newNode(i, ids.Zone(fmt.Sprintf("zone-%d", i%zones)), relay, churn)
		n.start(b, ca, i, seeds)
		seeds = append(seeds, n.Addr())
		nodes = append(nodes, n)
		running.Go(func() { n.Run(ctx) })
	}
	for _, n := range nodes {
		for inZone := 0; inZone < count/zones-1; inZone, _ = n.hears() {
			<-n.round
		}
	}
	return nodes
}

// start opens a node's port.
func (n *node) start(b *testing.B, ca *identity.CA, index int, seeds []string) {
	b.Helper()
	id, err := ca.Identity("node", time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	n.Service, err = peer.New(peer.Options{
		VM:     ids.VM(fmt.Sprintf("entry-%03d", index)),
		Zone:   n.zone,
		Listen: "127.0.0.1:0",
		Seeds:  seeds,
		TLS:    id,
		Source: n,
		Sink:   n,
		Count:  n.count,
	})
	if err != nil {
		b.Fatal(err)
	}
}

// usage is what the whole process has used.
type usage struct {
	at             time.Time
	cpu            time.Duration
	sent, received int64
}

// measure reads the clock, the processor time and the nodes' bytes.
func measure(b *testing.B, nodes []*node) usage {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	out := usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	for _, n := range nodes {
		out.sent += n.sent.Load()
		out.received += n.received.Load()
	}
	return out
}

// heap is the memory in use after a collection, in bytes.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkPeers measures what one node's part among its peers costs, with
// mutual TLS. An operation is a round; run it with -benchtime 20x. Bytes are
// counted above TCP; the processor time is that of the process, both ends of
// each link and the benchmark itself included, by node.
func BenchmarkPeers(b *testing.B) {
	sizes := []struct {
		nodes, zones int
		relay, churn bool
	}{
		{3, 1, false, false},
		{9, 1, false, false},
		{26, 1, false, false},
		{9, 3, false, false},
		{9, 3, true, false},
		{9, 3, false, true},
		{26, 1, false, true},
		{45, 15, false, false},
	}
	for _, size := range sizes {
		name := fmt.Sprintf("nodes=%d/zones=%d/relayed=%v/churn=%v", size.nodes, size.zones, size.relay, size.churn)
		b.Run(name, func(b *testing.B) {
			before := heap()
			nodes := startNodes(b, size.nodes, size.zones, size.relay, size.churn)
			for range 8 {
				<-nodes[0].round
			}
			for _, n := range nodes {
				n.resetGap()
			}
			from := measure(b, nodes)
			for b.Loop() {
				<-nodes[0].round
			}
			to := measure(b, nodes)
			show(b, nodes, from, to)
			b.ReportMetric(float64(int64(heap())-int64(before))/1024/float64(len(nodes)), "KB/node")
		})
	}
}

// show reports figures by node and second.
func show(b *testing.B, nodes []*node, from, to usage) {
	b.Helper()
	seconds := to.at.Sub(from.at).Seconds() * float64(len(nodes))
	b.ReportMetric(float64(to.sent-from.sent)/seconds, "sent-B/s")
	b.ReportMetric(float64(to.received-from.received)/seconds, "received-B/s")
	b.ReportMetric(float64((to.cpu-from.cpu).Microseconds())/1000/seconds, "cpu-ms/s")
	var gap time.Duration
	var across int
	for _, n := range nodes {
		n.mu.Lock()
		gap = max(gap, n.gap)
		n.mu.Unlock()
		_, linked := n.hears()
		across += linked
	}
	b.ReportMetric(gap.Seconds(), "longest-gap-s")
	b.ReportMetric(float64(across)/float64(len(nodes)), "heard-across")
}

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

// Sizes of the digest of each node of the benchmarks: load reports with their
// links, engines with requests in flight, and accounts with usage.
const (
	reportsPerNode    = 8
	linksPerReport    = 3
	inFlightPerNode   = 30
	accountsPerDigest = 20
)

// node is a peer.Service with the digest of a busy node, which changes in each
// round.
type node struct {
	*peer.Service
	zone ids.Zone
	// round receives a value when the node has built a digest, once a round.
	round chan struct{}

	// sent and received count bytes, and missed counts digests.
	sent, received atomic.Int64
	missed         atomic.Int64

	mu     sync.Mutex
	rand   *rand.Rand
	digest peerapi.Digest
	// relay adds the load reports of peers to the node's own digest.
	relay bool
	// churn moves a tenth of the in-flight counts to other engines each round.
	churn bool
	// heard holds the last digest of each peer, and last its time of arrival.
	heard map[ids.VM]peerapi.Digest
	last  map[ids.VM]time.Time
	// maxGap is the longest time between two digests of the same peer, among
	// peers of the same zone.
	maxGap time.Duration
}

// newNode returns a node with random initial values in its digest.
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
	for i := range inFlightPerNode {
		n.digest.InFlight[ids.Upstream(engineName(zone, i))] = 1 + n.rand.IntN(9)
	}
	for i := range accountsPerDigest {
		account := ids.Account(fmt.Sprintf("account-%05d", index*7+i))
		n.digest.Usage = append(n.digest.Usage, peerapi.AccountUsage{Account: account, Demand: n.rand.Float64() * 10})
	}
	for i := range reportsPerNode {
		n.digest.Loads = append(n.digest.Loads, peerapi.Load{Report: report(zone, index*reportsPerNode+i, n.rand)})
	}
	return n
}

// engineName returns the ID of an engine of a zone.
func engineName(zone ids.Zone, i int) string { return fmt.Sprintf("engine-%s-%03d", zone, i) }

// report returns the load report of engine i of a zone, with random values.
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

// Digest implements peer.Source. From one round to the next a third of the
// in-flight counts, half of the accounts' demands and all load reports change.
func (n *node) Digest(context.Context) (peerapi.Digest, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := peerapi.Digest{InFlight: make(map[ids.Upstream]int), Usage: slices.Clone(n.digest.Usage)}
	n.churnCounts()
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

// churnEngines is the number of engines among which in-flight counts move.
const churnEngines = 200

// churnCounts moves a tenth of the in-flight counts to other engines, if the node
// has churn.
func (n *node) churnCounts() {
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

// relayed returns the load reports of peers, marked as relayed and aged, as a
// router adds them to its digest. Without relay there are none. The caller holds
// the lock.
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
		n.maxGap = max(n.maxGap, at.Sub(last))
	}
	n.last[d.VM] = at
}

// resetMaxGap starts a new measurement of the longest time between two digests.
func (n *node) resetMaxGap() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxGap = 0
}

// PeerGone implements peer.Sink.
func (*node) PeerGone(ids.VM, member.GoneReason) {}

// PeerVMs implements peer.Sink.
func (*node) PeerVMs(platformapi.VMList) {}

// count implements peer.Options.Count for the counters that the benchmarks use.
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

// peersHeard returns the number of peers from which the node has received a
// digest, in its own zone and in others.
func (n *node) peersHeard() (inZone, otherZones int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.heard {
		if d.Zone == n.zone {
			inZone++
		} else {
			otherZones++
		}
	}
	return inZone, otherZones
}

// startNodes starts nodes, spread evenly over zones, and waits until each has
// received a digest from all others of its zone. They stop when the benchmark
// ends.
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
		for inZone := 0; inZone < count/zones-1; inZone, _ = n.peersHeard() {
			<-n.round
		}
	}
	return nodes
}

// start creates the node's peer service, which listens on a local port.
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

// usage is the resource usage of the process and its nodes up to a time: CPU time
// of the process, and bytes sent and received by the nodes.
type usage struct {
	at             time.Time
	cpu            time.Duration
	sent, received int64
}

// measure returns the usage up to now.
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

// heapBytes returns the memory of heap and stacks in use after a garbage
// collection, in bytes.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkPeers measures what the exchange of digests with its peers costs one
// node, with mutual TLS. An operation is one round of digests; run it with
// -benchtime 20x. Bytes are counted above TCP. CPU time is that of the process
// divided by the number of nodes, so it includes both ends of each connection
// and the benchmark itself.
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
			before := heapBytes()
			nodes := startNodes(b, size.nodes, size.zones, size.relay, size.churn)
			for range 8 {
				<-nodes[0].round
			}
			for _, n := range nodes {
				n.resetMaxGap()
			}
			from := measure(b, nodes)
			for b.Loop() {
				<-nodes[0].round
			}
			to := measure(b, nodes)
			reportUsage(b, nodes, from, to)
			b.ReportMetric(float64(int64(heapBytes())-int64(before))/1024/float64(len(nodes)), "KB/node")
		})
	}
}

// reportUsage reports the usage between two measurements per node and second,
// the longest gap between two digests of a peer, and the mean number of peers in
// other zones from which a node has received a digest.
func reportUsage(b *testing.B, nodes []*node, from, to usage) {
	b.Helper()
	nodeSeconds := to.at.Sub(from.at).Seconds() * float64(len(nodes))
	b.ReportMetric(float64(to.sent-from.sent)/nodeSeconds, "sent-B/s")
	b.ReportMetric(float64(to.received-from.received)/nodeSeconds, "received-B/s")
	b.ReportMetric(float64((to.cpu-from.cpu).Microseconds())/1000/nodeSeconds, "cpu-ms/s")
	var maxGap time.Duration
	var otherZones int
	for _, n := range nodes {
		n.mu.Lock()
		maxGap = max(maxGap, n.maxGap)
		n.mu.Unlock()
		_, heard := n.peersHeard()
		otherZones += heard
	}
	b.ReportMetric(maxGap.Seconds(), "longest-gap-s")
	b.ReportMetric(float64(otherZones)/float64(len(nodes)), "heard-across")
}

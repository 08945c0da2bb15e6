package peer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"mimosaarch.example/adapter/peer/identity"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/configorder"
	"mimosaarch.example/decide/member"
	"mimosaarch.example/decide/router"
)

// testNode is a Service together with its Source, Sink and configuration store.
type testNode struct {
	*Service
	digests   chan peerapi.Digest
	gone      chan member.PeerGone
	lists     chan platformapi.VMList
	changed   chan struct{}
	digestErr error

	mu            sync.Mutex
	store         *configorder.Store
	counts        map[Counter]int64
	countsChanged chan struct{}
	stop          func()
}

func (n *testNode) Digest(context.Context) (peerapi.Digest, error) {
	return peerapi.Digest{
		InFlight: map[ids.Upstream]int{"e1": 3},
		Loads:    []peerapi.Load{{Report: engineapi.LoadReport{Engine: "e1"}}},
	}, n.digestErr
}

func (n *testNode) Explain(id ids.Request) []router.Decision {
	return []router.Decision{{ID: id, Step: router.StepSent, At: time.Now()}}
}

func (n *testNode) PeerDigest(d peerapi.Digest, _ time.Time) { put(n.digests, d) }
func (n *testNode) PeerGone(vm ids.VM, reason member.GoneReason) {
	put(n.gone, member.PeerGone{VM: vm, Reason: reason})
}
func (n *testNode) PeerVMs(list platformapi.VMList)          { put(n.lists, list) }
func (n *testNode) Offer(objects []platformapi.Object) error { n.apply(objects...); return nil }
func (n *testNode) locked(do func())                         { n.mu.Lock(); defer n.mu.Unlock(); do() }

func (n *testNode) count(c Counter) (v int64) { n.locked(func() { v = n.counts[c] }); return v }

func (n *testNode) sum() (d uint64) { n.locked(func() { d = n.store.Digest() }); return d }

func (n *testNode) version() (v int64) { n.locked(func() { v = maxVersion(n.store) }); return v }

func (n *testNode) apply(objects ...platformapi.Object) {
	n.locked(func() {
		for _, object := range objects {
			_, _ = n.store.Apply(object)
		}
	})
	put(n.changed, struct{}{})
}

func maxVersion(s *configorder.Store) int64 {
	var v int64
	for _, kv := range s.Summary() {
		v = max(v, kv.Version)
	}
	return v
}

// feed adapts the store of a testNode to Feed.
type feed struct{ *testNode }

func (f feed) Digest(context.Context) (uint64, error) { return f.sum(), nil }

func (f feed) Summary(context.Context) (out []configorder.KeyVersion, _ error) {
	f.locked(func() { out = f.store.Summary() })
	return out, nil
}

func (f feed) Newer(_ context.Context, peerSummary []configorder.KeyVersion, maxBytes int) (out []platformapi.Object, _ error) {
	f.locked(func() { out = f.store.Newer(peerSummary, maxBytes) })
	return out, nil
}

// put sends v unless the channel is full.
func put[T any](c chan T, v T) {
	select {
	case c <- v:
	default:
	}
}

// start runs a testNode until the test ends. change may alter its options.
func start(t *testing.T, vm, zone string, change func(*Options)) *testNode {
	t.Helper()
	n := &testNode{
		digests:       make(chan peerapi.Digest, 64),
		gone:          make(chan member.PeerGone, 64),
		lists:         make(chan platformapi.VMList, 64),
		changed:       make(chan struct{}, 64),
		countsChanged: make(chan struct{}, 1),
		store:         configorder.New(configorder.Settings{}),
		counts:        make(map[Counter]int64),
	}
	opts := Options{
		VM:       ids.VM(vm),
		Zone:     ids.Zone(zone),
		Listen:   "127.0.0.1:0",
		Interval: 20 * time.Millisecond,
		Source:   n,
		Sink:     n,
		Feed:     feed{n},
		Count: func(c Counter, v int64) {
			n.locked(func() { n.counts[c] += v })
			put(n.countsChanged, struct{}{})
		},
	}
	if change != nil {
		change(&opts)
	}
	service, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	n.Service = service
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { service.Run(ctx) })
	n.stop = func() { cancel(); wait.Wait() }
	t.Cleanup(n.stop)
	return n
}

// startWithSeed starts a node that knows the address of seed.
func startWithSeed(t *testing.T, vm, zone string, seed *testNode, id *identity.Identity) *testNode {
	return start(t, vm, zone, func(o *Options) { o.Seeds, o.TLS = []string{seed.Addr()}, id })
}

// waitFor waits until a condition on the counts holds.
func (n *testNode) waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	limit := time.After(20 * time.Second)
	for !ok() {
		select {
		case <-n.countsChanged:
		case <-limit:
			n.locked(func() { t.Fatalf("timeout before condition %q; counts %v", what, n.counts) })
		}
	}
}

// digestFrom waits for a digest of a VM and returns it.
func (n *testNode) digestFrom(t *testing.T, vm ids.VM) peerapi.Digest {
	t.Helper()
	limit := time.After(20 * time.Second)
	for {
		select {
		case d := <-n.digests:
			if d.VM == vm {
				return d
			}
		case <-limit:
			t.Fatalf("no digest of %s", vm)
		}
	}
}

const profile = "kind: profile\nname: p\n"

func object(version int64) platformapi.Object {
	return platformapi.Object{Key: "config/profile/p", Version: version, Value: []byte(profile)}
}

func TestTwoNodes(t *testing.T) {
	ca, err := identity.NewCA("fleet")
	if err != nil {
		t.Fatal(err)
	}
	a := start(t, "a", "z1", func(o *Options) { o.TLS = issue(t, ca, time.Hour) })
	a.apply(object(7))
	if err := a.SetVMs(platformapi.VMList{Revision: 4, VMs: []platformapi.VM{{ID: "e1", Role: platformapi.RoleEngine}}}); err != nil {
		t.Fatal(err)
	}
	// b knows only a's address and gets no list of VMs from the platform.
	b := startWithSeed(t, "b", "z1", a, issue(t, ca, time.Hour))
	first := b.digestFrom(t, "a")
	if second := b.digestFrom(t, "a"); first.Boot != second.Boot || second.Seq <= first.Seq || second.InFlight["e1"] != 3 {
		t.Fatalf("%+v after %+v", second, first)
	}
	a.digestFrom(t, "b")
	b.waitFor(t, "configuration from the peer", func() bool { return b.version() == 7 })
	if list := <-b.lists; list.Revision != 4 {
		t.Fatalf("list %+v", list)
	}
	// Configuration also passes from b to a, though a was not given b's address.
	b.apply(object(9))
	a.waitFor(t, "configuration from the peer", func() bool { return a.version() == 9 })
	steps, err := a.Service.Explain(t.Context(), "b", "r1")
	if err != nil || len(steps) != 1 || steps[0].ID != "r1" || steps[0].Step != router.StepSent {
		t.Fatalf("%v, %v", steps, err)
	}
	if a.Polls("e1", "z1") == b.Polls("e1", "z1") {
		t.Fatal("the engine is not polled by exactly one of the two nodes")
	}
	if a.count(BytesSent) == 0 || b.count(BytesReceived) == 0 {
		t.Fatalf("bytes are not counted: %v", a.counts)
	}
	b.stop()
	if gone := <-a.gone; gone != (member.PeerGone{VM: "b", Reason: member.Silent}) {
		t.Fatalf("%v", gone)
	}
	if !a.Polls("e1", "z1") {
		t.Fatal("no node polls the engine")
	}
}

func TestNodesFindEachOtherWithoutThePlatform(t *testing.T) {
	a := start(t, "a", "z1", nil)
	b := startWithSeed(t, "b", "z1", a, nil)
	c := startWithSeed(t, "c", "z1", a, nil)
	b.digestFrom(t, "c")
	c.digestFrom(t, "b")
}

func TestDigestReplyCarriesDigest(t *testing.T) {
	n := start(t, "a", "z1", nil)
	conn := connect(t, n)
	seq := uint64(0)
	ask := func(zone ids.Zone) *peerapi.Digest {
		seq++
		var out peerapi.DigestReply
		digest := peerapi.Digest{VM: ids.VM(zone), Zone: zone, Boot: "b", Seq: seq, Address: "127.0.0.1:1"}
		if err := conn.Call(t.Context(), peerapi.MethodDigest, digest, &out); err != nil {
			t.Fatal(err)
		}
		return out.Digest
	}
	// Replies carry no digest before the first round.
	whole := ask("z2")
	for whole == nil && seq < 10000 {
		whole = ask("z2")
	}
	same := ask("z1")
	for _, got := range []*peerapi.Digest{whole, same} {
		if got == nil || got.InFlight["e1"] != 3 {
			t.Fatalf("got %v", got)
		}
	}
	b := startWithSeed(t, "b", "z2", n, nil)
	n.digestFrom(t, "b")
	b.digestFrom(t, "a")
}

// Digests can wait in socket buffers while the process is suspended. They would
// look fresh afterwards, so the loop must drop what arrives within one interval
// of a pause.
func TestDigestsThatWaitedOutAPauseAreDropped(t *testing.T) {
	n := start(t, "a", "z1", nil)
	n.stop()
	l := newLoop(n.Service)
	now := time.Now()
	l.lastWake = now.Add(-time.Minute)
	now = l.detectPause()
	ev := digestReceived{digest: peerapi.Digest{VM: "x", Zone: "z1", Boot: "b", Seq: 1}}
	ev.apply(l, now)
	if n.count(DigestsAfterPause) != 1 || len(n.digests) != 0 {
		t.Fatal("a digest of unknown age was used")
	}
	ev.apply(l, now.Add(n.opts.Interval))
	n.digestFrom(t, "x")
}

func TestSilentLinkIsClosed(t *testing.T) {
	silent := listenSilent(t)
	a := start(t, "a", "z1", func(o *Options) { o.Seeds, o.CallTimeout = []string{silent}, 20*time.Millisecond })
	a.waitFor(t, "the link is closed", func() bool { return a.count(LinksSilent) > 0 })
	if missed := a.count(DigestsMissed); missed < maxMissedReplies {
		t.Fatalf("closed after %d missed replies", missed)
	}
}

func TestSourceFailureSendsNothing(t *testing.T) {
	a := start(t, "a", "z1", nil)
	b := start(t, "b", "z1", func(o *Options) {
		o.Seeds = []string{a.Addr()}
		o.Source.(*testNode).digestErr = &StoppedSource{}
	})
	b.waitFor(t, "three rounds", func() bool { return b.count(DigestsSkipped) > 2 })
	if b.count(DigestsSent) > 0 {
		t.Fatal("a digest was sent")
	}
}

// StoppedSource is the error of a Source that fails.
type StoppedSource struct{}

func (*StoppedSource) Error() string { return "stopped" }

func TestExplainOfUnknownPeer(t *testing.T) {
	a := start(t, "a", "z1", nil)
	var unknown *UnknownPeerError
	if _, err := a.Service.Explain(t.Context(), "x", "r1"); !errors.As(err, &unknown) {
		t.Fatalf("got %v", err)
	}
}

// relayingSource is a Source whose digest also has a load report received from
// a peer.
type relayingSource struct{ *testNode }

func (r relayingSource) Digest(ctx context.Context) (peerapi.Digest, error) {
	d, err := r.testNode.Digest(ctx)
	d.Loads = append(d.Loads, peerapi.Load{Report: engineapi.LoadReport{Engine: "e2"}, Relayed: true})
	return d, err
}

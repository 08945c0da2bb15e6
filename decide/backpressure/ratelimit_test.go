package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	engine = ids.Instance{Upstream: "e"}
)

// Bounds on the requests that a limited upstream gets from all nodes together.
const (
	boundWindow    = 4 * time.Second
	boundTolerance = 1.5
	boundBurst     = 5
)

// fleet is a number of nodes that send requests to one upstream.
type fleet struct {
	rng    *rand.Rand
	nodes  []*Table
	limit  float64
	now    time.Time
	sentAt []time.Time
}

// newFleet returns nodes that have just been told a limit.
func newFleet(size int, limit float64, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, now: start}
	for range size {
		n := New(f.rng.Uint64())
		n.SetNodeCount(size)
		f.nodes = append(f.nodes, n)
		n.LimitAnswered(f.now, f.now, engine, limit, true)
	}
	return f
}

// run lets requests arrive at all nodes together at a rate, and sends those that are
// admitted. The upstream responds at once and names its limit.
func (f *fleet) run(length time.Duration, perSecond float64) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.now = f.now.Add(time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)))
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		if !n.Admits(f.now, engine) {
			continue
		}
		n.Sent(f.now, engine)
		f.sentAt = append(f.sentAt, f.now)
		n.LimitAnswered(f.now, f.now, engine, f.limit, f.limit > 0)
	}
}

// most returns the largest number of requests sent within boundWindow.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.sentAt {
		for at.Sub(f.sentAt[first]) > boundWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// checkBound fails the test if the upstream got more than its limit allows.
func (f *fleet) checkBound(t *testing.T, name string) {
	t.Helper()
	if got, allowed := f.most(), f.limit*boundWindow.Seconds()*boundTolerance+boundBurst; float64(got) > allowed {
		t.Errorf("%s: %d requests in %v, allowed %.1f", name, got, boundWindow, allowed)
	}
}

// Guards against a sum over all nodes that exceeds the limit, in steady traffic and in a
// burst after a pause, with few requests for each node and with many.
func TestFleetKeepsToTheLimit(t *testing.T) {
	for _, size := range []int{1, 9, 85, 295} {
		for _, limit := range []float64{0.6, 3.7, 40} {
			for seed := range uint64(20) {
				f := newFleet(size, limit, seed)
				f.run(30*time.Second, 4*limit)
				f.now = f.now.Add(2 * time.Minute)
				f.run(20*time.Second, 200*limit)
				f.checkBound(t, fmt.Sprintf("%d nodes, limit %v, seed %d", size, limit, seed))
			}
		}
	}
}

// A limited upstream still gets a good part of the requests that it takes if the nodes
// have them.
func TestLimitIsUsed(t *testing.T) {
	for _, size := range []int{1, 9, 85, 295} {
		f := newFleet(size, 4, 1)
		f.run(5*time.Minute, 200*4)
		if got, least := float64(len(f.sentAt))/300, 4*0.6; got < least {
			t.Errorf("%d nodes: %.2f requests a second, want at least %.2f", size, got, least)
		}
	}
}

// Guards against nodes that take the whole limit each because they do not know that
// there are others.
func TestNoRequestWhileTheNumberOfNodesIsUnknown(t *testing.T) {
	n := New(1)
	n.LimitAnswered(start, start, engine, 100, true)
	if now := start.Add(time.Minute); n.Admits(now, engine) {
		t.Error("a node that does not know its share sends requests")
	}
}

// Guards against a limit that ends by a response that is older than the limit.
func TestOvertakenResponseDoesNotEndTheLimit(t *testing.T) {
	n := New(1)
	n.SetNodeCount(1)
	n.LimitAnswered(start.Add(time.Second), start, engine, 4, true)
	if got := n.LimitAnswered(start.Add(2*time.Second), start, engine, 0, false); got != LimitSame {
		t.Errorf("change %v", got)
	}
	if got := n.LimitAnswered(start.Add(3*time.Second), start.Add(2*time.Second), engine, 0, false); got != LimitEnded {
		t.Errorf("change %v, want LimitEnded", got)
	}
}

// Guards against a return of all requests at once after the end of a limit.
func TestRateRisesGraduallyAfterTheLimit(t *testing.T) {
	n := New(1)
	n.SetNodeCount(1)
	const usual = 40 // requests per second
	now := start
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Second / usual) {
		n.Sent(now, engine)
	}
	for range 10 {
		n.LimitAnswered(now, now, engine, 4, true)
		now = now.Add(time.Second)
	}
	n.LimitAnswered(now, now, engine, 0, false)
	sent := make(map[int]int) // by second since the end
	for end := now; now.Before(end.Add(8 * time.Second)); now = now.Add(time.Second / usual) {
		if n.Admits(now, engine) {
			n.Sent(now, engine)
			sent[int(now.Sub(end).Seconds())]++
		}
	}
	if sent[0] > 10 || sent[1] > 16 {
		t.Errorf("requests by second %v: want a gradual rise", sent)
	}
	if sent[7] < usual*9/10 {
		t.Errorf("requests by second %v: want the usual rate in the end", sent)
	}
}

// Guards against nodes of a large fleet that hear of the end of a limit only by their own
// next request, minutes later.
func TestEndOfALimitReachesAllNodes(t *testing.T) {
	const size, usual = 295, 40.0 // usual is in requests per second of all nodes
	f := newFleet(size, 3.7, 1)
	for _, n := range f.nodes {
		n.LimitNotified(f.now, LimitNotice{Upstream: engine})
	}
	f.now = f.now.Add(time.Hour)
	f.limit = 0
	f.run(20*time.Second, usual)
	for _, n := range f.nodes {
		n.LimitAnswered(f.now, f.now, engine, 3.7, true)
	}
	f.run(10*time.Second, usual)
	told := 0
	for _, n := range f.nodes {
		if notice := n.LimitNotice(engine); notice.PerSecond == 0 {
			told++
		}
	}
	if told == 0 || told > size/2 {
		t.Fatalf("%d of %d nodes had a response without a limit", told, size)
	}
	for _, n := range f.nodes {
		n.LimitNotified(f.now, LimitNotice{Upstream: engine})
	}
	f.run(10*time.Second, usual)
	f.sentAt = nil
	f.run(10*time.Second, usual)
	if got, least := float64(len(f.sentAt))/10, usual*0.9; got < least {
		t.Errorf("%.1f requests a second after the end of the limit, want at least %.1f", got, least)
	}
}

// A notice that names no limit of a known upstream changes nothing.
func TestNoticeOfAnEndWithoutALimit(t *testing.T) {
	n := New(1)
	if got := n.LimitNotified(start, LimitNotice{Upstream: engine}); got != LimitSame {
		t.Errorf("change %v", got)
	}
	if !n.Admits(start, engine) {
		t.Error("not admitted")
	}
}

// Guards against a limit that is forgotten because the directory has lost the upstream
// for a while.
func TestLimitOutlastsAMissingEntry(t *testing.T) {
	n := New(1)
	n.SetNodeCount(9)
	n.LimitAnswered(start, start, engine, 4, true)
	n.Removed(start.Add(time.Second), engine)
	if limit, _ := n.Limit(engine); limit != 4 {
		t.Errorf("limit %v after the upstream was removed for a while", limit)
	}
	n.Removed(start.Add(time.Hour), ids.Instance{Upstream: "other"})
	if limit, _ := n.Limit(engine); limit != 0 {
		t.Errorf("limit %v is kept for good", limit)
	}
}

// A limit of 0 still lets single requests through, which show when it ends.
func TestLimitOfZeroIsProbed(t *testing.T) {
	n := New(1)
	n.SetNodeCount(1)
	n.LimitAnswered(start, start, engine, 0, true)
	admitted := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		if n.Admits(now, engine) {
			n.Sent(now, engine)
			admitted++
		}
	}
	if admitted < 5 || admitted > 60 {
		t.Errorf("%d requests in a minute", admitted)
	}
}

package forward

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/routing"
)

// Guards against nodes that together exceed the retry budget in a window, such as 344 retries
// in ten seconds where 336 were allowed. A decaying allowance grants what it holds at once
// and, if it is used up continuously, the same again within the next window. With six tenths
// of its share as allowance, a node could use 1.2 times its share.
func TestNodesTogetherKeepTheBudgetInEveryWindow(t *testing.T) {
	const (
		nodes = 8
		step  = 10 * time.Millisecond
		calm  = 30 * time.Second
		short = 40 * time.Second
	)
	b := Budget{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}
	var budgets []*retry.Budget
	for range nodes {
		p := newPicker(Options{Budget: b, Now: func() time.Time { return time.Unix(1000, 0) }}, nil)
		p.setNodes(nodes)
		budgets = append(budgets, p.budget("s"))
	}
	var firsts, sends []time.Duration
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < calm+short; at += step {
		now := start.Add(at)
		for i, budget := range budgets {
			// 64 requests a second, unevenly spread.
			if (int(at/step)+i)%(6+3*i) == 0 {
				budget.RecordFirst(now)
				firsts = append(firsts, at)
			}
			for at >= calm && budget.Allow(now, outcome.UpstreamLost, retry.BrokenStream) {
				sends = append(sends, at)
			}
		}
	}
	for from := calm - b.Window; from < calm+short-b.Window; from += step {
		requests, retries := within(firsts, from, b.Window), within(sends, from, b.Window)
		if limit := b.Ratio*float64(requests) + b.Slack; float64(retries) > limit {
			t.Fatalf("%d retries for %d requests in the window from %v, allowed %.0f", retries, requests, from, limit)
		}
	}
	if retries := within(sends, calm, b.Window); float64(retries) < b.Slack/2 {
		t.Errorf("only %d retries in the first window of demand", retries)
	}
}

// within returns the number of moments in a window.
func within(moments []time.Duration, from, window time.Duration) int {
	n := 0
	for _, at := range moments {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// Guards against processes that start with a whole share of the slack while the retries of their
// predecessors are in the window: planned stops, kills, added nodes, and all nodes at once. Nodes
// that are removed leave their retries in the window too.
func TestStartsKeepTheBudgetInEveryWindow(t *testing.T) {
	// starts returns the nodes whose processes start anew in a step of 100 ms, if demand began
	// at 0.
	type starts func(step int) []int
	none := func(int) []int { return nil }
	inTurn := func(step int) []int {
		if step%8 != 0 || step >= 112 {
			return nil
		}
		return consecutive(step/8%7*5, 5)
	}
	inSeries := func(step int) []int {
		if step%25 != 0 || step > 75 {
			return nil
		}
		return consecutive(step/5, 14)
	}
	atOnce := func(step int) []int {
		if step != 30 {
			return nil
		}
		return consecutive(0, 9)
	}
	for _, test := range []struct {
		name  string
		slack float64
		nodes int
		// added nodes start 2 s after the begin of demand, or leave if the number is negative.
		added          int
		stopped, ended starts
		// storeAway is true if no process can write its entry again after its start.
		storeAway bool
	}{
		{"planned stops", 362, 35, 0, inTurn, none, false},
		{"kills in series", 362, 35, 0, none, inSeries, false},
		{"kills in series without notices", 362, 35, 0, none, inSeries, true},
		{"planned stops and kills", 362, 35, 0, inTurn, inSeries, false},
		{"planned stops and kills without notices", 362, 35, 0, inTurn, inSeries, true},
		{"all nodes stopped at once", 200, 9, 0, atOnce, none, false},
		{"all nodes killed at once", 200, 9, 0, none, atOnce, false},
		{"all nodes killed at once without notices", 362, 35, 0, none, atOnce, true},
		{"added nodes", 200, 9, 4, none, none, false},
		{"removed nodes", 362, 35, -12, none, none, false},
		{"nodes removed beside kills", 362, 35, -12, none, inSeries, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newBudgetFleet(Budget{Ratio: 0.2, Slack: test.slack, Window: 10 * time.Second}, test.nodes)
			f.storeAway = test.storeAway
			f.run(200, 0)
			for step := range 200 {
				for _, i := range test.stopped(step) {
					f.restart(i, true)
				}
				for _, i := range test.ended(step) {
					f.restart(i%len(f.nodes), false)
				}
				if step == 20 && test.added > 0 {
					f.add(test.added)
				} else if step == 20 && test.added < 0 {
					f.remove(-test.added)
				}
				f.run(1, 1)
			}
			f.check(t)
		})
	}
}

// consecutive returns n numbers from first on.
func consecutive(first, n int) (numbers []int) {
	for i := range n {
		numbers = append(numbers, first+i)
	}
	return numbers
}

// budgetFleet is a fleet that shares a retry budget, in steps of 100 ms. Each node has a request
// and, in steps of demand, all retries that its budget grants.
type budgetFleet struct {
	budget        Budget
	began, now    time.Time
	nodes         []*budgetNode
	firsts, sends []time.Duration
	// listed is the number of nodes that all nodes know from listedAt on.
	listed   int
	listedAt time.Time
	// left is the number of nodes that have left.
	left int
	// storeAway is true while no entry can be written.
	storeAway bool
	// wait is how long a request waits after its retry was granted.
	wait    time.Duration
	waiting []waitingRetry
}

// waitingRetry is a request that waits until it is sent again.
type waitingRetry struct {
	node *budgetNode
	held retry.Holding
	at   time.Time
}

// budgetNode is a node with its process and its entry in the list of nodes.
type budgetNode struct {
	*picker
	succession *retry.Succession
	entry      *retry.Record
}

// newBudgetFleet returns a fleet of nodes that have just started for the first time.
func newBudgetFleet(b Budget, nodes int) *budgetFleet {
	f := &budgetFleet{budget: b, now: time.Unix(1000, 0), began: time.Unix(1000, 0), listed: nodes}
	for range nodes {
		f.nodes = append(f.nodes, &budgetNode{})
		f.start(f.nodes[len(f.nodes)-1], true)
	}
	return f
}

// start starts a process of a node, which knows the number of nodes.
func (f *budgetFleet) start(n *budgetNode, first bool) {
	n.succession = retry.NewSuccession(f.now, retry.SuccessionOptions{FirstStart: first, JoinSpread: joinSpread})
	n.picker = newPicker(Options{Budget: f.budget, Loans: &fakeLoans{}, Now: func() time.Time { return f.now }, OnRetryNotice: func() {
		if !f.storeAway {
			n.write(f.now, n.succession.Notice(f.now))
		}
	}}, nil)
	n.setNodes(f.listed)
	previous := n.entry
	terms, origin := n.succession.Joining(f.now, previous != nil, previous)
	if origin == retry.HandedOver {
		n.adoptRetries(previous.Services)
	}
	n.write(f.now, terms)
}

// write writes the entry of a process with terms, which are in force from then on.
func (n *budgetNode) write(now time.Time, t retry.Terms) {
	r := retry.NewRecord(now, t)
	n.entry = &r
	n.succession.Joined(t)
	n.setRetryTerms(t)
}

// restart replaces the process of a node, which stops as planned or is killed.
func (f *budgetFleet) restart(i int, planned bool) {
	n := f.nodes[i]
	if planned {
		r := retry.NewRecord(f.now, n.succession.Terms())
		r.Services, r.Stopped = n.handOverRetries(), true
		n.entry = &r
	}
	f.start(n, false)
}

// joinSpread is how long it takes until all nodes know a node that has joined.
const joinSpread = 5 * time.Second

// add adds nodes. Those that were there hear of them after joinSpread.
func (f *budgetFleet) add(count int) {
	f.listed, f.listedAt = len(f.nodes)+count, f.now.Add(joinSpread)
	for range count {
		f.nodes = append(f.nodes, &budgetNode{})
		f.start(f.nodes[len(f.nodes)-1], false)
	}
}

// remove ends the processes of the last nodes. All others hear of it at once.
func (f *budgetFleet) remove(count int) {
	f.nodes, f.left = f.nodes[:len(f.nodes)-count], count
	f.listed, f.listedAt = len(f.nodes), f.now
}

// run plays steps in which each node gets a request, and those of the nodes that have left as well,
// with demand for retries if demand is not 0.
func (f *budgetFleet) run(steps, demand int) {
	for range steps {
		f.now = f.now.Add(100 * time.Millisecond)
		at := f.now.Sub(f.began)
		for i := range f.left {
			f.nodes[i].recordFirstSend("s")
			f.firsts = append(f.firsts, at)
		}
		for _, p := range f.nodes {
			if p.picker.nodes != f.listed && !f.now.Before(f.listedAt) {
				p.setNodes(f.listed)
			}
			p.recordFirstSend("s")
			f.firsts = append(f.firsts, at)
			for demand > 0 {
				held := p.holdRetry("s", outcome.UpstreamLost, retry.Claim{Kind: retry.BrokenStream})
				if held.Grant == retry.Denied {
					break
				}
				f.waiting = append(f.waiting, waitingRetry{p, held, f.now.Add(f.wait)})
			}
		}
		f.send(at)
	}
}

// send sends the requests whose wait is over.
func (f *budgetFleet) send(at time.Duration) {
	for len(f.waiting) > 0 && !f.waiting[0].at.After(f.now) {
		w := f.waiting[0]
		f.waiting = f.waiting[1:]
		if w.node.renewRetry("s", &w.held) {
			f.sends = append(f.sends, at)
		}
	}
}

// check fails if the fleet exceeded its budget in a window, or hardly used it.
func (f *budgetFleet) check(t *testing.T) {
	t.Helper()
	for end := f.budget.Window; end <= f.now.Sub(f.began); end += 100 * time.Millisecond {
		requests, retries := within(f.firsts, end-f.budget.Window, f.budget.Window), within(f.sends, end-f.budget.Window, f.budget.Window)
		if limit := f.budget.Ratio*float64(requests) + f.budget.Slack; float64(retries) > limit {
			t.Fatalf("%d retries for %d requests in the window to %v, allowed %.0f", retries, requests, end, limit)
		}
	}
	if len(f.sends) < int(f.budget.Slack) {
		t.Errorf("only %d retries in all", len(f.sends))
	}
}

// Guards against a fleet without retries after all its processes were killed in a calm.
func TestNodesKilledInACalmHaveRetriesAtOnce(t *testing.T) {
	f := newBudgetFleet(Budget{Ratio: 0.2, Slack: 362, Window: 10 * time.Second}, 35)
	f.run(200, 0)
	for i := range f.nodes {
		f.restart(i, false)
	}
	f.run(30, 1)
	if len(f.sends) < 100 {
		t.Errorf("%d retries within 3 s of the start, want 100 of some 1,000 in 10 s", len(f.sends))
	}
	f.run(200, 1)
	f.check(t)
}

// Guards against retries that are granted at once, are sent after a wait, and are followed by the
// grants of the next window.
func TestRetriesSentAfterAWaitKeepTheBudgetInEveryWindow(t *testing.T) {
	f := newBudgetFleet(Budget{Ratio: 0.2, Slack: 362, Window: 10 * time.Second}, 35)
	f.run(200, 0)
	f.wait = time.Second
	f.run(10, 1)
	f.wait = 0
	f.run(190, 1)
	f.check(t)
}

// Guards against a request that is sent, after a wait for a connection, with a loan that has ended.
func TestRetryIsRenewedWhenItIsSent(t *testing.T) {
	u := newFakeUpstream(t, "u", "plain", func(conn net.Conn, req *fasthttp.Request) bool { return reply(conn, req, 200, "fine") })
	r := newTestServer(t, u)
	r.SetNodes(1000)
	x := &exchange{server: r.Server, service: "plain", route: &routing.Route{}, req: &fasthttp.Request{}, sends: 1}
	x.held = retry.Holding{Grant: retry.Borrowed, Until: boottime.Now()}
	_, failed := x.begin(t.Context(), chain.Chain{{Engine: &u.Upstream}}, nil, nil)
	var ended *RetryEndedError
	if failed == nil || failed.phase != outcome.NotSent || !errors.As(failed.cause, &ended) {
		t.Errorf("a request whose loan has ended is sent: %+v", failed)
	}
}

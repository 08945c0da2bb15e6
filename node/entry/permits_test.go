package entry

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/roster"
)

// limited is the upstream for which permits are issued.
var limited = ids.Instance{Upstream: "limited"}

// permitPeer is a relay.Source that answers requests for permits.
type permitPeer struct{ *permits }

func (permitPeer) UpdateSince(context.Context, relay.UpdateRequest) relay.Update {
	return relay.Update{}
}

func (permitPeer) ApplyVerdict(quarantine.Verdict) {}

func (permitPeer) ApplyCrashReport(quarantine.Report) relay.CrashReportReply {
	return relay.CrashReportReply{}
}

func (permitPeer) CrashKnowledge(relay.CrashKnowledgeRequest) relay.CrashKnowledge {
	return relay.CrashKnowledge{}
}

func (permitPeer) ApplyLimit(backpressure.LimitNotice) {}

func (permitPeer) ApplyLeaving(ids.Instance) {}

func (permitPeer) LendRetries(retry.LoanRequest) retry.LoanReply { return retry.LoanReply{} }

func (p permitPeer) IssuePermit(ctx context.Context, r backpressure.PermitRequest) (backpressure.PermitReply, error) {
	return p.answer(ctx, r)
}

// permitTestTimeout is the bound of a call to a keeper in these tests. Keepers that are gone refuse
// connections, so only one that the test's own machine delays would exceed the usual bound.
const permitTestTimeout = 10 * time.Second

// newPermitFleet returns the permits of four nodes, the first keeper of the upstream at the
// beginning. Nodes in gone are listed but do not listen.
func newPermitFleet(t *testing.T, gone ...int) []*permits {
	t.Helper()
	names := []ids.VM{"vm-1", "vm-2", "vm-3", "vm-4"}
	keepers := backpressure.Keepers(limited, names)
	var members []roster.Member
	for _, name := range keepers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		members = append(members, roster.Member{Name: name, PeerAddress: l.Addr().String()})
	}
	list := func(ids.Instance) []roster.Member { return members }
	noNotice := func(backpressure.LimitNotice) {}
	limit := func(ids.Instance) float64 { return 4 }
	var fleet []*permits
	for i, m := range members {
		p := newPermits(m.Name, list, limit, noNotice)
		fleet = append(fleet, p)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		members[i].PeerAddress = l.Addr().String()
		go func() { _ = relay.Serve(t.Context(), l, permitPeer{p}, nil) }()
	}
	for _, i := range gone {
		members[i].PeerAddress = "127.0.0.1:1"
	}
	fleet = append(fleet, newPermits("asker", list, limit, noNotice))
	for _, p := range fleet {
		p.timeout = permitTestTimeout
	}
	return fleet
}

// answeredBy returns how many requests a node has answered as the keeper.
func answeredBy(p *permits) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.issuer.Answered()
}

// Guards against permits of two nodes at the same time, and against a limited upstream that
// is left alone because its keeper is listed but gone.
func TestPermitsAreIssuedByOneNode(t *testing.T) {
	for name, test := range map[string]struct {
		gone   []int
		issuer int
	}{
		"all":           {nil, 0},
		"first is gone": {[]int{0}, 1},
	} {
		fleet := newPermitFleet(t, test.gone...)
		for _, asker := range fleet[test.issuer:] {
			if _, err := asker.Acquire(t.Context(), backpressure.PermitRequest{Upstream: limited, PerSecond: 4}); err != nil {
				t.Errorf("%s: %s: %v", name, asker.self, err)
			}
		}
		for i, p := range fleet {
			if got := answeredBy(p); (got > 0) != (i == test.issuer) {
				t.Errorf("%s: node %d has answered %d requests as the keeper", name, i, got)
			}
		}
	}
}

// Guards against a keeper that is cut off from the others and issues permits while they have
// another one.
func TestKeeperThatReachesNobodyIssuesNoPermits(t *testing.T) {
	for _, self := range []int{0, 1} {
		cutOff := newPermitFleet(t, 0, 1, 2)[self]
		var none *NoKeeperError
		if _, err := cutOff.Acquire(t.Context(), backpressure.PermitRequest{Upstream: limited, PerSecond: 4}); !errors.As(err, &none) {
			t.Errorf("keeper %d: error %v", self, err)
		}
	}
}

// A keeper that does not know the limit takes it from the request.
func TestKeeperLearnsTheLimitFromTheRequest(t *testing.T) {
	var heard []backpressure.LimitNotice
	self := func(ids.Instance) []roster.Member { return []roster.Member{{Name: "vm-1"}} }
	p := newPermits("vm-1", self, func(ids.Instance) float64 { return 0 }, func(n backpressure.LimitNotice) { heard = append(heard, n) })
	if _, err := p.Acquire(t.Context(), backpressure.PermitRequest{Upstream: limited, PerSecond: 4}); err != nil {
		t.Fatal(err)
	}
	if len(heard) != 1 || heard[0].PerSecond != 4 {
		t.Errorf("heard %v", heard)
	}
}

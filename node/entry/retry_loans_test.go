package entry

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/roster"
)

// lendingPeer is a relay.Source that lends retries.
type lendingPeer struct {
	fixedPeer
	mu    sync.Mutex
	left  int
	asked []retry.LoanRequest
}

func (p *lendingPeer) LendRetries(r retry.LoanRequest) retry.LoanReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = append(p.asked, r)
	granted := min(p.left, r.Retries)
	p.left -= granted
	return retry.LoanReply{Granted: granted}
}

// newLendingFleet returns the loans of a node in zone "a" and its peers, which have the given
// numbers of retries. The first half of the peers is in zone "a". A negative number is a peer
// that accepts connections and does not answer.
func newLendingFleet(t *testing.T, retries ...int) (*retryLoans, []*lendingPeer) {
	t.Helper()
	var peers []*lendingPeer
	members := []roster.Member{{Name: "self", Zone: "a", PeerAddress: "127.0.0.1:1"}}
	for i, left := range retries {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		zone := ids.Zone("b")
		if i < len(retries)/2 {
			zone = "a"
		}
		members = append(members, roster.Member{Name: ids.VM(rune('k' + i)), Zone: zone, PeerAddress: l.Addr().String()})
		p := &lendingPeer{left: left}
		peers = append(peers, p)
		if left >= 0 {
			go func() { _ = relay.Serve(t.Context(), l, p, nil) }()
		}
	}
	loans := newRetryLoans(Settings{VM: "self", Zone: "a"}, func() ([]roster.Member, uint64) { return members, 1 })
	loans.timeout = 5 * time.Second // a busy machine takes longer than lenderTimeout
	return loans, peers
}

// Guards against a node that asks peers in other zones first, more than two of them, or for
// more than it lacks.
func TestNodeBorrowsFromItsZoneFirst(t *testing.T) {
	loans, peers := newLendingFleet(t, 3, 5, 5, 5)
	want := retry.LoanRequest{Service: "model", Borrower: "self", Retries: 4, Kind: retry.UnansweredStream, Class: 1}
	if granted, lenders := loans.Borrow(t.Context(), want); granted != 4 || len(lenders) != 2 {
		t.Errorf("%d retries of %d lenders, want 4 of 2", granted, len(lenders))
	}
	rest := want
	rest.Retries = 1
	if !slices.Equal(peers[0].asked, []retry.LoanRequest{want}) || !slices.Equal(peers[1].asked, []retry.LoanRequest{rest}) {
		t.Errorf("asked for %+v and %+v", peers[0].asked, peers[1].asked)
	}
	if granted, lenders := loans.Borrow(t.Context(), retry.LoanRequest{Service: "model", Retries: 9}); granted != 4 || len(lenders) != 2 {
		t.Errorf("%d retries of %d lenders, want 4 of both peers of the zone", granted, len(lenders))
	}
	if far := len(peers[2].asked) + len(peers[3].asked); far != 0 {
		t.Errorf("%d requests to other zones", far)
	}
}

// Guards against waiting for a silent peer again and again. A peer that has nothing for one
// claim is asked for a more urgent one.
func TestSilentPeerIsNotAskedAgain(t *testing.T) {
	loans, peers := newLendingFleet(t, -1, 0, 7, 7)
	loans.timeout = 200 * time.Millisecond
	ask := retry.LoanRequest{Service: "model", Retries: 1}
	if granted, lenders := loans.Borrow(t.Context(), ask); granted != 0 || len(lenders) != 2 {
		t.Fatalf("%d retries of %d lenders, want none of 2", granted, len(lenders))
	}
	loans.timeout = 5 * time.Second
	ask.Kind = retry.BrokenStream
	if granted, lenders := loans.Borrow(t.Context(), ask); granted != 1 || len(lenders) != 2 {
		t.Errorf("%d retries of %d lenders, want 1 of the 2 that answer", granted, len(lenders))
	}
	if n := len(peers[1].asked); n != 2 {
		t.Errorf("the peer that answers was asked %d times, want once for each claim", n)
	}
}

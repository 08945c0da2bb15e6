package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/roster"
)

// lenderTimeout bounds a request for a loan, including the connection.
const lenderTimeout = 20 * time.Millisecond

// retryLoans borrows retries from other nodes. It implements forward.Loans and is safe for
// concurrent use.
type retryLoans struct {
	self ids.VM
	// members returns the nodes of the fleet and a digest of them.
	members func() ([]roster.Member, uint64)
	// timeout bounds each request.
	timeout time.Duration

	mu      sync.Mutex
	lenders *retry.Lenders
	// listed are the members that lenders has, and digest their digest.
	listed []roster.Member
	digest uint64
}

// newRetryLoans returns a borrower that has asked nobody.
func newRetryLoans(s Settings, members func() ([]roster.Member, uint64)) *retryLoans {
	return &retryLoans{self: s.VM, members: members, timeout: lenderTimeout, lenders: retry.NewLenders(s.Zone, s.Seed)}
}

// Borrow implements forward.Loans. It asks up to retry.MaxLenders nodes one after another
// until they have granted all retries.
func (l *retryLoans) Borrow(ctx context.Context, r retry.LoanRequest) (granted int, lenders []ids.VM) {
	r.Borrower = l.self
	for len(lenders) < retry.MaxLenders && granted < r.Retries && ctx.Err() == nil {
		lender, found := l.next(r)
		if !found {
			break
		}
		rest := r
		rest.Retries = r.Retries - granted
		granted += l.ask(ctx, lender, rest)
		lenders = append(lenders, lender.Name)
	}
	if granted == 0 && len(lenders) > 0 {
		l.mu.Lock()
		l.lenders.Unmet(boottime.Now(), r.Service, r.Claim())
		l.mu.Unlock()
	}
	return granted, lenders
}

// next returns the node to ask next.
func (l *retryLoans) next(r retry.LoanRequest) (roster.Member, bool) {
	members, digest := l.members()
	l.mu.Lock()
	defer l.mu.Unlock()
	if digest != l.digest {
		l.setMembers(members, digest)
	}
	name, found := l.lenders.Next(boottime.Now(), r.Service, r.Claim())
	if !found {
		return roster.Member{}, false
	}
	i := slices.IndexFunc(l.listed, func(m roster.Member) bool { return m.Name == name })
	return l.listed[i], true
}

// setMembers replaces the nodes that may be asked. The caller holds mu.
func (l *retryLoans) setMembers(members []roster.Member, digest uint64) {
	l.listed, l.digest = members, digest
	var others []retry.Lender
	for _, m := range members {
		if m.Name != l.self {
			others = append(others, retry.Lender{Name: m.Name, Zone: m.Zone})
		}
	}
	l.lenders.Set(others)
}

// ask asks one node and returns how many retries it has granted, at most as many as were
// asked for.
func (l *retryLoans) ask(ctx context.Context, lender roster.Member, r retry.LoanRequest) int {
	callCtx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	reply, err := relay.BorrowRetries(callCtx, lender.PeerAddress, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.lenders.Silent(boottime.Now(), lender.Name)
		return 0
	case reply.Granted <= 0:
		l.lenders.Empty(boottime.Now(), r.Service, r.Claim(), lender.Name)
		return 0
	}
	return min(reply.Granted, r.Retries)
}

// LendRetries implements relay.RetryLender.
func (n *Node) LendRetries(r retry.LoanRequest) retry.LoanReply { return n.server.LendRetries(r) }

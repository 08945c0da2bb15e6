package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/decide/claim"
)

// claimConn is a connection for claims.
type claimConn struct {
	// used is when it was last used; guarded by the Claims.
	used time.Time
	// opened is closed once rpc is set, or will not be.
	opened chan struct{}
	rpc    *jsonrpc2.Conn

	mu sync.Mutex
	// clock is the peer's as of its last reply, which came at heard.
	clock int64
	heard time.Time
}

// open opens the connection, in bounded time.
func (k *claimConn) open(ctx context.Context, s *Service, address string) {
	defer close(k.opened)
	if conn, err := s.dial(ctx, address); err == nil {
		k.rpc = conn
	}
}

// wait waits until the connection is open; false when it can't be.
func (k *claimConn) wait(ctx context.Context) bool {
	select {
	case <-k.opened:
		return k.rpc != nil && ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// usable reports whether the connection may be used, or may become so.
func (k *claimConn) usable(now time.Time, idle time.Duration) bool {
	select {
	case <-k.opened:
	default:
		return true
	}
	if k.rpc == nil || now.Sub(k.used) >= idle {
		return false
	}
	select {
	case <-k.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// close closes an opened connection.
func (k *claimConn) close() {
	if k.rpc != nil {
		_ = k.rpc.Close()
	}
}

// ask makes one call. Only an answer of the peer proves anything.
func (k *claimConn) ask(ctx context.Context, s *Service, f claim.Forward) (peerapi.ClaimReply, claim.ForwardAnswer) {
	message := encodeClaim(f)
	k.stamp(&message, f.Until)
	var reply peerapi.ClaimReply
	err := s.call(ctx, k.rpc, peerapi.MethodClaim, &message, &reply)
	var refused *jsonrpc2.Error
	switch {
	case errors.As(err, &refused):
		return reply, claim.ForwardAnswer{Kind: claim.ForwardRefused}
	case err != nil:
		return peerapi.ClaimReply{}, claim.ForwardAnswer{Kind: claim.ForwardUncertain}
	}
	k.note(reply.ClockNs)
	return reply, decodeClaimReply(f.Op, reply)
}

// stamp adds the peer's clock and the time left. A clock that is too old is
// left out; the peer then tells it anew.
func (k *claimConn) stamp(message *peerapi.Claim, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	message.RemainingNs = max(int64(until.Sub(now)), 0)
	if age := now.Sub(k.heard); k.clock > 0 && age < peerapi.MaxClockAge {
		message.ClockNs = k.clock
		message.ClockAgeNs = int64(age)
	}
}

// note keeps the peer's clock. An earlier one may come later.
func (k *claimConn) note(clock int64) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if clock > k.clock {
		k.clock, k.heard = clock, now
	}
}

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

// claimConn is a connection used only for claim operations.
type claimConn struct {
	// lastUsed is guarded by the ClaimForwarder's mutex.
	lastUsed time.Time
	// opened is closed after the dial, whether or not it succeeded; rpc is nil
	// if it failed.
	opened chan struct{}
	rpc    *jsonrpc2.Conn

	mu sync.Mutex
	// clock is the peer's clock reading, in nanoseconds, from its last reply.
	// clockReadAt is when that reply arrived, by this node's clock.
	clock       int64
	clockReadAt time.Time
}

// open dials the peer and sets rpc on success.
func (k *claimConn) open(ctx context.Context, s *Service, address string) {
	defer close(k.opened)
	if conn, err := s.dial(ctx, address); err == nil {
		k.rpc = conn
	}
}

// waitOpen waits for the dial to end and reports whether the connection is
// open.
func (k *claimConn) waitOpen(ctx context.Context) bool {
	select {
	case <-k.opened:
		return k.rpc != nil && ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// usable reports whether the connection is being dialed, or is open and was
// used within the idle time.
func (k *claimConn) usable(now time.Time, idle time.Duration) bool {
	select {
	case <-k.opened:
	default:
		return true
	}
	if k.rpc == nil || now.Sub(k.lastUsed) >= idle {
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

// call sends one operation and returns the reply. Only an answer from the peer
// proves that the operation was refused; after any other error the result is
// uncertain.
func (k *claimConn) call(ctx context.Context, s *Service, f claim.Forward) (peerapi.ClaimReply, claim.ForwardAnswer) {
	message := encodeClaim(f)
	k.setTimes(&message, f.Until)
	var reply peerapi.ClaimReply
	err := s.call(ctx, k.rpc, peerapi.MethodClaim, &message, &reply)
	var refused *jsonrpc2.Error
	switch {
	case errors.As(err, &refused):
		return reply, claim.ForwardAnswer{Kind: claim.ForwardRefused}
	case err != nil:
		return peerapi.ClaimReply{}, claim.ForwardAnswer{Kind: claim.ForwardUncertain}
	}
	k.recordClock(reply.ClockNs)
	return reply, decodeClaimReply(f.Op, reply)
}

// setTimes sets the remaining time and the peer's clock reading. It omits a
// reading older than MaxClockAge; the peer then refuses the operation and
// replies with a new reading.
func (k *claimConn) setTimes(message *peerapi.Claim, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	message.RemainingNs = max(int64(until.Sub(now)), 0)
	if age := now.Sub(k.clockReadAt); k.clock > 0 && age < peerapi.MaxClockAge {
		message.ClockNs = k.clock
		message.ClockAgeNs = int64(age)
	}
}

// recordClock stores the peer's clock reading. Replies can arrive out of order,
// so it ignores an earlier reading.
func (k *claimConn) recordClock(clock int64) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if clock > k.clock {
		k.clock, k.clockReadAt = clock, now
	}
}

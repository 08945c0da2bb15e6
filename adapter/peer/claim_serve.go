package peer

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/router"
)

// ClaimServer is a Source that commits operations on keys for peers. Without
// it they are refused.
type ClaimServer interface {
	// ServeClaim commits an operation of a shard and waits for what came of
	// it. The operation's Deadline is the end of the time that the peer gave.
	// Any goroutine calls it.
	ServeClaim(ctx context.Context, shard int, op claim.Op) claim.ForwardAnswer
}

// clockStart is the zero of the clock that replies tell.
var clockStart = time.Now()

// clockNow is the clock that replies tell, from 1.
func clockNow() int64 { return int64(time.Since(clockStart)) + 1 }

// claim answers a call for a claim, in a goroutine of its own, which ends
// with the time that the peer gave; false when the call is another.
func (h *dispatcher) claim(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) bool {
	if req.Method != peerapi.MethodClaim || req.Notif {
		return false
	}
	var m peerapi.Claim
	if err := h.read(req, &m); err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, refusal(err))
		return true
	}
	h.service.opts.Count(ClaimsReceived, 1)
	server, ok := h.service.opts.Source.(ClaimServer)
	op, known := decodeClaimOp(m)
	switch {
	case !known:
		h.service.opts.Count(ClaimsNoClock, 1)
		h.replyClaim(ctx, conn, req, peerapi.ClaimReply{State: peerapi.ClaimNoClock})
	case !ok || !h.service.takesClaims(m.Shard):
		h.service.opts.Count(ClaimsNotPreferred, 1)
		h.replyClaim(ctx, conn, req, peerapi.ClaimReply{State: peerapi.ClaimRefused})
	default:
		go h.serveClaim(ctx, conn, req, server, m.Shard, op)
	}
	return true
}

// serveClaim commits an operation and replies.
func (h *dispatcher) serveClaim(
	ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, server ClaimServer, shard int, op claim.Op,
) {
	// The Committer answers by the Deadline; the rest is for its goroutine.
	limit, done := context.WithDeadline(ctx, op.Deadline.Add(h.service.opts.CallTimeout))
	defer done()
	h.replyClaim(limit, conn, req, encodeClaimReply(server.ServeClaim(limit, shard, op)))
}

// replyClaim replies with the clock. A reply that can't be written ends the
// connection.
func (h *dispatcher) replyClaim(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, reply peerapi.ClaimReply) {
	reply.ClockNs = clockNow()
	_ = conn.Reply(ctx, req.ID, reply)
}

// decodeClaimOp converts a message. Its Deadline is no later than the end of the
// sender's time, whatever the message's way took: the clock that it brings was
// read before the sender heard of it. It is false when the clock is missing.
func decodeClaimOp(m peerapi.Claim) (claim.Op, bool) {
	if m.ClockNs == 0 || m.ClockNs > clockNow() {
		return claim.Op{}, false
	}
	since := time.Duration(m.ClockAgeNs + m.RemainingNs)
	since -= since / peerapi.ClockDriftDivisor
	op := claim.Op{
		Kind:      claimKinds[m.Kind],
		Record:    decodeClaimRecord(m.Record),
		Nonce:     m.Nonce,
		Retention: time.Duration(m.RetentionNs),
		Deadline:  clockStart.Add(time.Duration(m.ClockNs-1) + since),
	}
	if m.Over != nil {
		over := decodeClaimRecord(*m.Over)
		op.Over = &over
	}
	return op, true
}

// claimKinds are the kinds of operations by their names.
var claimKinds = map[string]claim.Kind{
	peerapi.ClaimTake:    claim.Claim,
	peerapi.ClaimRelease: claim.Release,
	peerapi.ClaimSettle:  claim.Settle,
}

// encodeClaim converts an operation to hand over.
func encodeClaim(f claim.Forward) peerapi.Claim {
	m := peerapi.Claim{
		Shard:       f.Shard,
		Nonce:       f.Op.Nonce,
		Record:      encodeClaimRecord(f.Op.Record),
		RetentionNs: int64(f.Op.Retention),
	}
	for name, kind := range claimKinds {
		if kind == f.Op.Kind {
			m.Kind = name
		}
	}
	if f.Op.Over != nil {
		over := encodeClaimRecord(*f.Op.Over)
		m.Over = &over
	}
	return m
}

// encodeClaimReply converts what came of an operation.
func encodeClaimReply(a claim.ForwardAnswer) peerapi.ClaimReply {
	switch {
	case a.Kind == claim.ForwardRefused:
		return peerapi.ClaimReply{State: peerapi.ClaimRefused}
	case a.Kind == claim.ForwardUncertain:
		return peerapi.ClaimReply{State: peerapi.ClaimUncertain}
	case a.Result == router.ClaimTaken:
		prior := encodeClaimRecord(a.Prior)
		return peerapi.ClaimReply{State: peerapi.ClaimDone, Prior: &prior}
	}
	return peerapi.ClaimReply{State: peerapi.ClaimDone}
}

// decodeClaimReply converts a reply.
func decodeClaimReply(op claim.Op, r peerapi.ClaimReply) claim.ForwardAnswer {
	switch {
	case r.State == peerapi.ClaimRefused, r.State == peerapi.ClaimNoClock:
		return claim.ForwardAnswer{Kind: claim.ForwardRefused}
	case r.State != peerapi.ClaimDone:
		return claim.ForwardAnswer{Kind: claim.ForwardUncertain}
	case r.Prior == nil:
		return claim.ForwardAnswer{Kind: claim.ForwardDone, Result: router.ClaimWon}
	}
	return claim.ForwardAnswer{Kind: claim.ForwardDone, Result: router.ClaimTaken, Prior: decodeClaimRecord(*r.Prior)}
}

// encodeClaimRecord converts a record to tell a peer.
func encodeClaimRecord(r router.ClaimRecord) peerapi.ClaimRecord {
	return peerapi.ClaimRecord{
		Account:     r.Account,
		Key:         r.Key,
		Fingerprint: r.Fingerprint,
		Request:     r.Request,
		VM:          r.VM,
		Upstream:    r.Upstream,
		Attempt:     r.Attempt,
		Epoch:       r.Epoch,
		State:       string(r.State),
	}
}

// decodeClaimRecord converts a record that a peer told.
func decodeClaimRecord(r peerapi.ClaimRecord) router.ClaimRecord {
	return router.ClaimRecord{
		Account:     r.Account,
		Key:         r.Key,
		Fingerprint: r.Fingerprint,
		Request:     r.Request,
		VM:          r.VM,
		Upstream:    r.Upstream,
		Attempt:     r.Attempt,
		Epoch:       r.Epoch,
		State:       router.ClaimState(r.State),
	}
}

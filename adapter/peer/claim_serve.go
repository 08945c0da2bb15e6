package peer

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/router"
)

// ClaimServer is implemented by a Source that commits claim operations for
// peers. Without it the Service refuses those operations.
type ClaimServer interface {
	// ServeClaim commits an operation on a shard and returns the result.
	// op.Deadline is when the time allowed by the peer ends, by this node's
	// clock. It is called from any goroutine.
	ServeClaim(ctx context.Context, shard int, op claim.Op) claim.ForwardAnswer
}

// clockStart is the origin of the clock that claim replies carry.
var clockStart = time.Now()

// clockNow returns the time since clockStart in nanoseconds, plus 1, because 0
// stands for no reading in messages.
func clockNow() int64 { return int64(time.Since(clockStart)) + 1 }

// handleClaim handles a claim call and reports whether req is one. The
// operation itself is committed in its own goroutine.
func (h *dispatcher) handleClaim(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) bool {
	if req.Method != peerapi.MethodClaim || req.Notif {
		return false
	}
	var m peerapi.Claim
	if err := h.readParams(req, &m); err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, rpcError(err))
		return true
	}
	h.service.opts.Count(ClaimsReceived, 1)
	server, ok := h.service.opts.Source.(ClaimServer)
	op, known := decodeClaimOp(m)
	switch {
	case !known:
		h.service.opts.Count(ClaimsNoClock, 1)
		h.replyClaim(ctx, conn, req, peerapi.ClaimReply{State: peerapi.ClaimNoClock})
	case !ok || !h.service.servesShard(m.Shard):
		h.service.opts.Count(ClaimsNotPreferred, 1)
		h.replyClaim(ctx, conn, req, peerapi.ClaimReply{State: peerapi.ClaimRefused})
	default:
		go h.serveClaim(ctx, conn, req, server, m.Shard, op)
	}
	return true
}

// serveClaim commits an operation and replies with the result.
func (h *dispatcher) serveClaim(
	ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, server ClaimServer, shard int, op claim.Op,
) {
	// The claims.Committer answers by the deadline. The additional time lets
	// its goroutine deliver that answer.
	callCtx, cancel := context.WithDeadline(ctx, op.Deadline.Add(h.service.opts.CallTimeout))
	defer cancel()
	h.replyClaim(callCtx, conn, req, encodeClaimReply(server.ServeClaim(callCtx, shard, op)))
}

// replyClaim sends a reply with this node's current clock reading. It ignores a
// write error, because that ends the connection.
func (h *dispatcher) replyClaim(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, reply peerapi.ClaimReply) {
	reply.ClockNs = clockNow()
	_ = conn.Reply(ctx, req.ID, reply)
}

// decodeClaimOp converts a claim message to an operation. It returns false if
// the message has no valid clock reading. The sender received the reading
// before it sent the message, so a deadline computed from the reading, less the
// possible clock drift, is never later than the sender's, however long the
// message was in transit.
func decodeClaimOp(m peerapi.Claim) (claim.Op, bool) {
	if m.ClockNs == 0 || m.ClockNs > clockNow() {
		return claim.Op{}, false
	}
	sinceClock := time.Duration(m.ClockAgeNs + m.RemainingNs)
	sinceClock -= sinceClock / peerapi.ClockDriftDivisor
	op := claim.Op{
		Kind:      claimKinds[m.Kind],
		Record:    decodeClaimRecord(m.Record),
		Nonce:     m.Nonce,
		Retention: time.Duration(m.RetentionNs),
		Deadline:  clockStart.Add(time.Duration(m.ClockNs-1) + sinceClock),
	}
	if m.Over != nil {
		over := decodeClaimRecord(*m.Over)
		op.Over = &over
	}
	return op, true
}

// claimKinds maps the names on the wire to operation kinds.
var claimKinds = map[string]claim.Kind{
	peerapi.ClaimTake:    claim.Claim,
	peerapi.ClaimRelease: claim.Release,
	peerapi.ClaimSettle:  claim.Settle,
}

// encodeClaim converts a forwarded operation to a message, without its times.
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

// encodeClaimReply converts the result of an operation to a reply.
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

// decodeClaimReply converts a reply to the result of an operation.
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

// encodeClaimRecord converts a record to its form on the wire.
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

// decodeClaimRecord converts a record from its form on the wire.
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

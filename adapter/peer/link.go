package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
)

// maxMissedReplies is the number of consecutive missed replies after which a
// link closes its connection.
const maxMissedReplies = 2

// linkQueueCapacity is the most digests that wait in a link. Only the newest
// one is useful, so it replaces an older one.
const linkQueueCapacity = 1

// outgoing is a digest to send and the time it was made.
type outgoing struct {
	digest *localDigest
	madeAt time.Time
}

// link sends digests to one address from its own goroutine.
type link struct {
	service *Service
	address string
	queue   chan outgoing
	stop    context.CancelFunc
	// lastUsed is when the loop last queued a digest. Only the loop accesses
	// it.
	lastUsed time.Time

	conn *jsonrpc2.Conn
	// vm and boot identify the peer, and heldBase is the sequence number of the
	// base that it holds of this node, all as of its last reply.
	vm       ids.VM
	boot     string
	heldBase uint64
	// missedReplies and dialFailures count consecutive digests without a reply
	// and consecutive failed dials.
	missedReplies, dialFailures int
	// dialAfter is the earliest time of the next dial.
	dialAfter time.Time
}

// newLink returns a link and starts its goroutine, which ends with ctx.
func newLink(ctx context.Context, s *Service, address string) *link {
	ctx, stop := context.WithCancel(ctx)
	k := &link{
		service: s,
		address: address,
		queue:   make(chan outgoing, linkQueueCapacity),
		stop:    stop,
	}
	s.goroutines.Go(func() { k.run(ctx) })
	return k
}

// offer queues a digest. If the queue is full the oldest digest is dropped.
func (k *link) offer(out outgoing) {
	for {
		select {
		case k.queue <- out:
			return
		default:
		}
		select {
		case <-k.queue:
			k.service.opts.Count(DigestsReplaced, 1)
		default:
		}
	}
}

// run sends digests until ctx ends.
func (k *link) run(ctx context.Context) {
	defer k.close()
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-k.queue:
			k.sendDigest(ctx, out)
		}
	}
}

// sendDigest sends one digest and handles its reply. It drops a digest older
// than one interval, because the next one is due.
func (k *link) sendDigest(ctx context.Context, out outgoing) {
	now := time.Now()
	if now.Sub(out.madeAt) >= k.service.opts.Interval || !k.connect(ctx, now) {
		return
	}
	reply, err := k.exchange(ctx, out.digest)
	if isUnknownBase(err) {
		// The peer no longer has the base; send the full digest.
		k.heldBase = 0
		reply, err = k.exchange(ctx, out.digest)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		k.replyMissed()
		return
	}
	k.vm, k.boot, k.heldBase = reply.VM, reply.Boot, reply.HeldBase
	k.missedReplies = 0
	k.dialFailures = 0
	k.service.opts.Count(DigestsSent, 1)
	k.report(replyReceived{address: k.address, reply: reply, conn: k.conn})
}

// exchange sends a digest and returns the reply.
func (k *link) exchange(ctx context.Context, own *localDigest) (peerapi.DigestReply, error) {
	digest := own.forPeer(k.heldBase)
	digest.HeldBase = k.service.bases.seqOf(k.vm, k.boot)
	var reply peerapi.DigestReply
	err := k.service.call(ctx, k.conn, peerapi.MethodDigest, &digest, &reply)
	return reply, err
}

// isUnknownBase reports whether a peer refused a digest because it does not
// have the base.
func isUnknownBase(err error) bool {
	var refused *jsonrpc2.Error
	return errors.As(err, &refused) && refused.Code == int64(peerapi.CodeUnknownBase)
}

// connect opens the connection if needed and reports whether it is open. It
// does not dial before the backoff has passed.
func (k *link) connect(ctx context.Context, now time.Time) bool {
	if k.conn != nil {
		select {
		case <-k.conn.DisconnectNotify():
			k.close()
		default:
			return true
		}
	}
	if now.Before(k.dialAfter) {
		return false
	}
	conn, err := k.service.dial(ctx, k.address)
	if err != nil {
		k.dialFailures++
		k.dialAfter = time.Now().Add(k.backoff())
		k.report(digestMissed{address: k.address})
		return false
	}
	k.conn = conn
	k.missedReplies = 0
	return true
}

// backoff returns the wait after a failed dial. The bound doubles with each
// failure up to BackoffMax; the wait is half of the bound plus a random part of
// the other half.
func (k *link) backoff() time.Duration {
	bound := k.service.opts.BackoffMin
	for i := 1; i < k.dialFailures && bound < k.service.opts.BackoffMax; i++ {
		bound *= 2
	}
	half := min(bound, k.service.opts.BackoffMax) / 2
	return half + rand.N(half+1)
}

// replyMissed records a digest without a reply and closes the connection after
// maxMissedReplies in a row.
func (k *link) replyMissed() {
	k.missedReplies++
	k.service.opts.Count(DigestsMissed, 1)
	k.report(digestMissed{address: k.address})
	if k.missedReplies >= maxMissedReplies {
		k.service.opts.Count(LinksSilent, 1)
		k.close()
	}
}

// report passes an event to the loop, or drops it if the ring is full.
func (k *link) report(ev event) {
	if err := k.service.events.Offer(ev); err != nil {
		k.service.opts.Count(MessagesDropped, 1)
	}
}

// close closes the connection if it is open.
func (k *link) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

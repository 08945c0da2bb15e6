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

// missesToClose is how many replies may stay away before a link is closed.
const missesToClose = 2

// linkRing is the most digests that wait for a link.
const linkRing = 1

// outgoing is a digest to send and when it was made.
type outgoing struct {
	own  *ownState
	made time.Time
}

// link sends digests to one address, in a goroutine of its own.
type link struct {
	service *Service
	address string
	waiting chan outgoing
	stop    context.CancelFunc
	// used is when the loop last used the link; only the loop touches it.
	used time.Time

	conn *jsonrpc2.Conn
	// vm and boot are the peer's, as of its last reply, and have is the base
	// that it holds of this node.
	vm   ids.VM
	boot string
	have uint64
	// misses counts replies that stayed away in a row, failures connections
	// that could not be opened.
	misses, failures int
	// dialAfter is when the next connection may be opened.
	dialAfter time.Time
}

// newLink starts a link.
func newLink(ctx context.Context, s *Service, address string) *link {
	ctx, stop := context.WithCancel(ctx)
	k := &link{
		service: s,
		address: address,
		waiting: make(chan outgoing, linkRing),
		stop:    stop,
	}
	s.duties.Go(func() { k.run(ctx) })
	return k
}

// offer puts a digest in the ring; the newest replaces the oldest.
func (k *link) offer(out outgoing) {
	for {
		select {
		case k.waiting <- out:
			return
		default:
		}
		select {
		case <-k.waiting:
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
		case out := <-k.waiting:
			k.deliver(ctx, out)
		}
	}
}

// deliver sends one digest and waits for its reply.
func (k *link) deliver(ctx context.Context, out outgoing) {
	now := time.Now()
	if now.Sub(out.made) >= k.service.opts.Interval || !k.connect(ctx, now) {
		return
	}
	reply, err := k.exchange(ctx, out.own)
	if unknownBase(err) {
		// The peer has forgotten what it held.
		k.have = 0
		reply, err = k.exchange(ctx, out.own)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		k.miss()
		return
	}
	k.vm, k.boot, k.have = reply.VM, reply.Boot, reply.HeldBase
	k.misses = 0
	k.failures = 0
	k.service.opts.Count(DigestsSent, 1)
	k.tell(replied{address: k.address, reply: reply, conn: k.conn})
}

// exchange sends a digest and gives the reply.
func (k *link) exchange(ctx context.Context, own *ownState) (peerapi.DigestReply, error) {
	digest := own.to(k.have)
	digest.HeldBase = k.service.bases.of(k.vm, k.boot)
	var reply peerapi.DigestReply
	err := k.service.call(ctx, k.conn, peerapi.MethodDigest, &digest, &reply)
	return reply, err
}

// unknownBase reports whether a peer refused a digest since it does not hold
// its base.
func unknownBase(err error) bool {
	var refused *jsonrpc2.Error
	return errors.As(err, &refused) && refused.Code == int64(peerapi.CodeUnknownBase)
}

// connect opens the connection if needed, and reports whether there is one.
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
		k.failures++
		k.dialAfter = time.Now().Add(k.backoff())
		k.tell(missed{address: k.address})
		return false
	}
	k.conn = conn
	k.misses = 0
	return true
}

// backoff is the pause after a failure: half of a bound that doubles, and a
// random part of the other half.
func (k *link) backoff() time.Duration {
	bound := k.service.opts.BackoffMin
	for i := 1; i < k.failures && bound < k.service.opts.BackoffMax; i++ {
		bound *= 2
	}
	half := min(bound, k.service.opts.BackoffMax) / 2
	return half + rand.N(half+1)
}

// miss counts a reply that stayed away, and closes a silent link.
func (k *link) miss() {
	k.misses++
	k.service.opts.Count(DigestsMissed, 1)
	k.tell(missed{address: k.address})
	if k.misses >= missesToClose {
		k.service.opts.Count(LinksSilent, 1)
		k.close()
	}
}

// tell hands an event to the loop.
func (k *link) tell(ev event) {
	if err := k.service.events.Offer(ev); err != nil {
		k.service.opts.Count(MessagesDropped, 1)
	}
}

// close closes the connection.
func (k *link) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

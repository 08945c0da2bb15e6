package peer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/member"
)

// event is something for the loop to take.
type event interface{ take(l *loop, now time.Time) }

// received is a peer's digest.
type received struct {
	digest peerapi.Digest
	conn   *jsonrpc2.Conn
	// called is true when the peer called, false when it replied.
	called bool
}

// replied is a peer's reply to a digest.
type replied struct {
	address string
	reply   peerapi.DigestReply
	conn    *jsonrpc2.Conn
}

// missed is a digest without reply.
type missed struct{ address string }

// vmsSeen is a list of VMs; fromPeer tells that the node does not have it.
type vmsSeen struct {
	list     platformapi.VMList
	fromPeer bool
}

// pausedRounds is how many rounds the loop may miss before it takes it that
// the process stood still.
const pausedRounds = 4

// loop is the goroutine that owns the view of the peers and the links.
type loop struct {
	*Service
	links map[string]*link
	seq   uint64
	// woke is when the loop last ran; distrust is until when digests may
	// have waited in the machine's buffers while the process stood still.
	woke, distrust time.Time
}

func newLoop(s *Service) *loop {
	return &loop{Service: s, links: make(map[string]*link)}
}

// run takes events and begins rounds until ctx ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(l.opts.Interval)
	defer ticker.Stop()
	l.woke = time.Now()
	l.round(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events.Out():
			now := l.wake()
			ev.take(l, now)
		case <-ticker.C:
			l.wake()
			l.round(ctx)
		}
	}
}

// wake reads the clock and notices when the process stood still.
func (l *loop) wake() time.Time {
	now := time.Now()
	if now.Sub(l.woke) > pausedRounds*l.opts.Interval+l.opts.CallTimeout {
		l.distrust = now.Add(l.opts.Interval)
	}
	l.woke = now
	return now
}

// round sends the node's digest to the peers whose turn it is.
func (l *loop) round(ctx context.Context) {
	now := time.Now()
	l.mu.Lock()
	commands := l.members.Tick(now)
	l.mu.Unlock()
	own, err := l.digest(ctx)
	if err != nil {
		l.opts.Count(DigestsSkipped, 1)
	}
	for _, command := range commands {
		if send, ok := command.(member.Send); ok && err == nil {
			l.send(ctx, now, send.Address, own)
		}
	}
	l.tell(commands)
	l.closeIdle(now)
}

// digest makes the node's digest of this round.
func (l *loop) digest(ctx context.Context) (*ownState, error) {
	limit, done := context.WithTimeout(ctx, l.opts.Interval)
	defer done()
	digest, err := l.opts.Source.Digest(limit)
	if err != nil {
		return nil, err
	}
	digest.Loads = slices.DeleteFunc(digest.Loads, func(load peerapi.Load) bool { return load.Relayed })
	digest.ConfigDigest = l.own.Load().digest.ConfigDigest
	if l.opts.Feed != nil {
		if sum, err := l.opts.Feed.Digest(limit); err == nil {
			digest.ConfigDigest = sum
		}
	}
	l.seq++
	digest.VM = l.opts.VM
	digest.Zone = l.opts.Zone
	digest.Boot = l.opts.Boot
	digest.Seq = l.seq
	digest.Address = l.opts.Advertise
	digest.VMsRevision = l.vms.Load().Revision
	own := newOwnState(digest, l.own.Load())
	l.own.Store(own)
	return own, digest.Validate()
}

// send hands a digest to the link to an address.
func (l *loop) send(ctx context.Context, now time.Time, address string, own *ownState) {
	k := l.links[address]
	if k == nil {
		if len(l.links) >= l.opts.MaxLinks {
			l.opts.Count(LinksRefused, 1)
			return
		}
		k = newLink(ctx, l.Service, address)
		l.links[address] = k
	}
	k.used = now
	k.offer(outgoing{own: own, made: now})
}

// closeIdle closes the links that are no longer used.
func (l *loop) closeIdle(now time.Time) {
	for address, k := range l.links {
		if now.Sub(k.used) >= l.opts.IdleTimeout {
			k.stop()
			delete(l.links, address)
		}
	}
}

// tell passes on which peers are gone.
func (l *loop) tell(commands []member.Command) {
	for _, command := range commands {
		if gone, ok := command.(member.PeerGone); ok {
			l.opts.Sink.PeerGone(gone.VM, gone.Reason)
		}
	}
}

// take uses a digest unless it is not new.
func (ev received) take(l *loop, now time.Time) {
	if now.Before(l.distrust) {
		l.opts.Count(DigestsAfterPause, 1)
		return
	}
	d := ev.digest
	l.mu.Lock()
	commands, err := l.members.DigestReceived(now, member.Sender{
		VM:       d.VM,
		Zone:     d.Zone,
		Boot:     d.Boot,
		Seq:      d.Seq,
		Address:  d.Address,
		Draining: d.Draining,
		Called:   ev.called,
	})
	l.mu.Unlock()
	if err != nil {
		l.refused(err)
		return
	}
	l.tell(commands)
	l.opts.Count(DigestsAccepted, 1)
	l.opts.Sink.PeerDigest(d, now)
	l.compare(pull{vm: d.VM, conn: ev.conn, config: d.ConfigDigest, vms: d.VMsRevision})
}

// refused counts a digest that is not used.
func (l *loop) refused(err error) {
	var self *member.SelfError
	var stale *member.StaleError
	switch {
	case errors.As(err, &self):
		if self.Boot != l.opts.Boot {
			l.opts.Count(VMIDConflicts, 1)
		}
	case errors.As(err, &stale):
		l.opts.Count(DigestsStale, 1)
	default:
		l.opts.Count(PeersRefused, 1)
	}
}

// take uses a reply, and the digest that may have come with it.
func (ev replied) take(l *loop, now time.Time) {
	r := ev.reply
	l.mu.Lock()
	commands, use := l.members.ReplyReceived(now, ev.address, member.Sender{VM: r.VM, Zone: r.Zone, Boot: r.Boot})
	if l.vms.Load().Revision == 0 {
		for _, k := range r.KnownPeers {
			l.members.LearnAddress(now, k.VM, k.Zone, k.Address)
		}
	}
	l.mu.Unlock()
	l.tell(commands)
	if r.Digest != nil && use {
		whole, err := l.bases.whole(*r.Digest)
		if err == nil {
			received{digest: whole, conn: ev.conn}.take(l, now)
			return
		}
		l.opts.Count(DigestsUnknownBase, 1)
	}
	if r.VM != l.opts.VM {
		l.compare(pull{vm: r.VM, conn: ev.conn, config: r.ConfigDigest, vms: r.VMsRevision})
	}
}

// take notes that a peer did not answer.
func (ev missed) take(l *loop, now time.Time) {
	l.mu.Lock()
	commands := l.members.CallFailed(now, ev.address)
	l.mu.Unlock()
	l.tell(commands)
}

// take uses a list of VMs that is newer than the last.
func (ev vmsSeen) take(l *loop, now time.Time) {
	if ev.list.Revision <= l.vms.Load().Revision {
		return
	}
	l.vms.Store(&ev.list)
	l.mu.Lock()
	commands := l.members.ApplyVMList(now, ev.list)
	l.mu.Unlock()
	l.tell(commands)
	if ev.fromPeer {
		l.opts.Count(VMListsPulled, 1)
		l.opts.Sink.PeerVMs(ev.list)
	}
}

// compare asks a peer for news when what it has differs.
func (l *loop) compare(p pull) {
	p.wantConfig = l.opts.Feed != nil && p.config != l.own.Load().digest.ConfigDigest
	p.wantVMs = p.vms > l.vms.Load().Revision
	if !p.wantConfig && !p.wantVMs {
		return
	}
	if err := l.pulls.Offer(p); err != nil {
		l.opts.Count(MessagesDropped, 1)
	}
}

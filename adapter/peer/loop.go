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

// event is an input of the loop.
type event interface{ apply(l *loop, now time.Time) }

// digestReceived is a peer's full digest.
type digestReceived struct {
	digest peerapi.Digest
	conn   *jsonrpc2.Conn
	// called is true if the peer sent the digest in a call, false if it came
	// with the reply to this node's call.
	called bool
}

// replyReceived is a peer's reply to a digest that this node sent to an
// address.
type replyReceived struct {
	address string
	reply   peerapi.DigestReply
	conn    *jsonrpc2.Conn
}

// digestMissed reports that a digest sent to an address got no reply.
type digestMissed struct{ address string }

// vmListReceived is a list of VMs; fromPeer is true if a peer sent it, false if
// the platform did.
type vmListReceived struct {
	list     platformapi.VMList
	fromPeer bool
}

// pauseRounds is the number of intervals that the loop may go without running,
// in addition to CallTimeout, before it assumes that the process was suspended.
const pauseRounds = 4

// loop runs in one goroutine, which owns the membership state and the links.
type loop struct {
	*Service
	links map[string]*link
	seq   uint64
	// lastWake is when the loop last ran. Until distrustUntil, received digests
	// are dropped: they may have waited in the kernel's socket buffers while
	// the process was suspended, so their ages are unknown.
	lastWake, distrustUntil time.Time
}

func newLoop(s *Service) *loop {
	return &loop{Service: s, links: make(map[string]*link)}
}

// run handles events and starts a round every interval until ctx ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(l.opts.Interval)
	defer ticker.Stop()
	l.lastWake = time.Now()
	l.round(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events.Out():
			now := l.detectPause()
			ev.apply(l, now)
		case <-ticker.C:
			l.detectPause()
			l.round(ctx)
		}
	}
}

// detectPause returns the current time. If the loop has not run for too long it
// sets distrustUntil.
func (l *loop) detectPause() time.Time {
	now := time.Now()
	if now.Sub(l.lastWake) > pauseRounds*l.opts.Interval+l.opts.CallTimeout {
		l.distrustUntil = now.Add(l.opts.Interval)
	}
	l.lastWake = now
	return now
}

// round makes this node's digest, sends it to the peers chosen for the round,
// and closes idle links.
func (l *loop) round(ctx context.Context) {
	now := time.Now()
	l.mu.Lock()
	commands := l.members.Tick(now)
	l.mu.Unlock()
	local, err := l.makeDigest(ctx)
	if err != nil {
		l.opts.Count(DigestsSkipped, 1)
	}
	for _, command := range commands {
		if send, ok := command.(member.Send); ok && err == nil {
			l.send(ctx, now, send.Address, local)
		}
	}
	l.reportGone(commands)
	l.closeIdle(now)
}

// makeDigest returns the digest of this round: the part from the Source,
// without the load reports relayed by other peers, completed with identity,
// sequence number and revisions. If the Feed fails, the digest keeps the last
// ConfigDigest.
func (l *loop) makeDigest(ctx context.Context) (*localDigest, error) {
	callCtx, cancel := context.WithTimeout(ctx, l.opts.Interval)
	defer cancel()
	digest, err := l.opts.Source.Digest(callCtx)
	if err != nil {
		return nil, err
	}
	digest.Loads = slices.DeleteFunc(digest.Loads, func(load peerapi.Load) bool { return load.Relayed })
	digest.ConfigDigest = l.local.Load().digest.ConfigDigest
	if l.opts.Feed != nil {
		if sum, err := l.opts.Feed.Digest(callCtx); err == nil {
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
	local := newLocalDigest(digest, l.local.Load())
	l.local.Store(local)
	return local, digest.Validate()
}

// send queues a digest on the link to an address and creates the link if
// needed, within MaxLinks.
func (l *loop) send(ctx context.Context, now time.Time, address string, digest *localDigest) {
	k := l.links[address]
	if k == nil {
		if len(l.links) >= l.opts.MaxLinks {
			l.opts.Count(LinksRefused, 1)
			return
		}
		k = newLink(ctx, l.Service, address)
		l.links[address] = k
	}
	k.lastUsed = now
	k.offer(outgoing{digest: digest, madeAt: now})
}

// closeIdle closes the links that were not used for IdleTimeout.
func (l *loop) closeIdle(now time.Time) {
	for address, k := range l.links {
		if now.Sub(k.lastUsed) >= l.opts.IdleTimeout {
			k.stop()
			delete(l.links, address)
		}
	}
}

// reportGone passes each PeerGone command to the Sink.
func (l *loop) reportGone(commands []member.Command) {
	for _, command := range commands {
		if gone, ok := command.(member.PeerGone); ok {
			l.opts.Sink.PeerGone(gone.VM, gone.Reason)
		}
	}
}

// apply updates the membership with a digest, passes the digest to the Sink,
// and pulls what the peer has newer. It drops digests that are stale or of
// unknown age.
func (ev digestReceived) apply(l *loop, now time.Time) {
	if now.Before(l.distrustUntil) {
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
		IsCall:   ev.called,
	})
	l.mu.Unlock()
	if err != nil {
		l.countRefused(err)
		return
	}
	l.reportGone(commands)
	l.opts.Count(DigestsAccepted, 1)
	l.opts.Sink.PeerDigest(d, now)
	l.requestPull(pull{vm: d.VM, conn: ev.conn, configDigest: d.ConfigDigest, vmsRevision: d.VMsRevision})
}

// countRefused counts a digest that the membership rejected, by reason.
func (l *loop) countRefused(err error) {
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

// apply updates the membership with a reply and handles the digest that it may
// carry. While the node has no list of VMs it learns the peers named in the
// reply.
func (ev replyReceived) apply(l *loop, now time.Time) {
	r := ev.reply
	l.mu.Lock()
	commands, use := l.members.ReplyReceived(now, ev.address, member.Sender{VM: r.VM, Zone: r.Zone, Boot: r.Boot})
	if l.vms.Load().Revision == 0 {
		for _, k := range r.KnownPeers {
			l.members.LearnAddress(now, k.VM, k.Zone, k.Address)
		}
	}
	l.mu.Unlock()
	l.reportGone(commands)
	if r.Digest != nil && use {
		whole, err := l.bases.expand(*r.Digest)
		if err == nil {
			digestReceived{digest: whole, conn: ev.conn}.apply(l, now)
			return
		}
		l.opts.Count(DigestsUnknownBase, 1)
	}
	if r.VM != l.opts.VM {
		l.requestPull(pull{vm: r.VM, conn: ev.conn, configDigest: r.ConfigDigest, vmsRevision: r.VMsRevision})
	}
}

// apply records that the peer at an address did not reply.
func (ev digestMissed) apply(l *loop, now time.Time) {
	l.mu.Lock()
	commands := l.members.CallFailed(now, ev.address)
	l.mu.Unlock()
	l.reportGone(commands)
}

// apply updates the membership with a list of VMs if it is newer than the
// current one, and passes a list from a peer to the Sink.
func (ev vmListReceived) apply(l *loop, now time.Time) {
	if ev.list.Revision <= l.vms.Load().Revision {
		return
	}
	l.vms.Store(&ev.list)
	l.mu.Lock()
	commands := l.members.ApplyVMList(now, ev.list)
	l.mu.Unlock()
	l.reportGone(commands)
	if ev.fromPeer {
		l.opts.Count(VMListsPulled, 1)
		l.opts.Sink.PeerVMs(ev.list)
	}
}

// requestPull queues a pull from a peer if its configuration differs from the
// local one or its list of VMs is newer.
func (l *loop) requestPull(p pull) {
	p.wantConfig = l.opts.Feed != nil && p.configDigest != l.local.Load().digest.ConfigDigest
	p.wantVMs = p.vmsRevision > l.vms.Load().Revision
	if !p.wantConfig && !p.wantVMs {
		return
	}
	if err := l.pulls.Offer(p); err != nil {
		l.opts.Count(MessagesDropped, 1)
	}
}

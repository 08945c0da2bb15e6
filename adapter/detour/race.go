package detour

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/detour"
	"mimosaarch.example/decide/roster"
)

// attempt is the result of connecting over one path.
type attempt struct {
	// peer is the peer's name, empty for the direct path.
	peer ids.VM
	conn upconn.NetConn
	err  error
}

// race tries the paths to an upstream, each beside those that are slow. Its fields that may
// change are used by the goroutine of run, except for those that are safe for concurrent use.
type race struct {
	dialer *Dialer
	target upconn.Target
	// ttl is the longest time for which the connection is needed.
	ttl time.Duration
	// heardBefore is the dialer's count of reads when the race began.
	heardBefore int64

	// results receives the result of each attempt, and winner that of the race.
	results, winner chan attempt
	// pending counts the attempts under way.
	pending int
	// decided is true once winner has received its result. throughPeer is the peer that
	// connected, empty for none.
	decided     bool
	throughPeer ids.VM

	directStarted bool
	directErr     error
	// tried holds the peers that were asked. peerAnswered is true if one of them answered, and
	// peerRefused if the upstream refused its connection.
	tried                     map[ids.VM]bool
	peerAnswered, peerRefused bool
	peerErr                   error
	// peerReached is true if a peer with links of its own has tried to connect.
	peerReached atomic.Bool
	// abandoned is true once the caller does not wait any longer.
	abandoned atomic.Bool
}

// newRace returns a race that has not started.
func newRace(d *Dialer, t upconn.Target, ttl time.Duration) *race {
	return &race{
		dialer: d, target: t, ttl: ttl, heardBefore: d.heard.Load(), tried: make(map[ids.VM]bool),
		results: make(chan attempt, 1+detour.MaxPeers), winner: make(chan attempt, 1),
	}
}

// run tries the paths until one connects or all have failed. Then it waits for a direct
// attempt that is still under way, which tells whether the node's own link is lost.
func (r *race) run(plan detour.Plan) {
	ctx, cancel := context.WithTimeout(context.Background(), upconn.ConnectTimeout)
	defer cancel()
	peerCtx, cancelPeers := context.WithCancel(ctx)
	defer cancelPeers()
	if plan.Direct {
		r.startDirect(ctx)
	}
	if plan.Detour {
		r.startPeer(peerCtx)
	}
	hedge := time.NewTicker(detour.HedgeDelay)
	defer hedge.Stop()
	for r.pending > 0 || r.startNext(ctx, peerCtx) {
		select {
		case a := <-r.results:
			r.pending--
			r.record(a)
			if r.decided {
				cancelPeers()
			} else {
				r.startNext(ctx, peerCtx)
			}
		case <-hedge.C:
			r.startNext(ctx, peerCtx)
		}
	}
	r.conclude()
}

// startNext starts the next attempt, if there is one and the race is not decided. It reports
// whether it did.
func (r *race) startNext(ctx, peerCtx context.Context) bool {
	if r.decided || ctx.Err() != nil {
		return false
	}
	if !r.directStarted {
		r.startDirect(ctx)
		return true
	}
	return r.startPeer(peerCtx)
}

// startDirect starts the attempt over this node's own links.
func (r *race) startDirect(ctx context.Context) {
	r.directStarted = true
	r.pending++
	go func() {
		conn, err := r.dialer.DialDirect(ctx, r.target)
		r.results <- attempt{conn: conn, err: err}
	}()
}

// startPeer starts an attempt through another peer. It reports whether there was one.
func (r *race) startPeer(ctx context.Context) bool {
	if len(r.tried) >= detour.MaxPeers || r.abandoned.Load() && len(r.tried) > 0 {
		return false
	}
	var peer roster.Member
	var found bool
	r.dialer.update(func(now time.Time, t *detour.Table) { peer, found = t.NextPeer(now, r.tried) })
	if !found {
		return false
	}
	r.tried[peer.Name] = true
	r.pending++
	go func() { r.results <- r.dialer.openThrough(ctx, peer, r.target, r.ttl) }()
	return true
}

// openThrough connects to an upstream through a peer.
func (d *Dialer) openThrough(ctx context.Context, peer roster.Member, t upconn.Target, ttl time.Duration) attempt {
	conn, answer, err := open(ctx, peer.PeerAddress, t, ttl)
	if err != nil {
		return attempt{peer: peer.Name, err: err}
	}
	d.update(func(now time.Time, t *detour.Table) {
		t.PeerConnected(now, peer.Name, answer.Open)
		if answer.Stopping {
			t.PeerStops(peer.Name)
		}
	})
	return attempt{peer: peer.Name, conn: conn}
}

// record takes the result of an attempt into account. The first connection wins, and the
// first peer whose connection the upstream refuses ends the race.
func (r *race) record(a attempt) {
	switch {
	case a.err == nil && r.decided:
		_ = a.conn.Close() // nothing was sent on it
	case a.err == nil:
		r.throughPeer = a.peer
		r.decide(a)
	case a.peer == "":
		r.directErr = a.err
	default:
		r.recordPeerFailure(a)
	}
}

// abandon returns the error of a race whose caller does not wait any longer. The race goes on
// with one peer at most, to learn whether the direct path is lost.
func (r *race) abandon(cause error) *upconn.DialError {
	r.abandoned.Store(true)
	return &upconn.DialError{Target: r.target, NoPath: r.dialer.LinksLost() && !r.peerReached.Load(), Cause: cause}
}

// decide delivers the result of the race.
func (r *race) decide(a attempt) {
	r.decided = true
	r.winner <- a
}

// recordPeerFailure records a peer that did not connect. One that cannot reach upstreams, or
// does not answer, is not asked again soon.
func (r *race) recordPeerFailure(a attempt) {
	r.peerErr = a.err
	var failed *OpenError
	if !errors.As(a.err, &failed) {
		return
	}
	switch {
	case failed.result == refused:
		r.peerAnswered, r.peerRefused = true, true
		r.peerReached.Store(true)
		if !r.decided {
			r.decide(attempt{err: r.failure()})
		}
	case failed.result == unreachable && !failed.linksLost:
		r.peerAnswered = true
		r.peerReached.Store(true)
		r.dialer.update(func(_ time.Time, t *detour.Table) { t.PeerUnreached(a.peer) })
	case failed.result == unknown:
		r.peerAnswered = true
	case errors.Is(failed.Cause, context.Canceled):
		// Another path was faster.
	default:
		r.peerAnswered = r.peerAnswered || failed.result != ""
		r.dialer.update(func(now time.Time, t *detour.Table) { t.PeerFailed(now, a.peer) })
	}
}

// conclude delivers the failure of a race that no attempt has won, and records what the race
// says about this node's links and about the peers that were slower.
func (r *race) conclude() {
	d := r.dialer
	if !r.decided {
		r.decide(attempt{err: r.failure()})
	}
	if r.throughPeer == "" {
		return
	}
	d.opts.Count("detour.used", 1)
	var news detour.Loss
	d.update(func(now time.Time, t *detour.Table) {
		for peer := range r.tried {
			if peer != r.throughPeer {
				t.PeerFailed(now, peer)
			}
		}
		if r.directErr == nil {
			return
		}
		heard := d.heard.Load()
		news = t.DirectLost(now, r.target.ID, r.heardBefore, heard)
		if !isRefused(r.directErr) {
			d.silentMarks[r.target.ID] = r.heardBefore
		}
		if news.All {
			d.lostMark.Store(heard)
		}
	})
	if news.Upstream || news.All {
		d.opts.Log.Info().Str("event", "link_lost").Str("upstream", r.target.ID.String()).Str("address", r.target.Address).
			Str("peer", string(r.throughPeer)).Bool("all", news.All).AnErr("error", r.directErr).Send()
	}
	if news.All {
		d.opts.Count("detour.links_lost", 1)
		d.opts.OnLinksLost()
	}
}

// isRefused reports whether a direct attempt failed since nothing listens at the address.
func isRefused(err error) bool {
	var failed *upconn.DialError
	return errors.As(err, &failed) && failed.Refused
}

// failure returns the error of a race that no attempt has won. Without the answer of any peer
// that was asked, a refused direct attempt counts as refused by the upstream.
func (r *race) failure() *upconn.DialError {
	var linksLost, hasPeers bool
	r.dialer.update(func(_ time.Time, t *detour.Table) { linksLost, hasPeers = t.LinksLost(), t.HasPeers() })
	alone := !r.peerAnswered && !linksLost && (len(r.tried) > 0 || !hasPeers)
	return &upconn.DialError{
		Target:  r.target,
		Refused: r.peerRefused || isRefused(r.directErr) && alone,
		NoPath:  linksLost && !r.peerReached.Load(),
		Cause:   errors.Join(r.directErr, r.peerErr),
	}
}

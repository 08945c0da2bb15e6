package peer

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
)

// pullRingCapacity is the most pulls that wait for the puller.
const pullRingCapacity = 64

// maxPullStates is the most peers whose last pull is remembered. When it is
// reached all of them are forgotten.
const maxPullStates = 4096

// pull is a request to fetch newer configuration or a newer list of VMs from a
// peer over a connection.
type pull struct {
	vm   ids.VM
	conn *jsonrpc2.Conn
	// configDigest and vmsRevision describe what the peer has.
	configDigest        uint64
	vmsRevision         int64
	wantConfig, wantVMs bool
}

// pullState is the state of the last pull from a peer.
type pullState struct {
	startedAt time.Time
	// If empty is set, the last pull returned no objects while the
	// configurations of the peer and of this node had these digests.
	peerDigest, ownDigest uint64
	empty                 bool
}

// puller makes the pulls in one goroutine, one call at a time.
type puller struct {
	*Service
	last map[ids.VM]pullState
}

func newPuller(s *Service) *puller {
	return &puller{Service: s, last: make(map[ids.VM]pullState)}
}

// run handles queued pulls until ctx ends.
func (p *puller) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-p.pulls.Out():
			p.fetch(ctx, req)
		}
	}
}

// fetch makes a pull unless the last one from this peer was less than
// PullInterval ago.
func (p *puller) fetch(ctx context.Context, req pull) {
	now := time.Now()
	last := p.last[req.vm]
	if now.Sub(last.startedAt) < p.opts.PullInterval {
		return
	}
	if len(p.last) >= maxPullStates {
		clear(p.last)
	}
	last.startedAt = now
	if req.wantVMs && req.vmsRevision > p.vms.Load().Revision {
		p.fetchVMs(ctx, req)
	}
	if req.wantConfig {
		last = p.fetchConfig(ctx, req, last)
	}
	p.last[req.vm] = last
}

// fetchVMs requests the list of VMs and passes it to the loop.
func (p *puller) fetchVMs(ctx context.Context, req pull) {
	var out peerapi.VMsReply
	params := peerapi.VMs{AfterRevision: p.vms.Load().Revision}
	if err := p.call(ctx, req.conn, peerapi.MethodVMs, params, &out); err != nil {
		p.opts.Count(PullsFailed, 1)
		return
	}
	if err := p.events.Offer(vmListReceived{list: out.List, fromPeer: true}); err != nil {
		p.opts.Count(MessagesDropped, 1)
	}
}

// fetchConfig pulls configuration and returns the new state of the peer. It
// does not ask a peer that had nothing newer again until either configuration
// has changed.
func (p *puller) fetchConfig(ctx context.Context, req pull, last pullState) pullState {
	callCtx, cancel := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancel()
	ownDigest, err := p.opts.Feed.Digest(callCtx)
	if err != nil || ownDigest == req.configDigest {
		return last
	}
	if last.empty && last.peerDigest == req.configDigest && last.ownDigest == ownDigest {
		return last
	}
	last.empty = false
	count, err := p.pullObjects(ctx, req.conn)
	if err != nil {
		p.opts.Count(PullsFailed, 1)
		return last
	}
	if count == 0 {
		last.empty, last.peerDigest, last.ownDigest = true, req.configDigest, ownDigest
	}
	return last
}

// pullObjects requests the objects newer than the local ones, offers them to
// the Feed, and returns their number.
func (p *puller) pullObjects(ctx context.Context, conn *jsonrpc2.Conn) (int, error) {
	callCtx, cancel := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancel()
	summary, err := p.opts.Feed.Summary(callCtx)
	if err != nil {
		return 0, err
	}
	params := peerapi.Pull{Summary: encodeSummary(summary)}
	if err := params.Validate(); err != nil {
		return 0, err
	}
	p.opts.Count(Pulls, 1)
	var out peerapi.PullReply
	if err := p.call(ctx, conn, peerapi.MethodPull, params, &out); err != nil {
		return 0, err
	}
	if len(out.Objects) == 0 {
		return 0, nil
	}
	p.opts.Count(ObjectsPulled, int64(len(out.Objects)))
	return len(out.Objects), p.opts.Feed.Offer(out.Objects)
}

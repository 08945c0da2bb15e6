package peer

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
)

// pullCapacity is the most peers that wait to be asked for news.
const pullCapacity = 64

// maxPulled bounds the peers whose last pull is remembered.
const maxPulled = 4096

// pull is a peer that may have news, and the connection to ask it over.
type pull struct {
	vm   ids.VM
	conn *jsonrpc2.Conn
	// config and vms are what the peer said it has.
	config              uint64
	vms                 int64
	wantConfig, wantVMs bool
}

// pulled is what came of the last pull from a peer.
type pulled struct {
	at time.Time
	// theirs and ours are the digests at a pull that brought nothing.
	theirs, ours uint64
	nothing      bool
}

// puller is the goroutine that fetches news from peers, one call at a time.
type puller struct {
	*Service
	last map[ids.VM]pulled
}

func newPuller(s *Service) *puller {
	return &puller{Service: s, last: make(map[ids.VM]pulled)}
}

// run fetches news until ctx ends.
func (p *puller) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-p.pulls.Out():
			p.fetch(ctx, job)
		}
	}
}

// fetch asks a peer for its news, unless it was asked just before.
func (p *puller) fetch(ctx context.Context, job pull) {
	now := time.Now()
	last := p.last[job.vm]
	if now.Sub(last.at) < p.opts.PullInterval {
		return
	}
	if len(p.last) >= maxPulled {
		clear(p.last)
	}
	last.at = now
	if job.wantVMs && job.vms > p.vms.Load().Revision {
		p.fetchVMs(ctx, job)
	}
	if job.wantConfig {
		last = p.fetchConfig(ctx, job, last)
	}
	p.last[job.vm] = last
}

// fetchVMs asks for the list of VMs.
func (p *puller) fetchVMs(ctx context.Context, job pull) {
	var out peerapi.VMsReply
	ask := peerapi.VMs{AfterRevision: p.vms.Load().Revision}
	if err := p.call(ctx, job.conn, peerapi.MethodVMs, ask, &out); err != nil {
		p.opts.Count(PullsFailed, 1)
		return
	}
	if err := p.events.Offer(vmsSeen{list: out.List, fromPeer: true}); err != nil {
		p.opts.Count(MessagesDropped, 1)
	}
}

// fetchConfig asks for configuration. A peer that had nothing newer is not
// asked again until its configuration or ours has changed.
func (p *puller) fetchConfig(ctx context.Context, job pull, last pulled) pulled {
	limit, done := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer done()
	ours, err := p.opts.Feed.Digest(limit)
	if err != nil || ours == job.config {
		return last
	}
	if last.nothing && last.theirs == job.config && last.ours == ours {
		return last
	}
	last.nothing = false
	count, err := p.pull(ctx, job.conn)
	if err != nil {
		p.opts.Count(PullsFailed, 1)
		return last
	}
	if count == 0 {
		last.nothing, last.theirs, last.ours = true, job.config, ours
	}
	return last
}

// pull fetches objects and hands them to the feed; it gives their count.
func (p *puller) pull(ctx context.Context, conn *jsonrpc2.Conn) (int, error) {
	limit, done := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer done()
	summary, err := p.opts.Feed.Summary(limit)
	if err != nil {
		return 0, err
	}
	ask := peerapi.Pull{Summary: encodeSummary(summary)}
	if err := ask.Validate(); err != nil {
		return 0, err
	}
	p.opts.Count(Pulls, 1)
	var out peerapi.PullReply
	if err := p.call(ctx, conn, peerapi.MethodPull, ask, &out); err != nil {
		return 0, err
	}
	if len(out.Objects) == 0 {
		return 0, nil
	}
	p.opts.Count(ObjectsPulled, int64(len(out.Objects)))
	return len(out.Objects), p.opts.Feed.Offer(out.Objects)
}

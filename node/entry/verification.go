package entry

import (
	"context"
	"time"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
)

const (
	// verifyPause is the time between two verifications, so that a node that starts knows its
	// zone within a few seconds.
	verifyPause = 200 * time.Millisecond
	// verifyTimeout bounds a verification. A peer of the same zone answers within a few ms.
	verifyTimeout = 300 * time.Millisecond
)

// verifyPeers finds out which nodes of this node's zone still exist, until ctx ends.
func (n *Node) verifyPeers(ctx context.Context) {
	n.fleet.awaitReady(ctx)
	every.Do(ctx, verifyPause, func() {
		peer, found := n.fleet.nextToVerify()
		if !found {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, verifyTimeout)
		defer cancel()
		n.metrics.Add("peers.verified", 1)
		n.recordAnswer(ctx, peer.Name, n.fetchUpdate(callCtx, peer.Name, peer.PeerAddress, relay.WantConfig))
	})
}

// recordAnswer records whether a peer has answered a call that ended with err, unless ctx has
// ended.
func (n *Node) recordAnswer(ctx context.Context, peer ids.VM, err error) {
	if peer == "" || ctx.Err() != nil {
		return
	}
	if !n.fleet.recordVerified(peer, err == nil) {
		return
	}
	event := "peer_back"
	if err != nil {
		event = "peer_gone"
	}
	n.log.Info().Str("event", event).Str("peer", string(peer)).Err(err).Send()
}

// fetchUpdate asks a peer for a part of what this node lacks, and applies it. The error is a
// *relay.CallError.
func (n *Node) fetchUpdate(ctx context.Context, peer ids.VM, address string, want relay.Want) error {
	req := n.upstreams.updateRequest(peer)
	req.ConfigVersion, req.ConfigEpoch = n.configs.version()
	req.Want, req.Epoch = want, n.epoch.Load()
	req.Members = n.fleet.memberListVersion()
	askedAt := boottime.Now()
	update, err := relay.Fetch(ctx, address, req)
	if err != nil {
		return err
	}
	if update.Members != nil {
		n.fleet.setMembers(update.Members, update.MembersRevision)
	}
	if update.Config != nil {
		n.configs.apply(update.Config, update.ConfigEpoch, fromPeer(peer, &update, askedAt))
	}
	n.ObserveEpoch(update.Epoch)
	if update.Revision.After(req.Revision) {
		n.upstreams.merge(peer, update, askedAt)
	}
	return nil
}

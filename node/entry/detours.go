package entry

import (
	"context"
	"time"

	"mimosaarch.example/adapter/detour"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/decide/directory"
)

// detours connects this node to upstreams through its peers where its own links fail, and
// connects to upstreams for its peers.
type detours struct {
	dialer *detour.Dialer
	server *detour.Server
}

// newDetours returns the detours of a node.
func newDetours(n *Node) *detours {
	dialer := detour.NewDialer(detour.Options{
		Zone:        n.settings.Zone,
		Direct:      n.ports.Dial,
		Now:         boottime.Now,
		Log:         n.log,
		Count:       n.metrics.Add,
		OnLinksLost: func() { n.server.UpstreamsReachable() },
		Seed:        n.settings.Seed,
	})
	server := &detour.Server{
		Dial:      dialer.DialDirect,
		LinksLost: dialer.LinksLost,
		View:      n.upstreams.view.Load,
		MaxOpen:   part(n.settings.MaxSockets, detourSocketFraction),
		Log:       n.log,
		Count:     n.metrics.Add,
	}
	return &detours{dialer: dialer, server: server}
}

// silentFor returns for how long an engine has not answered this node. It is 0 while this
// node has lost its own links, since others may reach the engine.
func (n *Node) silentFor(u *directory.Upstream) time.Duration {
	if n.detours.dialer.LinksLost() {
		return 0
	}
	return n.server.SilentFor(u)
}

// drainInterval is the interval at which drain looks for open connections.
const drainInterval = 20 * time.Millisecond

// drain waits until no connection is open for a peer, or ctx ends. It reports whether none is.
func (d *detours) drain(ctx context.Context) bool {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for d.server.Open() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/roster"
)

const (
	// maxQueuedReports is the most reports about crashes that wait to be sent. A report
	// contains all that the node knows, so a later one replaces one that is dropped.
	maxQueuedReports = 16
	// reportSenders is how many reports are sent at once, so that a frozen keeper, which
	// delays one of them by a second, does not delay the next one.
	reportSenders = 4
	// exchangeInterval is the least time between two exchanges of evidence, so that the
	// losses of one crash go into one report.
	exchangeInterval = 30 * time.Millisecond
	// idleReview is the time between two reviews while there is nothing to review.
	idleReview = time.Hour
)

// crashExchange exchanges evidence about requests that crash upstreams with other nodes.
type crashExchange struct {
	node *Node
	// wake has an element while there is something to report or to review.
	wake chan struct{}
	// stale has an element while the node may have missed announcements.
	stale chan struct{}
	// caughtUp is closed once the node has asked its peers for what they know, or has found
	// that there is nobody to ask.
	caughtUp chan struct{}

	reports       *outbox[quarantine.Report]
	announcements *outbox[quarantine.Report]
	// unreached is true while none of the keepers can be reached.
	unreached atomic.Bool

	mu sync.Mutex
	// keepers holds the keepers of services, as of the nodes with a digest.
	keepers map[ids.Service][]roster.Member
	digest  uint64
}

// newCrashExchange returns the exchange of a node.
func newCrashExchange(n *Node) *crashExchange {
	return &crashExchange{
		node: n, wake: make(chan struct{}, 1), stale: make(chan struct{}, 1), caughtUp: make(chan struct{}), keepers: make(map[ids.Service][]roster.Member),
		reports:       newOutbox[quarantine.Report](maxQueuedReports, n.metrics, "crash_reports.dropped"),
		announcements: newOutbox[quarantine.Report](maxQueuedReports, n.metrics, "crash_reports.dropped"),
	}
}

// signal makes sure that a channel has an element.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// evidenceDue is the server's OnEvidence.
func (c *crashExchange) evidenceDue() { signal(c.wake) }

// missed records that the node may have missed announcements.
func (c *crashExchange) missed() { signal(c.stale) }

// start starts the duties of the exchange, one goroutine each.
func (c *crashExchange) start(ctx context.Context) {
	for range reportSenders {
		go c.reports.run(ctx, c.sendReport)
	}
	go c.announcements.run(ctx, c.announce)
	go c.run(ctx)
	go c.catchUp(ctx)
}

// run reports evidence to the keepers, and reviews that of which this node is a keeper.
func (c *crashExchange) run(ctx context.Context) {
	timer := time.NewTimer(idleReview)
	defer timer.Stop()
	for {
		dueAt := c.exchange()
		wait := idleReview
		if !dueAt.IsZero() {
			wait = max(dueAt.Sub(boottime.Now()), 0)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			sleep(ctx, exchangeInterval)
		case <-timer.C:
		}
	}
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// exchange queues what other nodes have to be told. It returns when a review is due, zero if
// not before there is new evidence.
func (c *crashExchange) exchange() time.Time {
	for _, r := range c.node.server.TakeCrashReports() {
		r.From = c.node.settings.VM
		c.reports.add(r)
	}
	announcements, next := c.node.server.ReviewSuspects()
	for _, a := range announcements {
		a.From = c.node.settings.VM
		c.announcements.add(a)
	}
	return next
}

// keepersOf returns the keepers of a service, and the number of nodes.
func (c *crashExchange) keepersOf(service ids.Service) ([]roster.Member, int) {
	members, digest := c.node.fleet.memberList()
	c.mu.Lock()
	defer c.mu.Unlock()
	if digest != c.digest {
		clear(c.keepers)
		c.digest = digest
	}
	keepers, known := c.keepers[service]
	if !known {
		keepers = keepersAmong(service, members)
		c.keepers[service] = keepers
	}
	return keepers, len(members)
}

// keepersAmong returns the keepers of a service among the nodes.
func keepersAmong(service ids.Service, members []roster.Member) []roster.Member {
	peers := make([]quarantine.Peer, len(members))
	for i, m := range members {
		peers[i] = quarantine.Peer{VM: m.Name, Zone: m.Zone}
	}
	var keepers []roster.Member
	for _, name := range quarantine.Keepers(service, peers) {
		i := slices.IndexFunc(members, func(m roster.Member) bool { return m.Name == name })
		keepers = append(keepers, members[i])
	}
	return keepers
}

// role is the server's QuarantineRole. A node that reaches no keeper decides by itself.
func (c *crashExchange) role(service ids.Service) quarantine.Role {
	keepers, nodes := c.keepersOf(service)
	names := make([]ids.VM, len(keepers))
	for i, m := range keepers {
		names[i] = m.Name
	}
	role := quarantine.RoleOf(c.node.settings.VM, names, nodes)
	if !role.Keeper && nodes > 0 && c.unreached.Load() {
		return quarantine.Role{Keeper: true}
	}
	return role
}

// sendReport sends a report to the keepers of its service.
func (c *crashExchange) sendReport(ctx context.Context, r quarantine.Report) {
	keepers, _ := c.keepersOf(r.Service)
	pool := pond.NewPool(maxBroadcastCalls)
	var reached atomic.Bool
	for _, m := range keepers {
		if m.Name == c.node.settings.VM {
			reached.Store(true)
			continue
		}
		pool.Submit(func() {
			if err := relay.SendCrashReport(ctx, m.PeerAddress, r); err != nil {
				c.node.log.Debug().Str("event", "peer_silent").Err(err).Send()
				return
			}
			reached.Store(true)
		})
	}
	pool.StopAndWait()
	if c.unreached.Swap(!reached.Load()) != !reached.Load() {
		c.evidenceDue()
	}
}

// announce sends an announcement to all other nodes.
func (c *crashExchange) announce(ctx context.Context, r quarantine.Report) {
	c.node.broadcast(func(peer string) error { return relay.SendCrashReport(ctx, peer, r) })
}

// ApplyCrashReport implements relay.Source. It applies evidence received from a peer.
func (n *Node) ApplyCrashReport(r quarantine.Report) { n.server.AddCrashReport(r) }

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
	// maxQueuedReports is the most reports about crashes that wait to be sent.
	maxQueuedReports = 16
	// reportSenders is how many reports are sent at once, so that a frozen keeper, which
	// delays one of them by a second, does not delay the next one.
	reportSenders = 4
	// exchangeInterval is the least time between two exchanges of evidence, so that the
	// losses of one crash go into one report.
	exchangeInterval = 30 * time.Millisecond
	// exchangeShare is the share of the time that exchanges may take while evidence keeps coming.
	// With 200 deaths in two minutes a review takes 7 to 10 ms of a whole core, five times that on
	// the smallest VM.
	exchangeShare = 0.25
	// maxExchangePause bounds the pause for that. It is less than the 100 ms after which the next
	// keeper acts in place of this one.
	maxExchangePause = 60 * time.Millisecond
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
	// deliveries holds what the keepers of services have of this node.
	deliveries map[ids.Service]*quarantine.Delivery
}

// newCrashExchange returns the exchange of a node.
func newCrashExchange(n *Node) *crashExchange {
	return &crashExchange{
		node: n, wake: make(chan struct{}, 1), stale: make(chan struct{}, 1), caughtUp: make(chan struct{}), keepers: make(map[ids.Service][]roster.Member),
		deliveries:    make(map[ids.Service]*quarantine.Delivery),
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
		began := boottime.Now()
		dueAt := c.exchange()
		pause := exchangePause(boottime.Now().Sub(began))
		wait := idleReview
		if !dueAt.IsZero() {
			wait = max(dueAt.Sub(boottime.Now()), 0)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			sleep(ctx, pause)
		case <-timer.C:
		}
	}
}

// exchangePause returns the pause after an exchange that took some time.
func exchangePause(took time.Duration) time.Duration {
	return min(max(time.Duration(float64(took)*(1/exchangeShare-1)), exchangeInterval), maxExchangePause)
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

// exchange queues what other nodes have to be told. It returns when it has to be called again,
// zero if not before there is new evidence.
func (c *crashExchange) exchange() time.Time {
	for _, r := range c.node.server.TakeCrashReports() {
		r.From = c.node.settings.VM
		c.addReport(r)
	}
	retryAt := c.retryReports()
	announcements, next := c.node.server.ReviewSuspects()
	for _, a := range announcements {
		a.From = c.node.settings.VM
		_ = c.announcements.add(a) // a dropped one is counted
	}
	return earliest(next, c.node.server.NextCrashReport(), retryAt)
}

// addReport queues a report for the keepers of its service. If there is no room for it, the next
// one will contain all evidence.
func (c *crashExchange) addReport(r quarantine.Report) {
	if !c.reports.add(r) {
		c.updateDelivery(r.Service, func(_ time.Time, d *quarantine.Delivery) { d.Lost() })
	}
}

// earliest returns the earliest of some times that are not zero, zero if all are.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// retryReports queues all evidence for keepers that did not take an earlier report. It returns
// when the next one is due, zero for none.
func (c *crashExchange) retryReports() time.Time {
	now := boottime.Now()
	c.mu.Lock()
	var due []ids.Service
	var next time.Time
	for service, delivery := range c.deliveries {
		isDue, at := delivery.Retry(now, addresses(c.keepers[service]))
		if isDue {
			due = append(due, service)
		}
		next = earliest(next, at)
	}
	c.mu.Unlock()
	for _, service := range due {
		c.addReport(quarantine.Report{Service: service, From: c.node.settings.VM})
	}
	return next
}

// addresses returns the addresses at which nodes listen for peers.
func addresses(members []roster.Member) []string {
	addresses := make([]string, len(members))
	for i, m := range members {
		addresses[i] = m.PeerAddress
	}
	return addresses
}

// names returns the names of nodes.
func names(members []roster.Member) []ids.VM {
	names := make([]ids.VM, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
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
	role := quarantine.RoleOf(c.node.settings.VM, names(keepers), nodes)
	if !role.Keeper && nodes > 0 && c.unreached.Load() {
		return quarantine.Role{Keeper: true}
	}
	return role
}

// sendReport sends a report to the keepers of its service, or all evidence to those that may lack
// some.
func (c *crashExchange) sendReport(ctx context.Context, r quarantine.Report) {
	keepers, _ := c.keepersOf(r.Service)
	news := relay.NewOutgoingReport(r)
	all := sync.OnceValue(func() *relay.OutgoingReport {
		evidence := c.node.server.CrashEvidence(r.Service)
		if len(evidence.Events) == 0 {
			return news
		}
		whole := r
		whole.Events = evidence.Events
		return relay.NewOutgoingReport(whole)
	})
	pool := pond.NewPool(maxBroadcastCalls)
	var reached atomic.Bool
	for _, m := range keepers {
		if m.Name == c.node.settings.VM {
			reached.Store(true)
			continue
		}
		pool.Submit(func() {
			if c.sendReportTo(ctx, m, news, all) {
				reached.Store(true)
			}
		})
	}
	pool.StopAndWait()
	if c.unreached.Swap(!reached.Load()) != !reached.Load() {
		c.evidenceDue()
	}
}

// sendReportTo sends a report to one keeper, or all evidence if the keeper may lack some. It
// reports whether the keeper answers.
func (c *crashExchange) sendReportTo(ctx context.Context, keeper roster.Member, news *relay.OutgoingReport, all func() *relay.OutgoingReport) bool {
	service := news.Report().Service
	var content quarantine.Content
	c.updateDelivery(service, func(now time.Time, d *quarantine.Delivery) { content = d.Next(now, keeper.PeerAddress) })
	if content == quarantine.Nothing {
		return false
	}
	report := news
	switch {
	case content == quarantine.Whole:
		report = all()
	case len(news.Report().Events) == 0:
		return true
	}
	reply, err := relay.SendCrashReport(ctx, keeper.PeerAddress, report)
	if err != nil {
		c.node.log.Debug().Str("event", "peer_silent").Err(err).Send()
		c.updateDelivery(service, func(now time.Time, d *quarantine.Delivery) { d.Failed(now, keeper.PeerAddress) })
		c.evidenceDue()
		return false
	}
	var lacks bool
	c.updateDelivery(service, func(_ time.Time, d *quarantine.Delivery) {
		lacks = d.Delivered(keeper.PeerAddress, reply.Process, content)
	})
	if lacks {
		return c.sendReportTo(ctx, keeper, news, all)
	}
	return true
}

// updateDelivery reads or changes what is known of the keepers of a service.
func (c *crashExchange) updateDelivery(service ids.Service, change func(now time.Time, d *quarantine.Delivery)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.deliveries[service]
	if d == nil {
		d = &quarantine.Delivery{}
		c.deliveries[service] = d
	}
	change(boottime.Now(), d)
}

// announce sends an announcement to all other nodes.
func (c *crashExchange) announce(ctx context.Context, r quarantine.Report) {
	report := relay.NewOutgoingReport(r)
	c.node.broadcast(func(peer string) error {
		_, err := relay.SendCrashReport(ctx, peer, report)
		return err
	})
}

// ApplyCrashReport implements relay.Source. It applies evidence received from a peer.
func (n *Node) ApplyCrashReport(r quarantine.Report) relay.CrashReportReply {
	n.server.AddCrashReport(r)
	return relay.CrashReportReply{Process: processID(n.settings)}
}

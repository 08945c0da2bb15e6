// Package entry runs a node that forwards callers' HTTP exchanges on an entry
// VM. The node follows the configuration and the directory of upstreams in the
// platform's store, and passes updates on to peers that cannot read the store.
// While it holds the lease for orders, it also tells engines which layers to
// load.
//
// The package does not depend on a wire format. Ports supplies the protocols of
// a deployment.
package entry

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/connlimit"
	"mimosaarch.example/adapter/datagram"
	"mimosaarch.example/adapter/forward"
	"mimosaarch.example/adapter/leader"
	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/placer"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/processor"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/placement"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
	"mimosaarch.example/node/telemetry"
)

// Members is the list of the fleet's nodes in the platform's store.
type Members interface {
	// Join adds this node's entry to the list or replaces it, and returns its revision. succeed
	// returns the record that the entry gets. replaced is false if the list has no entry of the
	// node, and previous is the record of that entry. It is nil if the entry has none that can be
	// read, or comes from an earlier epoch of the store: a restored copy may have an entry of a
	// process before the last one. succeed may be called more than once. crashes is written beside
	// its record.
	Join(ctx context.Context, m roster.Member, crashes quarantine.Record, succeed func(replaced bool, previous *retry.Record) retry.Record) (revision.Revision, error)
	// Update replaces the records of this node's entry, unless the entry was written again since a
	// revision, and returns its new revision.
	Update(ctx context.Context, m roster.Member, at revision.Revision, crashes quarantine.Record, r retry.Record) (revision.Revision, error)
	// List returns all entries, and the records of crashes in them. They may be a few seconds old.
	List(ctx context.Context) (listwatch.List[roster.Member], []quarantine.Record, error)
}

// Engines makes the calls to engines that are not callers' requests.
type Engines interface {
	forward.Engines
	placer.Engines
}

// Ports holds the deployment's implementations of the external protocols. All
// fields are required.
type Ports struct {
	Configs   listwatch.Source[routing.Config]
	Upstreams listwatch.Source[directory.Upstream]
	Members   Members
	Prober    Prober
	Lease     leader.Store
	// Dial opens connections from this VM to upstreams, and NewEngines returns the calls
	// to engines over connections that dial opens.
	Dial       upconn.DialFunc
	NewEngines func(dial upconn.DialFunc) Engines
	Headers    forward.Headers
}

// Settings configure a Node. All fields are required unless stated otherwise.
type Settings struct {
	VM   ids.VM
	Zone ids.Zone
	// CallerAddr, ReadyAddr, PeerAddr and MetricsAddr are the addresses to
	// listen on, as IP:port. MetricsAddr is optional.
	CallerAddr, ReadyAddr, PeerAddr, MetricsAddr string
	// ReadyPath and MetricsPath are the HTTP paths of the readiness check and
	// of the metrics.
	ReadyPath, MetricsPath string
	// SeedPeers are addresses of peers to contact before the list of nodes is
	// known. Optional.
	SeedPeers []string
	// RetryBudget limits the retries of all nodes together.
	RetryBudget forward.Budget
	// FirstStart is true if the whole fleet starts for the first time. Optional.
	FirstStart bool
	// StopGrace is the time from the signal to stop until the platform kills
	// the process.
	StopGrace time.Duration
	// LeaseDuration is the duration of the lease for orders to engines.
	LeaseDuration time.Duration
	// EnginesCheckFence is true if engines reject orders with an outdated fencing
	// token.
	EnginesCheckFence bool
	// Placement configures the placement of layers on engines.
	Placement placement.Options
	// MemoryLimitBytes is the memory of the process, and MaxSockets the most sockets that it may
	// have open. Callers' connections are bounded by parts of them. 0 stands for no bound.
	MemoryLimitBytes int64
	MaxSockets       int
	// LoadExchangeNodes is the number of nodes from which on they exchange the load of
	// engines, load.MinNodes if it is 0. The soak sets it, because its fleets are small.
	LoadExchangeNodes int
	// Seed initializes the random sources and identifies this process to peers
	// and in the lease.
	Seed uint64
}

// Node is an entry node. Create it with New and start it with Run.
type Node struct {
	settings Settings
	ports    Ports
	log      zerolog.Logger
	metrics  *telemetry.Telemetry
	// processor measures what the node's processor is used for.
	processor *processor.Monitor

	updates    *notifier
	configs    *configs
	upstreams  *upstreams
	membership *membership
	probe      *probe
	fleet      *fleet
	server     *forward.Server
	detours    *detours
	elector    *leader.Elector
	placer     *placer.Placer

	verdicts *outbox[quarantine.Verdict]
	crashes  *crashExchange
	limits   *outbox[backpressure.LimitNotice]
	leavings *outbox[saidLeaving]
	permits  *permits
	// lossNotices exchanges notices about lost engines with the other nodes.
	lossNotices *lossNotices
	// loads exchanges the load of engines with the other nodes.
	loads      *loadExchange
	storeCalls *callCounter
	// datagrams is the socket for datagrams between nodes, nil before the node is started
	// and if the socket could not be opened.
	datagrams atomic.Pointer[datagram.Socket]
	// epoch is the latest epoch of the store that the node knows.
	epoch atomic.Int64
	// initialized is closed once the first configuration and directory have
	// arrived and the node has caught up with its peers, or has waited for that.
	initialized chan struct{}
	// startedAt is the time at which Run started the node's duties.
	startedAt time.Time

	stopping atomic.Bool
}

// leaseReadsPerDuration is the number of times that a node that does not hold
// the lease reads it within the lease's duration. Only a few nodes are
// candidates. With two reads each they detect the end of the holder's renewals
// as early as all nodes would with one read each.
const leaseReadsPerDuration = 2

// New creates a Node. It opens no sockets and starts no goroutines before Run.
func New(settings Settings, ports Ports, log zerolog.Logger) *Node {
	n := &Node{settings: settings, ports: ports, log: log, metrics: telemetry.New(), processor: processor.NewMonitor(), storeCalls: newCallCounter()}
	n.initialized = make(chan struct{})
	n.verdicts = newOutbox[quarantine.Verdict](maxQueuedVerdicts, n.metrics, "verdicts.dropped")
	n.crashes = newCrashExchange(n)
	n.limits = newOutbox[backpressure.LimitNotice](maxQueuedLimits, n.metrics, "limits.dropped")
	n.leavings = newOutbox[saidLeaving](maxQueuedLeavings, n.metrics, "leavings.dropped")
	n.lossNotices = newLossNotices(n)
	n.updates = newNotifier()
	n.fleet = newFleet(settings, boottime.Now, func(nodes int) {
		n.log.Info().Str("event", "members").Int("nodes", nodes).Send()
		n.server.SetNodes(nodes)
		// The fleet's lock is held.
		n.detours.dialer.SetPeers(n.fleet.roster.Others())
	})
	n.configs = &configs{log: log, updates: n.updates, processor: n.processor}
	n.upstreams = newUpstreams(processID(settings), log, n.updates)
	n.upstreams.processor = n.processor
	n.membership = newMembership(settings, &timedMembers{ports.Members, n.metrics.ObserveDuration}, n, log)
	n.probe = newProbe(ports.Prober, n.fleet, log, &n.configs.storeContact, &n.upstreams.storeContact)
	n.detours = newDetours(n)
	n.loads = newLoadExchange(n)
	engines := ports.NewEngines(n.detours.dialer.Dial)
	n.permits = newPermits(settings.VM, n.fleet.keepers, func(id ids.Instance) float64 { return n.server.Limit(id) }, n.ApplyLimit)
	n.server = forward.New(forward.Options{
		Headers:   ports.Headers,
		Zone:      settings.Zone,
		Ready:     n.initialized,
		Table:     n.configs.table.Load,
		View:      n.upstreams.view.Load,
		Dial:      n.detours.dialer.Dial,
		Engines:   engines,
		Budget:    settings.RetryBudget,
		Now:       boottime.Now,
		Log:       log,
		Metrics:   n.metrics,
		Processor: n.processor,
		OnVerdict: func(v quarantine.Verdict) { _ = n.verdicts.add(v) },     // a dropped one is counted
		OnLimit:   func(l backpressure.LimitNotice) { _ = n.limits.add(l) }, // a dropped one is counted
		Permits:   n.permits,
		Loans:     newRetryLoans(settings, n.fleet.memberList),
		OnRestart: n.upstreams.recordRestart,
		OnLeaving: n.recordLeaving,

		OnRetryNotice: n.membership.noticeDue,

		OnEngineLost: n.lossNotices.announce, OnEngineSilent: n.lossNotices.announceSilence,
		Intake:           intakeLimits(settings),
		MaxUpstreamConns: part(settings.MaxSockets, upstreamSocketFraction),
		Seed:             settings.Seed,

		QuarantineRole: n.crashes.role,
		OnEvidence:     n.crashes.evidenceDue,
	})
	n.configs.onActivated = n.upstreams.setServices
	n.configs.onMalformed = func(bad listwatch.Removal) { n.reportMalformed("configuration", bad) }
	n.upstreams.onMalformed = func(bad listwatch.Removal) { n.reportMalformed("upstream", bad) }
	n.upstreams.onRemoved = func(u *directory.Upstream) {
		n.server.UpstreamRemoved(u)
		n.detours.dialer.Forget(u.ID)
	}
	n.upstreams.onEpoch = n.logEpoch
	n.upstreams.onStoreRecovered = func() {
		n.server.StoreReconnected()
		n.crashes.missed()
	}
	n.elector = leader.New(leader.Options{
		Lease: lease.Options{
			Holder:       processID(settings),
			Duration:     settings.LeaseDuration,
			ReadInterval: settings.LeaseDuration / leaseReadsPerDuration,
			StaleReads:   true,
			Seed:         settings.Seed,
		},
		Store:     &timedLease{ports.Lease, n.metrics.ObserveDuration},
		Now:       boottime.Now,
		Candidate: n.fleet.isLeaseCandidate,
		KeepHeld:  true,
		Log:       log,
	})
	n.placer = placer.New(placer.Options{
		Table:             n.configs.table.Load,
		View:              n.upstreams.view.Load,
		Engines:           engines,
		Lease:             n.elector,
		Plan:              settings.Placement,
		EnginesCheckFence: settings.EnginesCheckFence,
		Now:               boottime.Now,
		Log:               log,
		Count:             n.metrics.Add,
		Processor:         n.processor,
		SilentFor:         n.silentFor,
		OnRestart:         n.upstreams.recordRestart,
	})
	n.registerGauges()
	n.server.SetRetryTerms(n.membership.succession.Terms())
	return n
}

// reasonedError is an error that provides its own label for a counter.
type reasonedError interface{ Reason() string }

// reportMalformed counts and logs an entry of a collection that cannot be
// decoded. The entry is ignored and the rest of the collection remains valid.
func (n *Node) reportMalformed(kind string, bad listwatch.Removal) {
	reason := "unreadable"
	var fault reasonedError
	if errors.As(bad.Malformed, &fault) {
		reason = fault.Reason()
	}
	n.metrics.Add("malformed."+kind+"."+reason, 1)
	n.log.Error().Str("event", "object_malformed").Str("kind", kind).Str("name", bad.Name).Stringer("revision", bad.Revision).
		Str("reason", reason).AnErr("error", bad.Malformed).Send()
}

// Ready reports whether the node accepts callers: it has a configuration and a
// directory, knows which requests crash upstreams, and is not stopping.
func (n *Node) Ready() bool {
	select {
	case <-n.initialized:
		return !n.stopping.Load()
	default:
		return false
	}
}

// uptime returns the time since Run started the node's duties.
func (n *Node) uptime() time.Duration { return boottime.Now().Sub(n.startedAt) }

// awaitInitialState closes initialized once the node can serve, unless ctx ends
// first.
func (n *Node) awaitInitialState(ctx context.Context) {
	if !n.awaitDocuments(ctx) {
		return
	}
	documentsAfter := n.uptime()
	caughtUp := n.crashes.awaitCaughtUp(ctx)
	close(n.initialized)
	n.log.Info().Str("event", "ready").Bool("caught_up", caughtUp).Dur("documents_ms", documentsAfter).Dur("up_ms", n.uptime()).Send()
}

// awaitDocuments waits until a configuration and a directory have arrived. It
// returns false if ctx ends first.
func (n *Node) awaitDocuments(ctx context.Context) bool {
	for {
		changed := n.updates.next()
		if n.configs.table.Load() != nil && !n.upstreams.view.Load().Revision.IsZero() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// UpdateSince implements relay.Source. It returns as soon as there is something
// newer than the peer's state, and an empty update when the peer's wait time is
// over.
func (n *Node) UpdateSince(ctx context.Context, req relay.UpdateRequest) relay.Update {
	timer := time.NewTimer(time.Duration(req.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := n.updates.next()
		update := n.currentUpdate(req)
		if hasNews(&update) || update.Disconnected || update.Epoch < req.Epoch || req.WaitMs <= 0 {
			return update
		}
		select {
		case <-changed:
		case <-timer.C:
			return n.currentUpdate(req)
		case <-ctx.Done():
			return update
		}
	}
}

// hasNews reports whether an update contains anything that its caller lacks.
func hasNews(update *relay.Update) bool {
	return update.Config != nil || update.Packed != nil || !update.Revision.IsZero() || update.Members != nil
}

// currentUpdate returns what is newer than the peer's state, without waiting.
func (n *Node) currentUpdate(req relay.UpdateRequest) relay.Update {
	defer n.processor.Begin("update.answer")()
	configRevision := n.configs.revision()
	update := relay.Update{ConfigRevision: configRevision, Epoch: configRevision.Epoch}
	n.fleet.addMembers(&update, req.Members)
	now := boottime.Now()
	if req.Want != relay.WantUpstreams {
		update.RecordAge(n.configs.age(now))
		update.Disconnected = n.configs.disconnected.Load()
		if newest := n.configs.newest.Load(); newest != nil && newest.isNewerThan(req.ConfigVersion, req.ConfigEpoch) {
			newest.addTo(&update, req.AcceptsPacked)
		}
	}
	if req.Want == relay.WantConfig {
		return update
	}
	epoch := n.upstreams.view.Load().Revision.Epoch
	if req.Want == relay.WantUpstreams || epoch < update.Epoch {
		update.Epoch = epoch
	}
	update.RecordAge(n.upstreams.age(now))
	update.Disconnected = update.Disconnected || n.upstreams.disconnected.Load()
	n.upstreams.addTo(&update, req)
	return update
}

// listeners holds the sockets of a node. metrics may be nil. datagrams has the address
// and port of peers, over UDP; it is nil if it could not be opened.
type listeners struct {
	callers, ready, peers, metrics net.Listener
	datagrams                      *datagram.Socket
}

// listen opens all sockets, so that a node that cannot serve fails at startup. Datagrams
// are not needed to serve. The error is a *ListenError.
func (n *Node) listen(ctx context.Context) (*listeners, error) {
	config := upconn.NewListenConfig()
	l := &listeners{}
	for _, socket := range []struct {
		to      *net.Listener
		address string
	}{
		{&l.callers, n.settings.CallerAddr},
		{&l.ready, n.settings.ReadyAddr},
		{&l.peers, n.settings.PeerAddr},
		{&l.metrics, n.settings.MetricsAddr},
	} {
		if socket.address == "" {
			continue
		}
		var err error
		if *socket.to, err = config.Listen(ctx, "tcp", socket.address); err != nil {
			return nil, &ListenError{Address: socket.address, Cause: err}
		}
	}
	if backlog := callerBacklog(n.settings); backlog > 0 {
		if err := connlimit.SetBacklog(l.callers, backlog); err != nil {
			return nil, &ListenError{Address: n.settings.CallerAddr, Cause: err}
		}
	}
	l.datagrams = n.listenDatagrams(l.peers.Addr().String())
	return l, nil
}

// ListenError is returned when a socket cannot be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the underlying network error.
func (e *ListenError) Unwrap() error { return e.Cause }

// Run serves until ctx ends and then shuts down: it finishes callers' requests
// in flight within the grace period. Background calls may still be in progress
// when it returns, so the process is expected to exit. The error is a
// *ListenError.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen(ctx)
	if err != nil {
		return err
	}
	n.log.Info().Str("event", "started").Str("vm", string(n.settings.VM)).Str("zone", string(n.settings.Zone)).
		Str("callers", n.settings.CallerAddr).Send()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.start(runCtx, l)
	<-ctx.Done()
	n.stop(runCtx, l)
	return nil
}

// start starts the servers and the background tasks, one goroutine each.
func (n *Node) start(ctx context.Context, l *listeners) {
	n.startedAt = boottime.Now()
	n.serveReady(l.ready)
	if l.metrics != nil {
		n.serveMetrics(l.metrics)
	}
	// These servers return when stop closes their listeners.
	peers := n.detours.server.Listen(n.boundConnections(l.peers, part(n.settings.MaxSockets, peerSocketFraction)))
	go func() { _ = relay.Serve(ctx, peers, n, n.processor) }()
	if l.datagrams != nil {
		n.handleDatagrams(l.datagrams)
		go l.datagrams.Serve(ctx)
	}
	go func() { _ = n.server.Serve(ctx, l.callers) }()
	go n.awaitInitialState(ctx)
	go n.followConfig(ctx)
	go n.followUpstreams(ctx)
	go n.upstreams.expire(ctx)
	go n.membership.run(ctx)
	go n.membership.giveNotices(ctx)
	go n.verifyPeers(ctx)
	go n.probe.run(ctx)
	go n.verdicts.run(ctx, n.sendVerdict)
	n.crashes.start(ctx)
	go n.limits.run(ctx, n.sendLimit)
	go n.leavings.run(ctx, n.sendLeaving)
	go n.lossNotices.outbox.run(ctx, n.lossNotices.send)
	go newEngineWatches(n).run(ctx)
	go n.loads.run(ctx)
	go n.logCallsPeriodically(ctx)
	go n.watchProcessor(ctx)
	go n.elector.Run(ctx)
	go n.placer.Run(ctx)
}

// Names of the collections in logs.
const (
	configCollection   = "configuration"
	upstreamCollection = "upstreams"
)

// followConfig keeps the configuration current until ctx ends.
func (n *Node) followConfig(ctx context.Context) {
	options := listwatch.Options{Name: configCollection, Log: n.log, Seed: n.settings.Seed}
	listwatch.New(n.sharedConfigs(), n.configs, options).Run(ctx)
}

// followUpstreams keeps the directory of upstreams current until ctx ends.
func (n *Node) followUpstreams(ctx context.Context) {
	options := listwatch.Options{Name: upstreamCollection, Log: n.log, Seed: n.settings.Seed + 1}
	listwatch.New(n.sharedUpstreams(), n.upstreams, options).Run(ctx)
}

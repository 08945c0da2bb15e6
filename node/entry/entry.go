// Package entry runs a node that forwards callers' exchanges on an entry VM: it
// follows the configuration and the directory of upstreams in the platform's
// store, serves callers, has engines load layers while it holds the lease for
// that, and relays updates to peers that the store rejects.
//
// The package knows no wire format; Ports bring those of a deployment.
package entry

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/forward"
	"mimosaarch.example/adapter/leader"
	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/placer"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/placement"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
	"mimosaarch.example/node/telemetry"
)

// Members is the list of the fleet's nodes in the platform's store.
type Members interface {
	// Join enters the own node, or replaces its entry.
	Join(ctx context.Context, m roster.Member) error
	// List gives all entries, which may be some seconds old.
	List(ctx context.Context) (listwatch.List[roster.Member], error)
}

// Engines makes all calls to engines that are not callers' requests.
type Engines interface {
	forward.Engines
	placer.Engines
}

// Ports are the deployment's protocols. All are required.
type Ports struct {
	Configs   listwatch.Source[routing.Config]
	Upstreams listwatch.Source[directory.Upstream]
	Members   Members
	Prober    Prober
	Lease     leader.Store
	Engines   Engines
	Headers   forward.Headers
}

// Settings of a node. All are required but those that say otherwise.
type Settings struct {
	VM   ids.VM
	Zone ids.Zone
	// CallerAddr, ReadyAddr, PeerAddr and MetricsAddr are addresses to listen on. MetricsAddr
	// may be empty.
	CallerAddr, ReadyAddr, PeerAddr, MetricsAddr string
	// ReadyPath and MetricsPath are the paths that answer there.
	ReadyPath, MetricsPath string
	// SeedPeers are peers' addresses to begin with; may be empty.
	SeedPeers []string
	// RetryBudget bounds the fleet's retries.
	RetryBudget forward.Budget
	// StopGrace is the time between the signal to stop and the kill.
	StopGrace time.Duration
	// LeaseDuration is the duration of the lease for orders to engines.
	LeaseDuration time.Duration
	// EnginesCheckFence tells that engines check the term of orders.
	EnginesCheckFence bool
	// Placement sets up the placement of layers.
	Placement placement.Options
	// Seed starts the random sources.
	Seed uint64
}

// Node is a running node. Make it with New, and let Run run.
type Node struct {
	settings Settings
	ports    Ports
	log      zerolog.Logger
	metrics  *telemetry.Telemetry

	news      *notice
	configs   *configs
	upstreams *upstreams
	peers     *peers
	probe     *probe
	fleet     *fleet
	server    *forward.Server
	keeper    *leader.Elector
	placer    *placer.Placer

	verdicts chan quarantine.Verdict
	calls    *tally
	// known is closed once the first configuration and directory are there.
	known chan struct{}

	stopping atomic.Bool
}

// leaseReadPart is the part of the lease's duration between two reads by a node that
// does not hold it. The few that seek it find the end of a holder's writes as soon as
// all nodes would that read once.
const leaseReadPart = 2

// New makes a Node; nothing happens before Run.
func New(settings Settings, ports Ports, log zerolog.Logger) *Node {
	n := &Node{settings: settings, ports: ports, log: log, metrics: telemetry.New(), calls: newTally()}
	n.known = make(chan struct{})
	n.verdicts = make(chan quarantine.Verdict, maxVerdicts)
	n.news = newNotice()
	n.fleet = newFleet(settings, boottime.Now, func(nodes int) {
		n.log.Info().Str("event", "members").Int("nodes", nodes).Send()
		n.server.SetNodes(nodes)
	})
	n.configs = &configs{log: log, news: n.news}
	n.upstreams = newUpstreams(holder(settings), log, n.news)
	n.peers = newPeers(settings, &timedMembers{ports.Members, n.metrics.ObserveDuration}, n, log)
	n.probe = newProbe(ports.Prober, n.fleet, log, &n.configs.contact, &n.upstreams.contact)
	n.server = forward.New(forward.Options{
		Headers:   ports.Headers,
		Zone:      settings.Zone,
		Ready:     n.known,
		Table:     n.configs.table.Load,
		View:      n.upstreams.view.Load,
		Engines:   ports.Engines,
		Budget:    settings.RetryBudget,
		Now:       boottime.Now,
		Log:       log,
		Metrics:   n.metrics,
		OnVerdict: n.judged,
		OnRestart: n.upstreams.restarted,
		Seed:      settings.Seed,
	})
	n.configs.inForce = n.upstreams.configured
	n.configs.malformed = func(bad listwatch.Removal) { n.malformed("configuration", bad) }
	n.upstreams.malformed = func(bad listwatch.Removal) { n.malformed("upstream", bad) }
	n.upstreams.gone, n.upstreams.reached = n.server.UpstreamRemoved, n.server.StoreReconnected
	n.keeper = leader.New(leader.Options{
		Lease: lease.Options{
			Holder:       holder(settings),
			Duration:     settings.LeaseDuration,
			ReadInterval: settings.LeaseDuration / leaseReadPart,
			StaleReads:   true,
			Seed:         settings.Seed,
		},
		Store:     &timedLease{ports.Lease, n.metrics.ObserveDuration},
		Now:       boottime.Now,
		Candidate: n.fleet.head,
		KeepHeld:  true,
		Log:       log,
	})
	n.placer = placer.New(placer.Options{
		Table:       n.configs.table.Load,
		View:        n.upstreams.view.Load,
		Engines:     ports.Engines,
		Lease:       n.keeper,
		Plan:        settings.Placement,
		ChecksFence: settings.EnginesCheckFence,
		Now:         boottime.Now,
		Log:         log,
		Count:       n.metrics.Add,
		SilentFor:   n.server.SilentFor,
		Restarted:   n.upstreams.restarted,
	})
	n.gauges()
	return n
}

// reasoned is a fault that names itself for a counter.
type reasoned interface{ Reason() string }

// malformed notes an entry that cannot be read. It stands for nothing; the
// others of its list hold.
func (n *Node) malformed(kind string, bad listwatch.Removal) {
	reason := "unreadable"
	var fault reasoned
	if errors.As(bad.Malformed, &fault) {
		reason = fault.Reason()
	}
	n.metrics.Add("malformed."+kind+"."+reason, 1)
	n.log.Error().Str("event", "object_malformed").Str("kind", kind).Str("name", bad.Name).Int64("revision", bad.Revision).
		Str("reason", reason).AnErr("error", bad.Malformed).Send()
}

// Ready reports whether callers may be sent here.
func (n *Node) Ready() bool {
	select {
	case <-n.known:
		return !n.stopping.Load()
	default:
		return false
	}
}

// awaitFirst waits until the first configuration and directory are there.
func (n *Node) awaitFirst(ctx context.Context) {
	for {
		changed := n.news.next()
		if n.configs.table.Load() != nil && n.upstreams.view.Load().Revision > 0 {
			close(n.known)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// UpdateSince implements relay.Source.
func (n *Node) UpdateSince(ctx context.Context, have relay.UpdateRequest) relay.Update {
	timer := time.NewTimer(time.Duration(have.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := n.news.next()
		news := n.newsFor(have)
		if news.Config != nil || news.Packed != nil || news.Revision > 0 || news.Members != nil || news.Disconnected || have.WaitMs <= 0 {
			return news
		}
		select {
		case <-changed:
		case <-timer.C:
			return n.newsFor(have)
		case <-ctx.Done():
			return news
		}
	}
}

// newsFor gives what is newer than a peer's now.
func (n *Node) newsFor(have relay.UpdateRequest) relay.Update {
	news := relay.Update{ConfigRevision: n.configs.revision.Load()}
	n.fleet.tell(&news, have.Members)
	now := boottime.Now()
	if have.Want != relay.WantUpstreams {
		news.RecordAge(n.configs.age(now))
		news.Disconnected = n.configs.lost.Load()
		if newest := n.configs.newest.Load(); newest != nil && newest.config.Version > have.ConfigVersion {
			newest.tell(&news, have.AcceptsPacked)
		}
	}
	if have.Want == relay.WantConfig {
		return news
	}
	news.RecordAge(n.upstreams.age(now))
	news.Disconnected = news.Disconnected || n.upstreams.lost.Load()
	n.upstreams.tell(&news, have)
	return news
}

// listeners are the sockets of a node.
type listeners struct {
	callers, ready, peers, metrics net.Listener
}

// listen opens all sockets, so that a node that cannot serve does not start.
func (n *Node) listen(ctx context.Context) (*listeners, error) {
	config := net.ListenConfig{Control: upconn.SetUserTimeout, KeepAlive: -1}
	l := &listeners{}
	for _, one := range []struct {
		to      *net.Listener
		address string
	}{
		{&l.callers, n.settings.CallerAddr},
		{&l.ready, n.settings.ReadyAddr},
		{&l.peers, n.settings.PeerAddr},
		{&l.metrics, n.settings.MetricsAddr},
	} {
		if one.address == "" {
			continue
		}
		var err error
		if *one.to, err = config.Listen(ctx, "tcp", one.address); err != nil {
			return nil, &ListenError{Address: one.address, Cause: err}
		}
	}
	return l, nil
}

// ListenError tells that a socket could not be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Run serves until ctx ends, and then stops as planned: callers' answers under
// way are finished within the grace. Calls of other duties may still be under
// way then; the process is expected to exit. The error is a *ListenError.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen(ctx)
	if err != nil {
		return err
	}
	n.log.Info().Str("event", "started").Str("vm", string(n.settings.VM)).Str("zone", string(n.settings.Zone)).
		Str("callers", n.settings.CallerAddr).Send()
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	n.start(work, l)
	<-ctx.Done()
	n.stop(work, l)
	return nil
}

// start begins all duties, a goroutine each.
func (n *Node) start(ctx context.Context, l *listeners) {
	n.serveReady(l.ready)
	if l.metrics != nil {
		n.serveMetrics(l.metrics)
	}
	// Ends when its listener is closed, at the stop.
	go func() { _ = relay.Serve(ctx, l.peers, n) }()
	go func() { _ = n.server.Serve(ctx, l.callers) }()
	go n.awaitFirst(ctx)
	go n.follow(ctx)
	go n.followUpstreams(ctx)
	go n.upstreams.expire(ctx)
	go n.peers.run(ctx)
	go n.probe.run(ctx)
	go n.tellVerdicts(ctx)
	go n.tellCalls(ctx)
	go n.keeper.Run(ctx)
	go n.placer.Run(ctx)
}

// Names of the collections in logs.
const (
	configuration        = "configuration"
	directoryOfUpstreams = "upstreams"
)

// follow follows the configuration.
func (n *Node) follow(ctx context.Context) {
	options := listwatch.Options{Name: configuration, Log: n.log, Seed: n.settings.Seed}
	listwatch.New(n.sharedConfigs(), n.configs, options).Run(ctx)
}

// followUpstreams follows the directory.
func (n *Node) followUpstreams(ctx context.Context) {
	options := listwatch.Options{Name: directoryOfUpstreams, Log: n.log, Seed: n.settings.Seed + 1}
	listwatch.New(n.sharedUpstreams(), n.upstreams, options).Run(ctx)
}

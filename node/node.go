// Package node runs one mimosaarch node. A decision loop owns the router, and
// further goroutines do the I/O: callers, operators, peers, the platform and
// the engines. They exchange events and commands with the loop through bounded
// ring buffers.
package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/adapter/caller"
	"mimosaarch.example/adapter/configfeed"
	"mimosaarch.example/adapter/orders"
	"mimosaarch.example/adapter/peer"
	"mimosaarch.example/adapter/peer/identity"
	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/adapter/ring"
	"mimosaarch.example/adapter/upstream"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
	"mimosaarch.example/node/record"
	"mimosaarch.example/node/settings"
	"mimosaarch.example/node/telemetry"
)

// eventCapacity is the maximum number of events queued for the decision loop.
const eventCapacity = 8192

// extraWorkers is the number of pool workers for polls and cancellations, in
// addition to one worker per request.
const extraWorkers = 64

// Node is a running node. Create it with Start and end it with Shutdown or
// Close.
type Node struct {
	settings  settings.Settings
	log       zerolog.Logger
	telemetry *telemetry.Telemetry
	records   *record.History

	// events is the input queue of the decision loop.
	events   *ring.Ring[router.Event]
	router   *router.Router
	calls    *calls
	attempts *attempts
	pool     pond.Pool
	runner   *upstream.Runner
	epochs   *upstream.Epochs
	platform *platform.Client
	feed     *configfeed.Feed
	claims   claimCommitter
	orders   *orders.Controller
	callers  *caller.Server
	operator *operatorServer
	// identity is nil without TLS settings, and peers is nil without a peer
	// address.
	identity *identity.Identity
	peers    *peer.Service
	digests  *ring.Ring[router.Digest]
	statuses *ring.Ring[router.Status]
	// statusMu serializes status requests, because statuses holds a single
	// answer.
	statusMu sync.Mutex
	polls    *fleetPoller
	newID    func() ids.Request

	callerListener net.Listener

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
	// loopState is the state that the decision loop last published to other
	// goroutines.
	loopState atomic.Pointer[loopState]
	// selfEvents holds events that the decision loop creates itself. Only the
	// loop accesses it.
	selfEvents []router.Event
}

// loopState is the state of the decision loop that other goroutines may read.
type loopState struct {
	requests int
	ready    bool
}

// Start starts a node and returns without waiting for it to be ready. The error
// is a *ListenError, *peer.ListenError, *identity.FileError or
// *platform.AddressError. After an error no goroutine or listener is left.
func Start(s settings.Settings, log zerolog.Logger) (*Node, error) {
	n := newNode(s, log)
	if err := n.newPlatformClients(); err != nil {
		n.stop()
		return nil, err
	}
	if err := n.openPorts(); err != nil {
		n.stop()
		return nil, err
	}
	n.startTasks()
	return n, nil
}

// newNode creates the parts of a node that need no network address.
func newNode(s settings.Settings, log zerolog.Logger) *Node {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		settings:  s,
		log:       log.With().Str("vm", s.VM).Logger(),
		telemetry: telemetry.New(),
		records:   record.New(s.Records),
		events:    ring.New[router.Event]("events", eventCapacity),
		digests:   ring.New[router.Digest]("shared", 1),
		statuses:  ring.New[router.Status]("shown", 1),
		calls:     newCalls(),
		attempts:  newAttempts(),
		pool:      pond.NewPool(s.MaxRequests + extraWorkers),
		newID:     requestIDGenerator(s.VM),
		ctx:       ctx,
		stop:      stop,
	}
	n.router = router.New(router.Options{
		VM:          ids.VM(s.VM),
		Zone:        ids.Zone(s.Zone),
		MaxRequests: s.MaxRequests,
		Seed:        randomSeed(),
	})
	n.epochs = upstream.NewEpochs(upstream.DefaultEpochCapacity)
	n.runner = upstream.New(upstream.Options{
		Epochs:     n.epochs,
		CountStale: func(count int) { n.telemetry.Add("stale_tokens", int64(count)) },
		Log:        n.log,
	})
	n.loopState.Store(&loopState{})
	return n
}

// newPlatformClients loads the TLS identity and creates the platform client and
// the components that use it.
func (n *Node) newPlatformClients() error {
	if err := n.loadIdentity(); err != nil {
		return err
	}
	client, err := platform.New(platform.Settings{
		Addresses: n.settings.Platform,
		OnCall:    n.countPlatformCall,
	})
	if err != nil {
		return err
	}
	n.platform = client
	n.feed = n.newFeed(client)
	n.claims = n.newClaims(client)
	n.polls = newFleetPoller(n)
	n.orders = n.newOrders(client)
	return nil
}

// countPlatformCall counts a call to the platform and its failure, by kind.
func (n *Node) countPlatformCall(kind platform.Kind, err error) {
	n.telemetry.Add("platform."+kind.String(), 1)
	if err != nil {
		n.telemetry.Add("platform_failed."+kind.String(), 1)
	}
}

// openPorts opens the caller, operator and peer ports. After an error none of
// them is open.
func (n *Node) openPorts() error {
	listener, err := listen(n.settings.Listen.Callers)
	if err != nil {
		return err
	}
	n.callerListener = listener
	n.callers = caller.New(caller.Options{
		Admitter:       n,
		Ready:          n.Ready,
		NewID:          n.newID,
		MaxBodyBytes:   n.settings.MaxBodyBytes,
		MaxConnections: n.settings.MaxConnections,
		MaxHeldBytes:   int64(n.settings.MaxHeldBytes),
		Metrics:        n.telemetry,
		Count:          n.telemetry.CountRefusal,
		Log:            n.log,
	})
	n.telemetry.Gauge("intake.held_bytes", func() int64 {
		bytes, _ := n.callers.Held()
		return bytes
	})
	n.telemetry.Gauge("intake.connections", func() int64 {
		_, connections := n.callers.Held()
		return int64(connections)
	})
	n.operator, err = newOperatorServer(n)
	if err != nil {
		_ = listener.Close()
		return err
	}
	n.peers, err = n.newPeers()
	if err != nil {
		_ = listener.Close()
		n.operator.close()
		return err
	}
	return nil
}

// startTasks starts the background tasks, one goroutine each.
func (n *Node) startTasks() {
	n.startTask("decisions", n.runDecisionLoop)
	n.startTask("callers", func() { n.logServerError("callers", n.callers.Serve(n.callerListener)) })
	n.startTask("operators", func() { n.logServerError("operators", n.operator.serve()) })
	n.startTask("config", func() { n.feed.Run(n.ctx) })
	n.startTask("claims", func() { n.claims.Run(n.ctx) })
	n.startTask("orders", func() { n.orders.Run(n.ctx) })
	n.startTask("vms", n.polls.runVMList)
	n.startTask("loads", n.polls.runLoads)
	if n.peers != nil {
		n.startTask("peers", func() { n.peers.Run(n.ctx) })
	}
	n.log.Info().
		Str("callers", n.CallerAddr()).
		Str("operators", n.OperatorAddr()).
		Str("peers", n.PeerAddr()).
		Str("zone", n.settings.Zone).
		Msg("node started")
}

// startTask runs a background task in its own goroutine.
func (n *Node) startTask(name string, run func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		run()
		n.log.Debug().Str("duty", name).Msg("duty ended")
	}()
}

// logServerError logs the error of a server that ended while the node was
// running.
func (n *Node) logServerError(name string, err error) {
	if err != nil && n.ctx.Err() == nil {
		n.log.Error().Err(err).Str("duty", name).Msg("server failed")
	}
}

// CallerAddr returns the address of the caller port, as IP:port.
func (n *Node) CallerAddr() string { return n.callerListener.Addr().String() }

// OperatorAddr returns the address of the operator port, as IP:port.
func (n *Node) OperatorAddr() string { return n.operator.addr() }

// PeerAddr returns the address of the peer port, or an empty string if the node
// runs without peers.
func (n *Node) PeerAddr() string {
	if n.peers == nil {
		return ""
	}
	return n.peers.Addr()
}

// Admit implements caller.Admitter. It queues the request for the decision loop, or
// refuses it at once if the event ring is full.
func (n *Node) Admit(ev router.RequestArrived, cl *call.Call) *outcome.Error {
	n.calls.add(cl)
	if err := n.events.Offer(ev); err != nil {
		n.calls.remove(ev.ID)
		n.telemetry.CountRefusal(outcome.RingFull)
		return outcome.Refuse(outcome.RingFull, err.Error(), ringFullRetryAfter)
	}
	return nil
}

// ringFullRetryAfter is the retry delay sent to a caller whose request was
// refused because the event ring was full.
const ringFullRetryAfter = time.Second

// CallerGone implements caller.Admitter. It reports to the decision loop that the caller
// of a request disconnected.
func (n *Node) CallerGone(id ids.Request) {
	if cl := n.calls.get(id); cl != nil {
		cl.MarkCallerGone()
	}
	n.postEvent(router.CallerGone{ID: id})
}

// postEvent queues an event for the decision loop and blocks while the queue is
// full, unless the node stops. The loop itself must use queueSelfEvent, as it
// would wait for itself here.
func (n *Node) postEvent(ev router.Event) {
	if err := n.events.Put(n.ctx, ev); err != nil {
		n.telemetry.CountError("event_after_stop")
	}
}

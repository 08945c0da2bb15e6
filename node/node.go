// Package node runs one mimosaarch node: the decision loop and the duties
// around it, each a goroutine of its own, joined by bounded rings.
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

// eventCapacity is the most events that wait for the decision loop.
const eventCapacity = 8192

// extraWorkers are the pool's workers beside one for each request held.
const extraWorkers = 64

// Node is one running node. Make it with Start.
type Node struct {
	settings  settings.Settings
	log       zerolog.Logger
	telemetry *telemetry.Telemetry
	records   *record.History

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
	// identity and peers are nil in a node that has none.
	identity *identity.Identity
	peers    *peer.Service
	digests  *ring.Ring[router.Digest]
	statuses *ring.Ring[router.Status]
	// statusMu lets one question for the status wait at a time.
	statusMu sync.Mutex
	polls    *fleetPoller
	newID    func() ids.Request

	callerListener net.Listener

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
	// loopState is what the loop last showed of itself to other goroutines.
	loopState atomic.Pointer[loopState]
	// selfEvents holds events that the loop tells itself; only it touches them.
	selfEvents []router.Event
}

// loopState is what is shown of the decision loop.
type loopState struct {
	requests int
	ready    bool
}

// Start starts a node. Its errors are typed: *ListenError, *peer.ListenError,
// *identity.FileError or *platform.AddressError. Nothing is left running after
// one.
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

// newNode makes the parts that need no address.
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

// newPlatformClients makes the clients of the platform.
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

// countPlatformCall counts a call of the platform by kind and result.
func (n *Node) countPlatformCall(kind platform.Kind, err error) {
	n.telemetry.Add("platform."+kind.String(), 1)
	if err != nil {
		n.telemetry.Add("platform_failed."+kind.String(), 1)
	}
}

// openPorts opens the node's ports.
func (n *Node) openPorts() error {
	listener, err := listen(n.settings.Listen.Callers)
	if err != nil {
		return err
	}
	n.callerListener = listener
	n.callers = caller.New(caller.Options{
		Admitter:     n,
		Ready:        n.Ready,
		NewID:        n.newID,
		MaxBodyBytes: n.settings.MaxBody,
		Count:        n.telemetry.CountRefusal,
		Log:          n.log,
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

// startTasks starts a goroutine for each duty.
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

// startTask runs one startTask in a goroutine of its own.
func (n *Node) startTask(name string, run func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		run()
		n.log.Debug().Str("duty", name).Msg("duty ended")
	}()
}

// logServerError logs the end of a server that was not asked to end.
func (n *Node) logServerError(name string, err error) {
	if err != nil && n.ctx.Err() == nil {
		n.log.Error().Err(err).Str("duty", name).Msg("server failed")
	}
}

// CallerAddr is the address callers use.
func (n *Node) CallerAddr() string { return n.callerListener.Addr().String() }

// OperatorAddr is the address of the operator port.
func (n *Node) OperatorAddr() string { return n.operator.addr() }

// PeerAddr is the address for peers; empty when the node stands alone.
func (n *Node) PeerAddr() string {
	if n.peers == nil {
		return ""
	}
	return n.peers.Addr()
}

// Admit implements caller.Admitter: it hands a request to the decision loop, or
// refuses it at once when the loop's ring is full.
func (n *Node) Admit(ev router.RequestArrived, work *call.Call) *outcome.Error {
	n.calls.add(work)
	if err := n.events.Offer(ev); err != nil {
		n.calls.remove(ev.ID)
		n.telemetry.CountRefusal(outcome.RingFull)
		return outcome.Refuse(outcome.RingFull, err.Error(), ringFullRetryAfter)
	}
	return nil
}

// ringFullRetryAfter is when to come back after a full ring.
const ringFullRetryAfter = time.Second

// CallerGone implements caller.Admitter: the caller of a request went away.
func (n *Node) CallerGone(id ids.Request) {
	if work := n.calls.get(id); work != nil {
		work.MarkCallerGone()
	}
	n.postEvent(router.CallerGone{ID: id})
}

// postEvent hands an event to the decision loop, waiting for room while the node
// runs. The loop itself must use later.
func (n *Node) postEvent(ev router.Event) {
	if err := n.events.Put(n.ctx, ev); err != nil {
		n.telemetry.CountError("event_after_stop")
	}
}

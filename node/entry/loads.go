package entry

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"mimosaarch.example/adapter/datagram"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/fnvhash"
	"mimosaarch.example/decide/load"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
)

// loadExchange exchanges the load of engines with the other nodes, and passes what they tell
// on to the server. It implements load.Output. Its methods are safe for concurrent use,
// except those of load.Output.
type loadExchange struct {
	node *Node

	mu       sync.Mutex
	exchange *load.Exchange
	// members holds the nodes by name, and names their names by address.
	members map[ids.VM]roster.Member
	names   map[netip.AddrPort]ids.VM
	unknown int64

	// The fields below are used by round alone.

	// digest is that of the list of nodes, which has this number of shards and is large
	// enough if enabled.
	digest  uint64
	shards  int
	enabled bool
	// index holds the engines of view and table.
	index *load.Index
	view  *directory.View
	table *routing.Table
	// counts and engines are buffers that are reused.
	counts  []load.EngineCounts
	engines []load.Engine
	// usable is the state that was logged at loggedAt.
	usable   bool
	loggedAt time.Time
}

// newLoadExchange returns the exchange of a node that knows no other node yet.
func newLoadExchange(n *Node) *loadExchange {
	self := load.Node{Name: n.settings.VM, Zone: n.settings.Zone}
	exchange := load.NewExchange(self, uint64(time.Now().UnixMilli()))
	if nodes := n.settings.LoadExchangeNodes; nodes > 0 {
		exchange.SetMinNodes(nodes)
	}
	return &loadExchange{node: n, exchange: exchange, index: load.NewIndex(nil, 1, n.settings.Zone)}
}

// handle registers the handlers of messages.
func (l *loadExchange) handle(s *datagram.Socket) {
	s.Handle(datagram.EngineCounts, l.receive)
	s.Handle(datagram.EngineSums, l.receive)
}

// run sends this node's counts once per load.RoundInterval until ctx ends. The nodes begin
// at different times, so that their messages do not arrive together.
func (l *loadExchange) run(ctx context.Context) {
	every.Sleep(ctx, time.Duration(fnvhash.Fraction(l.node.settings.Seed)*float64(load.RoundInterval)))
	every.Do(ctx, load.RoundInterval, l.round)
}

// round updates the list of nodes and the directory, and sends this node's counts. It must
// not be called by two goroutines at a time.
func (l *loadExchange) round() {
	defer l.node.processor.Begin("load.round")()
	l.updateNodes()
	l.updateEngines()
	if !l.enabled {
		return
	}
	l.counts = l.node.server.AppendEngineCounts(l.counts[:0])
	l.send()
	l.logStatus()
}

// send sends this node's counts.
func (l *loadExchange) send() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchange.Round(boottime.Now(), l.counts, l)
	l.countUnknown()
}

// updateNodes applies a changed list of nodes.
func (l *loadExchange) updateNodes() {
	members, digest := l.node.fleet.memberList()
	if l.members != nil && digest == l.digest {
		return
	}
	byName, names := make(map[ids.VM]roster.Member, len(members)), make(map[netip.AddrPort]ids.VM, len(members))
	nodes := make([]load.Node, 0, len(members))
	for _, m := range members {
		if addr, err := netip.ParseAddrPort(m.PeerAddress); err == nil {
			byName[m.Name], names[addr] = m, m.Name
			nodes = append(nodes, load.Node{Name: m.Name, Zone: m.Zone})
		}
	}
	l.digest, l.shards = digest, load.ShardCount(nodes)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members, l.names = byName, names
	l.exchange.SetNodes(nodes)
	l.enabled = l.exchange.Enabled()
}

// updateEngines applies a changed directory or number of shards. Small fleets have no engines
// here, so that the server uses its own requests only. The Index is built without the lock,
// as that takes milliseconds at thousands of engines.
func (l *loadExchange) updateEngines() {
	view, table := l.node.upstreams.view.Load(), l.node.configs.table.Load()
	if view == l.view && table == l.table && l.shards == l.index.Shards() && l.enabled == (l.index.Len() > 0) {
		return
	}
	l.view, l.table = view, table
	l.engines = l.engines[:0]
	if l.enabled {
		l.engines = appendLayered(l.engines, view, table)
	}
	if l.shards == l.index.Shards() && l.index.Holds(l.engines) {
		return
	}
	l.index = load.NewIndex(l.engines, l.shards, l.node.settings.Zone)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchange.SetIndex(l.index)
	l.node.server.SetLoadIndex(l.index)
}

// appendLayered appends the engines of all services with a layered model.
func appendLayered(out []load.Engine, view *directory.View, table *routing.Table) []load.Engine {
	if table == nil {
		return out
	}
	for _, name := range table.ServiceNames() {
		if table.Service(name).Model == nil {
			continue
		}
		for _, u := range view.ByService(name) {
			out = append(out, load.Engine{ID: u.ID, Zone: u.Zone})
		}
	}
	return out
}

// receive applies a message and counts it. Messages that do not come from the address of a listed
// node, and malformed ones, are counted and dropped.
func (l *loadExchange) receive(from netip.AddrPort, payload []byte) {
	defer l.node.processor.Begin("load.receive")()
	l.mu.Lock()
	defer l.mu.Unlock()
	name := l.names[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	err := l.exchange.Receive(boottime.Now(), name, payload, l)
	if err == nil {
		l.node.metrics.Add("load_view.applied", 1)
		return
	}
	reason := "malformed"
	var dropped *load.DropError
	if errors.As(err, &dropped) {
		reason = dropped.Reason
	}
	l.node.metrics.Add("load_view.dropped."+reason, 1)
}

// SendCounts implements load.Output.
func (l *loadExchange) SendCounts(to ids.VM, payload []byte) {
	l.node.sendDatagram(l.members[to], datagram.EngineCounts, payload)
}

// SendSums implements load.Output.
func (l *loadExchange) SendSums(to ids.VM, payload []byte) {
	l.node.sendDatagram(l.members[to], datagram.EngineSums, payload)
}

// Apply implements load.Output.
func (l *loadExchange) Apply(s *load.Sums) { l.node.server.ApplyLoad(s) }

// countUnknown counts the entries about engines that the directory does not have.
func (l *loadExchange) countUnknown() {
	if unknown := l.exchange.Unknown(); unknown != l.unknown {
		l.node.metrics.Add("load_view.unknown_engines", unknown-l.unknown)
		l.unknown = unknown
	}
}

// loadStatusLogInterval is the shortest time between two log lines of the state of the view.
const loadStatusLogInterval = 5 * time.Second

// logStatus counts and logs whether the load of the other nodes has become known or is no
// longer. Changes that are undone within loadStatusLogInterval are not logged.
func (l *loadExchange) logStatus() {
	now := boottime.Now()
	status := l.node.server.LoadStatus()
	usable := status.Usable()
	if usable == l.usable || now.Sub(l.loggedAt) < loadStatusLogInterval {
		return
	}
	l.usable, l.loggedAt = usable, now
	counter := "load_view.lost"
	if usable {
		counter = "load_view.became_usable"
	}
	l.node.metrics.Add(counter, 1)
	l.node.log.Info().Str("event", "load_view").Bool("usable", usable).Int("shards", status.Shards).Int("known", status.Known).
		Int("nodes_heard", status.Heard).Dur("age_ms", status.Age).Send()
}

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/every"
)

// Times of the duty.
const (
	// membersEvery is the time between two reads of the list of nodes.
	membersEvery = 10 * time.Second
	// startEvery is the same in the first startFor, while others join too.
	startEvery = time.Second
	startFor   = 3 * time.Second
	// joinRetry is the wait after the own entry could not be written.
	joinRetry = 500 * time.Millisecond
	// askEvery is the time between two questions to peers while the store
	// does not answer. A configuration must be in force within two seconds of
	// its acceptance, and a peer may be dead or behind.
	askEvery = 200 * time.Millisecond
)

// peers knows the other nodes, and asks them while the store does not answer.
type peers struct {
	settings Settings
	members  Members
	node     *Node
	log      zerolog.Logger
	rand     *rand.Rand

	known     []Member
	joined    bool
	startedAt time.Time
	joinAt    time.Time
	listedAt  time.Time
}

// newPeers makes the duty.
func newPeers(s Settings, members Members, n *Node, log zerolog.Logger) *peers {
	return &peers{settings: s, members: members, node: n, log: log, rand: rand.New(rand.NewPCG(s.Seed, seedStream))}
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x7065657273

// run works until ctx ends.
func (p *peers) run(ctx context.Context) {
	p.startedAt = time.Now()
	// Callers may come at once, and the fleet's size bounds what is sent.
	p.list(ctx)
	every.Do(ctx, askEvery, func() { p.turn(ctx) })
}

// turn does what is due.
func (p *peers) turn(ctx context.Context) {
	now := time.Now()
	lost := p.node.configs.lost.Load() || p.node.upstreams.lost.Load()
	switch {
	case lost:
		p.ask(ctx)
	case !p.joined && now.Sub(p.joinAt) >= joinRetry:
		p.joinAt = now
		p.join(ctx)
	case now.Sub(p.listedAt) >= p.listWait():
		p.list(ctx)
	}
}

// listWait is the time between two reads of the list: short until the own entry
// is in it, as all nodes join when the fleet starts.
func (p *peers) listWait() time.Duration {
	if len(p.known) == 0 || time.Since(p.startedAt) < startFor {
		return startEvery
	}
	return membersEvery
}

// join enters the own node in the list.
func (p *peers) join(ctx context.Context) {
	err := p.members.Join(ctx, Member{Name: p.settings.VM, Zone: p.settings.Zone, Peer: p.settings.Peers})
	if err != nil {
		p.log.Info().Str("event", "join_failed").Err(err).Send()
		return
	}
	p.joined = true
}

// list reads the list of nodes.
func (p *peers) list(ctx context.Context) {
	p.listedAt = time.Now()
	list, err := p.members.List(ctx)
	if err != nil {
		p.log.Info().Str("event", "members_unread").Err(err).Send()
		return
	}
	for _, bad := range list.Malformed {
		p.node.malformed("node", bad)
	}
	members := list.Items
	if len(members) != len(p.known) {
		p.log.Info().Str("event", "members").Int("nodes", len(members)).Send()
	}
	p.known = members
	p.node.watchers.set(members)
	p.node.server.SetNodes(len(members))
}

// ask asks one other node for its news.
func (p *peers) ask(ctx context.Context) {
	peer := p.pick()
	if peer == "" {
		return
	}
	have := relay.Have{ConfigVersion: p.node.configs.version(), Revision: p.node.upstreams.view.Load().Revision}
	news, err := relay.Ask(ctx, peer, have)
	if err != nil {
		p.log.Debug().Str("event", "peer_silent").Err(err).Send()
		return
	}
	if news.Config != nil {
		p.node.configs.offer(news.Config, "peer")
	}
	if news.Revision > have.Revision {
		p.node.upstreams.merge(news)
	}
}

// pick draws an address of another node; empty if none is known.
func (p *peers) pick() string {
	var addresses []string
	for _, m := range p.known {
		if m.Name != p.settings.VM && m.Peer != "" {
			addresses = append(addresses, m.Peer)
		}
	}
	for _, seed := range p.settings.Seeds {
		if seed != p.settings.Peers {
			addresses = append(addresses, seed)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[p.rand.IntN(len(addresses))]
}

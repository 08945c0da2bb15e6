package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/backoff"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/roster"
)

// Times of the duty.
const (
	// membersEvery is the time between two reads of the list of nodes by those that
	// watch the store; all others learn it from them.
	membersEvery = 5 * time.Second
	// startEvery is the same for every node until it knows whom to learn from, and
	// for those that watch the store in the first startFor, while others join too.
	// A node that starts alone goes by the list as it is after startFor.
	startEvery = time.Second
	startFor   = 3 * time.Second
	// joinedAfter is the wait between the own entry and the next read: nodes that
	// start together do so within 0.3 s.
	joinedAfter = 500 * time.Millisecond
	// joinRetry is the wait after the own entry could not be written; it doubles up
	// to joinRetryMost.
	joinRetry     = 500 * time.Millisecond
	joinRetryMost = 4 * time.Second
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

	joined    bool
	startedAt time.Time
	// joinAt and listAt are when the next call is due.
	joinAt, listAt time.Time
	joinFails      int
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
	settled := p.node.fleet.isSettled()
	if !settled && now.Sub(p.startedAt) >= startFor {
		p.node.fleet.goOn()
	}
	switch {
	case p.node.configs.lost.Load() || p.node.upstreams.lost.Load():
		p.ask(ctx)
	case !p.joined && !now.Before(p.joinAt):
		p.join(ctx)
	case (!settled || p.node.fleet.watches()) && !now.Before(p.listAt):
		p.list(ctx)
	}
}

// join enters the own node in the list.
func (p *peers) join(ctx context.Context) {
	err := p.members.Join(ctx, roster.Member{Name: p.settings.VM, Zone: p.settings.Zone, PeerAddress: p.settings.PeerAddr})
	if err != nil {
		p.log.Info().Str("event", "join_failed").Err(err).Send()
		p.joinAt = time.Now().Add(backoff.Exponential(joinRetry, joinRetryMost, p.joinFails))
		p.joinFails++
		return
	}
	p.joined = true
	p.listAt = time.Now().Add(joinedAfter)
}

// list reads the list of nodes.
func (p *peers) list(ctx context.Context) {
	p.listAt = time.Now().Add(p.listWait())
	list, err := p.members.List(ctx)
	if err != nil {
		p.log.Info().Str("event", "members_unread").Err(err).Send()
		return
	}
	for _, bad := range list.Malformed {
		p.node.malformed("node", bad)
	}
	p.node.fleet.set(list.Items, list.Revision)
}

// listWait is the time between two reads of the list.
func (p *peers) listWait() time.Duration {
	if time.Since(p.startedAt) < startFor {
		return startEvery
	}
	return membersEvery
}

// ask asks one other node for its news.
func (p *peers) ask(ctx context.Context) {
	name, peer := p.pick()
	if peer == "" {
		return
	}
	have := p.node.upstreams.have(name)
	have.ConfigVersion, have.Want = p.node.configs.version(), ""
	have.Members = p.node.fleet.have()
	asked := boottime.Now()
	news, err := relay.Fetch(ctx, peer, have)
	if err != nil {
		p.log.Debug().Str("event", "peer_silent").Err(err).Send()
		return
	}
	if news.Members != nil {
		p.node.fleet.set(news.Members, news.MembersRevision)
	}
	if news.Config != nil {
		p.node.configs.offer(news.Config, fromPeer(name, &news, asked))
	}
	if news.Revision > have.Revision {
		p.node.upstreams.merge(name, news, asked)
	}
}

// pick draws another node, with its address; empty if none is known. Seeds have no
// name.
func (p *peers) pick() (ids.VM, string) {
	all := p.node.fleet.others()
	for _, seed := range p.settings.SeedPeers {
		if seed != p.settings.PeerAddr {
			all = append(all, roster.Member{PeerAddress: seed})
		}
	}
	if len(all) == 0 {
		return "", ""
	}
	m := all[p.rand.IntN(len(all))]
	return m.Name, m.PeerAddress
}

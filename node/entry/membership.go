package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/backoff"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/roster"
)

// Intervals and delays of membership.
const (
	// listInterval is the interval between reads of the list of nodes by the
	// nodes that watch the store. All others learn the list from them.
	listInterval = 5 * time.Second
	// startupListInterval replaces listInterval for every node until its roster
	// is ready, and for watchers during startupPeriod, while other nodes may be
	// joining. A node that is not in the list after startupPeriod uses the list
	// as it is.
	startupListInterval = time.Second
	startupPeriod       = 3 * time.Second
	// listDelayAfterJoin is the delay between writing this node's entry and the
	// next read of the list. Nodes that start together join within 0.3 s of
	// each other.
	listDelayAfterJoin = 500 * time.Millisecond
	// joinRetryMin is the delay after a failed attempt to write this node's
	// entry. It doubles with each further failure, up to joinRetryMax.
	joinRetryMin = 500 * time.Millisecond
	joinRetryMax = 4 * time.Second
	// peerFetchInterval is the interval between requests to peers while the
	// store does not answer. A configuration must be active within two seconds
	// of its acceptance, and some of the peers asked may be dead or stale.
	peerFetchInterval = 200 * time.Millisecond
)

// membership keeps this node's entry and the list of nodes current. While this
// node is disconnected from the store, it also requests updates from random
// peers.
type membership struct {
	settings Settings
	members  Members
	node     *Node
	log      zerolog.Logger
	rand     *rand.Rand

	// entryMu is locked while the entry is written. It protects succession, which decides which
	// part of its limits on retries this process grants, and entryAt, the revision of the entry,
	// zero before it was written.
	entryMu    sync.Mutex
	succession *retry.Succession
	entryAt    revision.Revision
	// noticeCh has an item if the process should give notice of its retries, and entryLost is set
	// if the entry was written by another process.
	noticeCh  chan struct{}
	entryLost atomic.Bool
	// recorded is the record of crashes in the entry. entryMu protects it.
	recorded quarantine.Record
	// recordAt is the time before which the entry is not written for another one.
	recordAt time.Time
	// listRead is set once the list was read from the store.
	listRead bool

	joined bool
	// joinedEpoch is the epoch of the store in which the entry was written.
	joinedEpoch int64
	startedAt   time.Time
	// joinAt and listAt are the times at which the next call of each kind is
	// due.
	joinAt, listAt time.Time
	joinFailures   int
	// listDue is set to read the list at the next tick.
	listDue atomic.Bool
}

// newMembership returns a membership that has not joined yet.
func newMembership(s Settings, members Members, n *Node, log zerolog.Logger) *membership {
	m := &membership{settings: s, members: members, node: n, log: log, rand: rand.New(rand.NewPCG(s.Seed, seedStream)), noticeCh: make(chan struct{}, 1)}
	m.succession = retry.NewSuccession(boottime.Now(), retry.SuccessionOptions{
		FirstStart: s.FirstStart, JoinSpread: listInterval + listSpread, FirstJoinSpread: listDelayAfterJoin + peerFetchInterval,
	})
	return m
}

// seedStream is the second half of the random source's seed. It makes the random
// sequence differ from those of other users of the same Seed.
const seedStream = 0x7065657273

// run reads the list of nodes once and then calls tick until ctx ends.
func (m *membership) run(ctx context.Context) {
	m.startedAt = time.Now()
	// Callers may connect at once, and the number of nodes determines this
	// node's share of upstream capacity and of the retry budget.
	m.list(ctx)
	every.Do(ctx, peerFetchInterval, func() { m.tick(ctx) })
}

// listNow makes a node that watches the store read the list at its next tick.
func (m *membership) listNow() { m.listDue.Store(true) }

// tick makes the roster ready when startupPeriod is over, and makes at most one
// call that is due: to a peer while this node is disconnected from the store,
// otherwise to the store.
func (m *membership) tick(ctx context.Context) {
	now := time.Now()
	ready := m.node.fleet.isReady()
	if !ready && now.Sub(m.startedAt) >= startupPeriod {
		m.node.fleet.forceReady()
	}
	m.node.fleet.dropCarried()
	m.checkPredecessor()
	m.checkEntry(now)
	if m.listDue.Swap(false) {
		m.listAt = now
	}
	switch {
	case m.node.configs.disconnected.Load() || m.node.upstreams.disconnected.Load():
		m.fetchFromPeer(ctx)
	case !m.joined && m.listRead && !now.Before(m.joinAt):
		m.join(ctx)
	case m.joined && !now.Before(m.recordAt) && m.recordDue():
		m.writeCrashRecord(ctx)
	case (!ready || !m.listRead || m.node.fleet.isWatcher()) && !now.Before(m.listAt):
		m.list(ctx)
	}
}

// rejoinSpread is the time over which the nodes whose entries the store has lost write
// them again.
const rejoinSpread = time.Second

// checkEntry makes the node write its entry again if the list of a later epoch than that
// of its entry lacks it, or if an update has found another revision of it.
func (m *membership) checkEntry(now time.Time) {
	epoch, lacks := m.node.fleet.listLacks(m.settings.VM)
	if !m.joined || epoch <= m.joinedEpoch && !m.entryLost.Load() {
		return
	}
	m.joinedEpoch = epoch
	if !m.entryLost.Swap(false) && !lacks {
		return
	}
	m.joined, m.joinFailures = false, 0
	m.joinAt = now.Add(time.Duration(m.rand.Int64N(int64(rejoinSpread))))
	m.log.Info().Str("event", "entry_lost").Int64("epoch", epoch).Send()
}

// self returns this node's entry.
func (m *membership) self() roster.Member {
	return roster.Member{Name: m.settings.VM, Zone: m.settings.Zone, PeerAddress: m.settings.PeerAddr}
}

// join writes this node's entry to the list of nodes.
func (m *membership) join(ctx context.Context) {
	err := m.writeEntry(ctx)
	if err != nil {
		m.log.Info().Str("event", "join_failed").Err(err).Send()
		m.joinAt = time.Now().Add(backoff.Exponential(joinRetryMin, joinRetryMax, m.joinFailures))
		m.joinFailures++
		return
	}
	m.joined, m.joinedEpoch = true, m.node.epoch.Load()
	m.listAt = time.Now().Add(listDelayAfterJoin)
}

// list reads the list of nodes from the store.
func (m *membership) list(ctx context.Context) {
	m.listAt = time.Now().Add(m.listWait())
	list, crashes, err := m.members.List(ctx)
	if err != nil {
		m.log.Info().Str("event", "members_unread").Err(err).Send()
		return
	}
	for _, bad := range list.Malformed {
		m.node.reportMalformed("node", bad)
	}
	if !m.listRead || time.Since(m.startedAt) < startupPeriod {
		m.recallVerdicts(crashes)
	}
	m.listRead = true
	m.node.fleet.setMembers(list.Items, list.Revision)
}

// listWait returns the delay until the next read of the list.
func (m *membership) listWait() time.Duration {
	if time.Since(m.startedAt) < startupPeriod {
		return startupListInterval
	}
	return listInterval
}

// fetchFromPeer requests an update from one random peer and applies it.
func (m *membership) fetchFromPeer(ctx context.Context) {
	name, peer := m.pickPeer()
	if peer == "" {
		return
	}
	err := m.node.fetchUpdate(ctx, name, peer, "")
	if err != nil {
		m.log.Debug().Str("event", "peer_silent").Err(err).Send()
	}
	m.node.recordAnswer(ctx, name, err)
}

// pickPeer returns the name and address of a random peer that is not known to be gone, or empty
// strings if there is none. Seed peers have an address only.
func (m *membership) pickPeer() (ids.VM, string) {
	all := m.node.fleet.present()
	for _, seed := range m.settings.SeedPeers {
		if seed != m.settings.PeerAddr {
			all = append(all, roster.Member{PeerAddress: seed})
		}
	}
	if len(all) == 0 {
		return "", ""
	}
	picked := all[m.rand.IntN(len(all))]
	return picked.Name, picked.PeerAddress
}

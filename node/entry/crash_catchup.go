package entry

import (
	"context"
	"time"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/decide/catchup"
)

const (
	// maxCatchUpWait bounds the time for which a node that could serve otherwise waits for
	// what its peers know of crashes. It is shorter than the time that a request may wait for
	// the node to be ready.
	maxCatchUpWait = 800 * time.Millisecond
	// seedPeerDelay is the time from the start after which seed peers are asked if the list of
	// nodes has not arrived. All nodes have the same seed peers.
	seedPeerDelay = 100 * time.Millisecond
	// unlistedInterval is the time between two searches while peers do not have the node in
	// their lists, so that nobody sends it announcements. It is silentInterval if no peer
	// answers.
	unlistedInterval = time.Second
	silentInterval   = 5 * time.Second
	// listSpread is the time until all peers have a list that two of them have.
	listSpread = 2 * time.Second
	// clockInterval is how often the node looks at the clock. After an interval longer than
	// absence it was suspended, and asks its peers what it has missed.
	clockInterval = 500 * time.Millisecond
	absence       = 1500 * time.Millisecond
)

// catchUp asks peers what they know of crashes: at the start, as long as announcements do not
// reach the node, and whenever it may have missed some.
func (c *crashExchange) catchUp(ctx context.Context) {
	found := c.search(ctx)
	close(c.caughtUp)
	var next searchTimes
	next.record(boottime.Now(), found)
	ticker := time.NewTicker(clockInterval)
	defer ticker.Stop()
	last := boottime.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.stale:
			next.record(boottime.Now(), c.search(ctx))
		case <-ticker.C:
			now := boottime.Now()
			if now.Sub(last) > absence || next.due(now) {
				c.missed()
			}
		}
		last = boottime.Now()
	}
}

// searchTimes determines when a node asks its peers again.
type searchTimes struct {
	// at is the time of the next search, zero for none.
	at time.Time
	// listed is true if all peers that answered the latest search have the node in their
	// lists.
	listed bool
}

// record records a search that has just ended.
func (t *searchTimes) record(now time.Time, found searchResult) {
	listedBefore := t.listed
	t.listed = found.answered > 0 && found.unlisted == 0
	switch {
	case found.answered == 0:
		t.at = now.Add(silentInterval)
	case !t.listed:
		t.at = now.Add(unlistedInterval)
	case !listedBefore:
		t.at = now.Add(listSpread)
	default:
		t.at = time.Time{}
	}
}

// due reports whether the next search is due.
func (t *searchTimes) due(now time.Time) bool { return !t.at.IsZero() && !now.Before(t.at) }

// searchResult tells how the peers have answered a search.
type searchResult struct {
	// answered is the number of peers that have answered, unlisted that of those that do not
	// have this node in their lists.
	answered, unlisted int
	// reports and verdicts are the numbers of those that the answers contained.
	reports, verdicts int
}

// peerAnswer is the answer of a peer to a search, or err.
type peerAnswer struct {
	known relay.CrashKnowledge
	err   error
}

// search asks peers what they know, and applies it. It returns when enough of them have
// answered, or none is left to ask.
func (c *crashExchange) search(ctx context.Context) searchResult {
	start := boottime.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := catchup.New(c.node.settings.Seed^uint64(start.UnixNano()), c.isStarting())
	found := c.runSearch(ctx, s)
	counts := s.Counts()
	if counts.Asked == 0 && !c.isStarting() {
		return found
	}
	c.node.log.Info().Str("event", "crash_knowledge").Int("asked", counts.Asked).Int("current", counts.Current).Int("starting", counts.Starting).
		Int("unlisted", found.unlisted).Int("reports", found.reports).Int("verdicts", found.verdicts).
		Dur("took_ms", boottime.Now().Sub(start)).Dur("up_ms", c.node.uptime()).Send()
	return found
}

// runSearch makes the calls of a search until it is done or ctx ends.
func (c *crashExchange) runSearch(ctx context.Context, s *catchup.Search) searchResult {
	var found searchResult
	answers := make(chan peerAnswer, catchup.MaxCalls)
	firstList, seedsDue := c.node.fleet.firstList(), time.After(seedPeerDelay)
	for ctx.Err() == nil {
		select {
		case <-firstList:
			firstList, seedsDue = nil, nil
			s.Add(c.listedPeers()...)
			s.Complete()
		default:
		}
		c.ask(ctx, s, answers)
		if s.Done() {
			return found
		}
		select {
		case <-firstList:
		case <-seedsDue:
			s.Add(c.seedPeers()...)
		case a := <-answers:
			c.recordAnswer(s, a, &found)
		case <-ctx.Done():
		}
	}
	return found
}

// ask starts the calls of a search that are due.
func (c *crashExchange) ask(ctx context.Context, s *catchup.Search, answers chan<- peerAnswer) {
	self := relay.CrashKnowledgeRequest{VM: c.node.settings.VM, PeerAddress: c.node.settings.PeerAddr}
	for address, ok := s.Next(); ok; address, ok = s.Next() {
		go func() {
			known, err := relay.FetchCrashKnowledge(ctx, address, self)
			answers <- peerAnswer{known, err}
		}()
	}
}

// recordAnswer applies what a peer knows, and adds it to the result of a search.
func (c *crashExchange) recordAnswer(s *catchup.Search, a peerAnswer, found *searchResult) {
	if a.err != nil {
		c.node.log.Debug().Str("event", "peer_silent").Err(a.err).Send()
		s.RecordFailure()
		return
	}
	s.RecordAnswer(a.known.Starting)
	found.answered++
	if a.known.Unlisted {
		found.unlisted++
	}
	found.reports += len(a.known.Reports)
	found.verdicts += len(a.known.Verdicts)
	for _, r := range a.known.Reports {
		c.node.ApplyCrashReport(r)
	}
	for _, v := range a.known.Verdicts {
		c.node.ApplyVerdict(v)
	}
}

// listedPeers returns the peers of the list of nodes.
func (c *crashExchange) listedPeers() []catchup.Peer {
	var peers []catchup.Peer
	for _, m := range c.node.fleet.others() {
		peers = append(peers, catchup.Peer{Address: m.PeerAddress, SameZone: m.Zone == c.node.settings.Zone})
	}
	return peers
}

// seedPeers returns the peers of the settings, without this node.
func (c *crashExchange) seedPeers() []catchup.Peer {
	var peers []catchup.Peer
	for _, address := range c.node.settings.SeedPeers {
		if address != c.node.settings.PeerAddr {
			peers = append(peers, catchup.Peer{Address: address})
		}
	}
	return peers
}

// awaitCaughtUp waits until the node knows what its peers do of crashes, until maxCatchUpWait
// or the end of ctx. It reports whether the node knows.
func (c *crashExchange) awaitCaughtUp(ctx context.Context) bool {
	timer := time.NewTimer(maxCatchUpWait)
	defer timer.Stop()
	select {
	case <-c.caughtUp:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// isStarting reports whether the node may lack what its peers know.
func (c *crashExchange) isStarting() bool {
	select {
	case <-c.caughtUp:
		return false
	default:
		return true
	}
}

// CrashKnowledge implements relay.Source.
func (n *Node) CrashKnowledge(req relay.CrashKnowledgeRequest) relay.CrashKnowledge {
	reports, verdicts := n.server.CrashKnowledge()
	return relay.CrashKnowledge{Reports: reports, Verdicts: verdicts, Starting: n.crashes.isStarting(), Unlisted: !n.fleet.contains(req.VM, req.PeerAddress)}
}

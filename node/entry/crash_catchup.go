package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/decide/roster"
)

const (
	// knowledgePeers is how many peers a node asks for what they know of crashes, because
	// one of them may have started as well.
	knowledgePeers = 2
	// maxKnowledgeAttempts bounds the peers that are asked until knowledgePeers have
	// answered.
	maxKnowledgeAttempts = 8
	// clockInterval is how often the node looks at the clock. After an interval longer than
	// absence it was suspended, and asks its peers what it has missed.
	clockInterval = 500 * time.Millisecond
	absence       = 1500 * time.Millisecond
)

// catchUp asks peers what they know of crashes once the list of nodes is known, and whenever
// the node may have missed announcements.
func (c *crashExchange) catchUp(ctx context.Context) {
	c.node.fleet.awaitReady(ctx)
	c.missed()
	ticker := time.NewTicker(clockInterval)
	defer ticker.Stop()
	last := boottime.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.stale:
			c.fetch(ctx)
		case <-ticker.C:
			if boottime.Now().Sub(last) > absence {
				c.missed()
			}
		}
		last = boottime.Now()
	}
}

// fetch asks peers what they know, those of the own zone first.
func (c *crashExchange) fetch(ctx context.Context) {
	others := c.node.fleet.others()
	slices.SortStableFunc(others, func(x, y roster.Member) int { return cmp.Compare(c.distance(x), c.distance(y)) })
	start := boottime.Now()
	asked, answered := 0, 0
	var known relay.CrashKnowledge
	defer func() {
		c.node.log.Info().Str("event", "crash_knowledge").Int("peers", len(others)).Int("asked", asked).Int("answered", answered).
			Int("reports", len(known.Reports)).Int("verdicts", len(known.Verdicts)).
			Dur("took_ms", boottime.Now().Sub(start)).Dur("up_ms", c.node.uptime()).Send()
	}()
	for _, m := range others[:min(len(others), maxKnowledgeAttempts)] {
		asked++
		got, err := relay.FetchCrashKnowledge(ctx, m.PeerAddress)
		if err != nil {
			c.node.log.Debug().Str("event", "peer_silent").Err(err).Send()
			continue
		}
		c.apply(got)
		known.Reports = append(known.Reports, got.Reports...)
		known.Verdicts = append(known.Verdicts, got.Verdicts...)
		if answered++; answered == knowledgePeers {
			return
		}
	}
}

// distance returns 0 for a node of the own zone, and 1 for all others.
func (c *crashExchange) distance(m roster.Member) int {
	if m.Zone == c.node.settings.Zone {
		return 0
	}
	return 1
}

// apply applies what a peer knows.
func (c *crashExchange) apply(known relay.CrashKnowledge) {
	for _, r := range known.Reports {
		c.node.ApplyCrashReport(r)
	}
	for _, v := range known.Verdicts {
		c.node.ApplyVerdict(v)
	}
}

// CrashKnowledge implements relay.Source.
func (n *Node) CrashKnowledge() relay.CrashKnowledge {
	reports, verdicts := n.server.CrashKnowledge()
	return relay.CrashKnowledge{Reports: reports, Verdicts: verdicts}
}

package entry

import (
	"context"
	"time"

	"mimosaarch.example/core/boottime"
)

// handoverTimeout bounds the write with which a process that stops hands over its retry budgets.
// It ends well before stopMargin.
const handoverTimeout = 400 * time.Millisecond

// checkPredecessor looks for the entry of an earlier process of this node while this one has not
// written its own.
func (m *membership) checkPredecessor() {
	if m.heldForPredecessor {
		return
	}
	if _, lacks := m.node.fleet.listLacks(m.settings.VM); lacks {
		return
	}
	if from, decided := m.succession.Listed(); decided {
		m.heldForPredecessor = true
		m.holdRetries(from, "listed")
	}
}

// succeed continues the retry budgets of the earlier process whose entry was replaced, or decides
// from when on this one grants retries.
func (m *membership) succeed(entry Joined) {
	adopted := entry.Handover
	if adopted != nil {
		if err := m.node.server.AdoptRetries(adopted); err != nil {
			m.log.Error().Str("event", "handover_refused").Err(err).Send()
			adopted = nil
		}
	}
	from, decided := m.succession.Joined(boottime.Now(), entry.Replaced, adopted)
	if !decided {
		return
	}
	reason := "new_node"
	switch {
	case adopted != nil:
		reason = "handed_over"
	case entry.Replaced:
		reason = "restarted"
	case m.settings.FirstStart:
		reason = "first_start"
	}
	m.holdRetries(from, reason)
}

// holdRetries makes the node grant no retries before a time.
func (m *membership) holdRetries(until time.Time, reason string) {
	m.node.server.HoldRetries(until)
	m.log.Info().Str("event", "retries_held").Str("reason", reason).Dur("for_ms", max(until.Sub(boottime.Now()), 0)).Send()
}

// handOver writes the retry budgets of this process to its entry, for the next process of the
// node. Nothing may be granted to requests afterwards.
func (m *membership) handOver(ctx context.Context) {
	at := m.entryAt.Load()
	if at == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	began := time.Now()
	err := m.members.Leave(callCtx, m.self(), *at, m.node.server.HandOverRetries())
	m.log.Info().Str("event", "handed_over").Dur("took_ms", time.Since(began)).AnErr("error", err).Send()
}

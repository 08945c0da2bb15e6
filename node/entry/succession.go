package entry

import (
	"context"
	"time"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/decide/retry"
)

const (
	// handoverTimeout bounds the write with which a process that stops hands over its retry
	// budgets. It ends well before stopMargin.
	handoverTimeout = 400 * time.Millisecond
	// noticePause is the time after a notice before the next one.
	noticePause = 200 * time.Millisecond
)

// checkPredecessor looks for the entry of an earlier process of this node while this one has not
// written its own.
func (m *membership) checkPredecessor() {
	if m.joined {
		return
	}
	if _, lacks := m.node.fleet.listLacks(m.settings.VM); lacks {
		return
	}
	m.entryMu.Lock()
	defer m.entryMu.Unlock()
	if m.succession.Listed() {
		m.applyTerms(m.succession.Terms(), "listed")
	}
}

// writeEntry writes this node's entry. The first time it continues the retry budgets of an earlier
// process that has handed them over, or decides which part of its limits this one grants.
func (m *membership) writeEntry(ctx context.Context) error {
	m.entryMu.Lock()
	defer m.entryMu.Unlock()
	var terms retry.Terms
	var reason string
	var adopted *retry.Record
	at, err := m.members.Join(ctx, m.self(), func(replaced bool, previous *retry.Record) retry.Record {
		if previous != nil && previous.Check() != nil {
			previous = nil
		}
		adopted = previous
		now := boottime.Now()
		terms, reason = m.succession.Joining(now, replaced, previous)
		return retry.NewRecord(now, terms)
	})
	if err != nil {
		return err
	}
	if reason == "handed_over" {
		err = m.node.server.AdoptRetries(adopted)
	}
	if err != nil {
		return err
	}
	m.entryAt = at
	m.succession.Joined(terms)
	m.applyTerms(terms, reason)
	return nil
}

// applyTerms sets which part of its limits on retries the node grants.
func (m *membership) applyTerms(t retry.Terms, reason string) {
	now := boottime.Now()
	m.node.server.SetRetryTerms(t)
	m.log.Info().Str("event", "retry_terms").Str("reason", reason).Dur("held_ms", max(t.HeldUntil.Sub(now), 0)).
		Dur("starting_ms", max(t.StartingUntil.Sub(now), 0)).Dur("full_ms", max(t.FullUntil.Sub(now), 0)).Send()
}

// noticeDue makes the process give notice of its retries.
func (m *membership) noticeDue() {
	select {
	case m.noticeCh <- struct{}{}:
	default:
	}
}

// giveNotices writes to the node's entry that the process is about to grant its whole limit on
// retries, whenever that is due, until ctx ends.
func (m *membership) giveNotices(ctx context.Context) {
	for {
		select {
		case <-m.noticeCh:
		case <-ctx.Done():
			return
		}
		m.giveNotice(ctx)
		every.Sleep(ctx, noticePause)
	}
}

// giveNotice writes one notice. Until one is written the process goes on with a part of its limit.
func (m *membership) giveNotice(ctx context.Context) {
	m.entryMu.Lock()
	defer m.entryMu.Unlock()
	if m.entryAt.IsZero() {
		return
	}
	now := boottime.Now()
	terms := m.succession.Notice(now)
	at, err := m.members.Update(ctx, m.self(), m.entryAt, retry.NewRecord(now, terms))
	if err != nil {
		// The entry may have another revision.
		m.entryLost.Store(true)
		m.log.Info().Str("event", "notice_failed").Err(err).Send()
		return
	}
	m.entryAt = at
	m.succession.Joined(terms)
	m.applyTerms(terms, "notice")
}

// handOver writes the retry budgets of this process to its entry, for the next process of the
// node. It gives up if the entry is being written.
func (m *membership) handOver(ctx context.Context) {
	if !m.entryMu.TryLock() {
		return
	}
	defer m.entryMu.Unlock()
	if m.entryAt.IsZero() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	began := time.Now()
	record := retry.NewRecord(boottime.Now(), m.succession.Terms())
	record.Services, record.HasStopped = m.node.server.HandOverRetries(), true
	_, err := m.members.Update(callCtx, m.self(), m.entryAt, record)
	m.log.Info().Str("event", "handed_over").Dur("took_ms", time.Since(began)).AnErr("error", err).Send()
}

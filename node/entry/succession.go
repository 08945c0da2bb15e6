package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/decide/retry"
)

const (
	// handoverTimeout bounds the write with which a process that stops hands over its retry
	// budgets. It is shorter than what the plan of a stop leaves after the cut.
	handoverTimeout = 400 * time.Millisecond
	// noticePause is the time after a notice before the next one. After one that could not be
	// written it is a random time between noticeRetryMin and twice that, since all nodes may
	// give notice at once to a store that takes only so many writes.
	noticePause    = 200 * time.Millisecond
	noticeRetryMin = time.Second
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
	var origin retry.Origin
	var replacedRecord *retry.Record
	crashes := m.crashRecord()
	at, err := m.members.Join(ctx, m.self(), crashes, func(replaced bool, previous *retry.Record) retry.Record {
		now := boottime.Now()
		replacedRecord = previous
		terms, origin = m.succession.Joining(now, replaced, previous)
		return retry.NewRecord(now, terms)
	})
	if err != nil {
		return err
	}
	if origin == retry.HandedOver {
		m.node.server.AdoptRetries(replacedRecord.Services)
	}
	m.entryAt, m.recorded = at, crashes
	m.succession.Joined(terms)
	m.applyTerms(terms, string(origin))
	return nil
}

// applyTerms sets which part of its limits on retries the node grants.
func (m *membership) applyTerms(t retry.Terms, reason string) {
	now := boottime.Now()
	m.node.server.SetRetryTerms(t)
	m.node.metrics.Add("retry_terms."+reason, 1)
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
		pause := noticePause
		if !m.giveNotice(ctx) {
			pause = noticeRetryMin + rand.N(noticeRetryMin)
		}
		every.Sleep(ctx, pause)
	}
}

// giveNotice writes one notice, and reports whether the store has taken it. Until then the process
// goes on with a part of its limit.
func (m *membership) giveNotice(ctx context.Context) bool {
	m.entryMu.Lock()
	defer m.entryMu.Unlock()
	if m.entryAt.IsZero() {
		return false
	}
	now := boottime.Now()
	terms := m.succession.Notice(now)
	crashes := m.crashRecord()
	at, err := m.members.Update(ctx, m.self(), m.entryAt, crashes, retry.NewRecord(now, terms))
	if err != nil {
		// The entry may have another revision.
		m.entryLost.Store(true)
		m.node.metrics.Add("retry_terms.notice_failed", 1)
		m.log.Info().Str("event", "notice_failed").Err(err).Send()
		return false
	}
	m.entryAt, m.recorded = at, crashes
	m.succession.Joined(terms)
	m.applyTerms(terms, "notice")
	return true
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
	record.Services, record.Stopped = m.node.server.HandOverRetries(), true
	_, err := m.members.Update(callCtx, m.self(), m.entryAt, m.crashRecord(), record)
	if err != nil {
		m.node.metrics.Add("retry_terms.handover_failed", 1)
	}
	m.log.Info().Str("event", "handed_over").Dur("took_ms", time.Since(began)).AnErr("error", err).Send()
}

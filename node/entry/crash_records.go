package entry

import (
	"context"
	"time"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/retry"
)

// recordRetryPause is the time after a record that the store has not taken before the next one.
const recordRetryPause = time.Second

// crashRecord returns the record of crashes that this node's entry is to have now.
func (m *membership) crashRecord() quarantine.Record {
	return m.node.server.CrashRecord(time.Now().UnixMilli())
}

// recordDue reports whether the entry lacks verdicts, or has some that are not in force.
func (m *membership) recordDue() bool {
	if !m.entryMu.TryLock() {
		return false // the entry is being written
	}
	defer m.entryMu.Unlock()
	return !m.entryAt.IsZero() && !m.recorded.Covers(m.crashRecord())
}

// writeCrashRecord writes this node's entry with the record of crashes, so that the verdicts last
// while all nodes are down.
func (m *membership) writeCrashRecord(ctx context.Context) {
	m.entryMu.Lock()
	defer m.entryMu.Unlock()
	crashes := m.crashRecord()
	at, err := m.members.Update(ctx, m.self(), m.entryAt, crashes, retry.NewRecord(boottime.Now(), m.succession.Terms()))
	m.log.Info().Str("event", "verdicts_recorded").Int("verdicts", len(crashes.Verdicts)).AnErr("error", err).Send()
	if err != nil {
		// The entry may have another revision.
		m.entryLost.Store(true)
		m.node.metrics.Add("crash_records.failed", 1)
		m.recordAt = time.Now().Add(recordRetryPause)
		return
	}
	m.node.metrics.Add("crash_records.written", 1)
	m.entryAt, m.recorded = at, crashes
}

// recallVerdicts puts the verdicts in force that earlier processes of the fleet have recorded. Those
// that a success has contradicted since are cleared by what the peers tell.
func (m *membership) recallVerdicts(records []quarantine.Record) {
	wallMs := time.Now().UnixMilli()
	for _, r := range records {
		for _, v := range r.Recall(wallMs) {
			m.log.Info().Str("event", "verdict_recalled").Str("fingerprint", string(v.Fingerprint)).Str("service", string(v.Service)).Dur("for_ms", v.For).Send()
			m.node.server.AddVerdict(v)
		}
	}
}

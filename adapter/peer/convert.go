package peer

import (
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/decide/configorder"
	"mimosaarch.example/decide/limit"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/router"
)

// Usage converts demand to tell peers.
func Usage(usage []limit.AccountUsage) []peerapi.AccountUsage {
	return convert(usage, func(u limit.AccountUsage) peerapi.AccountUsage { return peerapi.AccountUsage(u) })
}

// LimitUsage converts demand that a peer told.
func LimitUsage(usage []peerapi.AccountUsage) []limit.AccountUsage {
	return convert(usage, func(u peerapi.AccountUsage) limit.AccountUsage { return limit.AccountUsage(u) })
}

// Quarantine converts evidence to tell peers.
func Quarantine(events []quarantine.Event) []peerapi.QuarantineEvent {
	return convert(events, func(e quarantine.Event) peerapi.QuarantineEvent {
		return peerapi.QuarantineEvent{
			Kind:        string(e.Kind),
			Upstream:    e.Upstream,
			Epoch:       e.Epoch,
			Fingerprint: string(e.Fingerprint),
			AgeNs:       int64(e.Age),
		}
	})
}

// QuarantineEvents converts evidence that a peer told.
func QuarantineEvents(events []peerapi.QuarantineEvent) []quarantine.Event {
	return convert(events, func(e peerapi.QuarantineEvent) quarantine.Event {
		return quarantine.Event{
			Kind:        quarantine.Kind(e.Kind),
			Upstream:    e.Upstream,
			Epoch:       e.Epoch,
			Fingerprint: quarantine.Fingerprint(e.Fingerprint),
			Age:         time.Duration(e.AgeNs),
		}
	})
}

// Decisions converts steps that a peer told at now.
func Decisions(steps []peerapi.Decision, now time.Time) []router.Decision {
	return convert(steps, func(d peerapi.Decision) router.Decision {
		return router.Decision{
			At:      now.Add(-time.Duration(d.AgeNs)),
			ID:      d.ID,
			Account: d.Account,
			Step:    router.DecisionStep(d.Step),
			Attempt: d.Attempt,
			Chain:   d.Chain,
			Outcome: outcome.Outcome(d.Outcome),
			Reason:  outcome.Reason(d.Reason),
			Detail:  d.Detail,
			Wait:    time.Duration(d.WaitNs),
		}
	})
}

// tellDecisions converts steps to tell a peer at now.
func tellDecisions(steps []router.Decision, now time.Time) []peerapi.Decision {
	return convert(steps, func(d router.Decision) peerapi.Decision {
		return peerapi.Decision{
			AgeNs:   int64(now.Sub(d.At)),
			ID:      d.ID,
			Account: d.Account,
			Step:    string(d.Step),
			Attempt: d.Attempt,
			Chain:   d.Chain,
			Outcome: string(d.Outcome),
			Reason:  string(d.Reason),
			Detail:  d.Detail[:min(len(d.Detail), peerapi.MaxDetailBytes)],
			WaitNs:  int64(d.Wait),
		}
	})
}

// tellSummary converts a summary to tell a peer.
func tellSummary(summary []configorder.KeyVersion) []peerapi.KeyVersion {
	return convert(summary, func(kv configorder.KeyVersion) peerapi.KeyVersion { return peerapi.KeyVersion(kv) })
}

// toldSummary converts a summary that a peer told.
func toldSummary(summary []peerapi.KeyVersion) []configorder.KeyVersion {
	return convert(summary, func(kv peerapi.KeyVersion) configorder.KeyVersion { return configorder.KeyVersion(kv) })
}

// convert converts each item.
func convert[A, B any](items []A, one func(A) B) []B {
	out := make([]B, 0, len(items))
	for _, item := range items {
		out = append(out, one(item))
	}
	return out
}

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

// EncodeUsage converts demand to tell peers.
func EncodeUsage(usage []limit.AccountUsage) []peerapi.AccountUsage {
	return convert(usage, func(u limit.AccountUsage) peerapi.AccountUsage { return peerapi.AccountUsage(u) })
}

// DecodeUsage converts demand that a peer told.
func DecodeUsage(usage []peerapi.AccountUsage) []limit.AccountUsage {
	return convert(usage, func(u peerapi.AccountUsage) limit.AccountUsage { return limit.AccountUsage(u) })
}

// EncodeQuarantineEvents converts evidence to tell peers.
func EncodeQuarantineEvents(events []quarantine.Event) []peerapi.QuarantineEvent {
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

// DecodeQuarantineEvents converts evidence that a peer told.
func DecodeQuarantineEvents(events []peerapi.QuarantineEvent) []quarantine.Event {
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

// DecodeDecisions converts steps that a peer told at now.
func DecodeDecisions(steps []peerapi.Decision, now time.Time) []router.Decision {
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

// encodeDecisions converts steps to tell a peer at now.
func encodeDecisions(steps []router.Decision, now time.Time) []peerapi.Decision {
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

// encodeSummary converts a summary to tell a peer.
func encodeSummary(summary []configorder.KeyVersion) []peerapi.KeyVersion {
	return convert(summary, func(kv configorder.KeyVersion) peerapi.KeyVersion { return peerapi.KeyVersion(kv) })
}

// decodeSummary converts a summary that a peer told.
func decodeSummary(summary []peerapi.KeyVersion) []configorder.KeyVersion {
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

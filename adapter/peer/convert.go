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

// EncodeUsage converts the demand per account to its form on the wire.
func EncodeUsage(usage []limit.AccountUsage) []peerapi.AccountUsage {
	return mapSlice(usage, func(u limit.AccountUsage) peerapi.AccountUsage { return peerapi.AccountUsage(u) })
}

// DecodeUsage converts the demand per account from its form on the wire.
func DecodeUsage(usage []peerapi.AccountUsage) []limit.AccountUsage {
	return mapSlice(usage, func(u peerapi.AccountUsage) limit.AccountUsage { return limit.AccountUsage(u) })
}

// EncodeQuarantineEvents converts quarantine events to their form on the wire.
func EncodeQuarantineEvents(events []quarantine.Event) []peerapi.QuarantineEvent {
	return mapSlice(events, func(e quarantine.Event) peerapi.QuarantineEvent {
		return peerapi.QuarantineEvent{
			Kind:        string(e.Kind),
			Upstream:    e.Upstream,
			Epoch:       e.Epoch,
			Fingerprint: string(e.Fingerprint),
			AgeNs:       int64(e.Age),
			RanNs:       int64(e.Ran),
		}
	})
}

// DecodeQuarantineEvents converts quarantine events from their form on the
// wire.
func DecodeQuarantineEvents(events []peerapi.QuarantineEvent) []quarantine.Event {
	return mapSlice(events, func(e peerapi.QuarantineEvent) quarantine.Event {
		return quarantine.Event{
			Kind:        quarantine.Kind(e.Kind),
			Upstream:    e.Upstream,
			Epoch:       e.Epoch,
			Fingerprint: quarantine.Fingerprint(e.Fingerprint),
			Age:         time.Duration(e.AgeNs),
			Ran:         time.Duration(e.RanNs),
		}
	})
}

// DecodeDecisions converts recorded decisions from their form on the wire.
// Their ages are subtracted from now to get times by the local clock.
func DecodeDecisions(steps []peerapi.Decision, now time.Time) []router.Decision {
	return mapSlice(steps, func(d peerapi.Decision) router.Decision {
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

// encodeDecisions converts recorded decisions to their form on the wire, with
// their ages at now. It cuts each Detail to peerapi.MaxDetailBytes bytes.
func encodeDecisions(steps []router.Decision, now time.Time) []peerapi.Decision {
	return mapSlice(steps, func(d router.Decision) peerapi.Decision {
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

// encodeSummary converts a configuration summary to its form on the wire.
func encodeSummary(summary []configorder.KeyVersion) []peerapi.KeyVersion {
	return mapSlice(summary, func(kv configorder.KeyVersion) peerapi.KeyVersion { return peerapi.KeyVersion(kv) })
}

// decodeSummary converts a configuration summary from its form on the wire.
func decodeSummary(summary []peerapi.KeyVersion) []configorder.KeyVersion {
	return mapSlice(summary, func(kv peerapi.KeyVersion) configorder.KeyVersion { return configorder.KeyVersion(kv) })
}

// mapSlice returns the results of convert for each item.
func mapSlice[A, B any](items []A, convert func(A) B) []B {
	out := make([]B, 0, len(items))
	for _, item := range items {
		out = append(out, convert(item))
	}
	return out
}

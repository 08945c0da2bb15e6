package claim

import (
	"time"

	"mimosaarch.example/decide/router"
)

// opResult is the result of an operation, valid once the value it was applied to
// is stored.
type opResult struct {
	result router.ClaimResult
	prior  router.ClaimRecord
	// full is true when the claim failed because the shard's value has no room.
	full bool
}

// update is a copy of a value to which a batch of operations is applied.
type update struct {
	*value
	settings *Settings
	now      time.Time
	// changed reports whether any operation modified the copy.
	changed bool
}

// apply applies operations in order to a copy of the value and returns the copy
// and one result per operation. It is idempotent: applying an operation to a
// value that already contains its effect changes nothing and returns the same
// result.
func (v *value) apply(settings *Settings, now time.Time, ops []*pending) (*update, []opResult) {
	u := &update{value: v.clone(), settings: settings, now: now}
	// Dropping expired entries does not set changed: it alone does not justify a
	// write.
	u.dropExpired(now)
	results := make([]opResult, len(ops))
	for i, p := range ops {
		results[i] = u.applyOp(p.op)
	}
	return u, results
}

// applyOp applies one operation.
func (u *update) applyOp(op Op) opResult {
	switch op.Kind {
	case Release:
		u.release(op)
	case Settle:
		u.settle(op)
	default:
		return u.claim(op)
	}
	return opResult{}
}

// claim takes the key if it is free, held by the same request, or held by the
// claim that the operation may replace.
func (u *update) claim(op Op) opResult {
	e := u.find(keyOf(op.Record))
	if e != nil && e.nonce == nonceOf(op.Nonce) {
		return opResult{result: router.ClaimWon}
	}
	if e != nil && !op.mayReplace(e) {
		return opResult{result: router.ClaimTaken, prior: e.record(op.Record)}
	}
	op.Record.State = router.ClaimHeld
	if !u.insert(newEntry(op), op.Retention) {
		return opResult{result: router.ClaimFailed, full: true}
	}
	return opResult{result: router.ClaimWon}
}

// mayReplace reports whether a claim may replace an existing entry. A claim of
// an earlier attempt can arrive late through another VM; it must not replace the
// claim of a later attempt.
func (o Op) mayReplace(existing *entry) bool {
	if existing.state != router.ClaimHeld {
		return false
	}
	if existing.isHeldBy(o.request()) {
		return o.Record.Attempt >= existing.attempt
	}
	return o.Over != nil && existing.isHeldBy(o.Over.Request) && o.Over.Attempt == existing.attempt
}

// release removes the request's own claim unless it is done. It leaves claims of
// other requests in place.
func (u *update) release(op Op) {
	key := keyOf(op.Record)
	e := u.find(key)
	if e == nil || !e.isHeldBy(op.request()) || e.state != router.ClaimHeld {
		return
	}
	u.drop(key)
	u.changed = true
}

// settle marks the request's own claim as done. If the claim is missing, it is
// recorded again, so that a repeated request is still recognized. It leaves
// claims of other requests in place.
func (u *update) settle(op Op) {
	e := u.find(keyOf(op.Record))
	if e != nil && (!e.isHeldBy(op.request()) || e.state == router.ClaimDone) {
		return
	}
	op.Record.State = router.ClaimDone
	done := newEntry(op)
	if e != nil {
		done.nonce, done.extra = e.nonce, e.extra
	}
	u.insert(done, op.Retention)
}

// insert stores an entry with the given retention, or with Settings.Retention if
// retention is not positive. It returns false if the value would exceed
// Settings.MaxBytes.
func (u *update) insert(e *entry, retention time.Duration) bool {
	if retention <= 0 {
		retention = u.settings.Retention
	}
	e.retention = retention.Round(time.Second)
	e.since = u.now
	if u.sizeWith(e) > u.settings.MaxBytes {
		return false
	}
	u.put(e)
	u.changed = true
	return true
}

package claim

import (
	"time"

	"mimosaarch.example/decide/router"
)

// verdict is what an operation comes to if the value it was applied to stands.
type verdict struct {
	result router.ClaimResult
	prior  router.ClaimRecord
	full   bool
}

// change is a copy of a value under a batch of operations.
type change struct {
	*value
	settings *Settings
	now      time.Time
	// changed is true when an operation changed the copy.
	changed bool
}

// apply runs operations over a copy of the value, in order. It reports
// whether they change anything. Applying an operation again to a value that
// holds its effect changes nothing and gives the same verdict.
func (v *value) apply(settings *Settings, now time.Time, ops []*pending) (*change, []verdict) {
	c := &change{value: v.clone(), settings: settings, now: now}
	// That alone is no reason to write.
	c.forget(now)
	verdicts := make([]verdict, len(ops))
	for i, p := range ops {
		verdicts[i] = c.run(p.op)
	}
	return c, verdicts
}

// run applies one operation.
func (c *change) run(op Op) verdict {
	switch op.Kind {
	case Release:
		c.release(op)
	case Settle:
		c.settle(op)
	default:
		return c.claim(op)
	}
	return verdict{}
}

// claim takes a key if it may be taken.
func (c *change) claim(op Op) verdict {
	e := c.find(keyOf(op.Record))
	if e != nil && e.nonce == nonceOf(op.Nonce) {
		return verdict{result: router.ClaimWon}
	}
	if e != nil && !op.mayReplace(e) {
		return verdict{result: router.ClaimTaken, prior: e.record(op.Record)}
	}
	op.Record.State = router.ClaimHeld
	if !c.insert(newEntry(op), op.Retention) {
		return verdict{result: router.ClaimFailed, full: true}
	}
	return verdict{result: router.ClaimWon}
}

// mayReplace reports whether a claim may take the place of one that stands.
// The claim of an earlier attempt may come late, by way of another VM; it
// does not replace a later attempt's.
func (o Op) mayReplace(stands *entry) bool {
	if stands.state != router.ClaimHeld {
		return false
	}
	if stands.isOf(o.request()) {
		return o.Record.Attempt >= stands.attempt
	}
	return o.Over != nil && stands.isOf(o.Over.Request) && o.Over.Attempt == stands.attempt
}

// release gives up the request's own claim. Anything else stays.
func (c *change) release(op Op) {
	key := keyOf(op.Record)
	e := c.find(key)
	if e == nil || !e.isOf(op.request()) || e.state != router.ClaimHeld {
		return
	}
	c.drop(key)
	c.changed = true
}

// settle marks the request's own claim as done; a lost one is noted anew, so
// that repeats learn of the run. Another request's claim stays.
func (c *change) settle(op Op) {
	e := c.find(keyOf(op.Record))
	if e != nil && (!e.isOf(op.request()) || e.state == router.ClaimDone) {
		return
	}
	op.Record.State = router.ClaimDone
	done := newEntry(op)
	if e != nil {
		done.nonce, done.extra = e.nonce, e.extra
	}
	c.insert(done, op.Retention)
}

// insert stores an entry for a time, zero standing for the Settings' value;
// false if there is no room.
func (c *change) insert(e *entry, keep time.Duration) bool {
	if keep <= 0 {
		keep = c.settings.Retention
	}
	e.keep = keep.Round(time.Second)
	e.since = c.now
	if c.sizeWith(e) > c.settings.MaxBytes {
		return false
	}
	c.put(e)
	c.changed = true
	return true
}

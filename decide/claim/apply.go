package claim

import (
	"encoding/json"
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
	c.forgetExpired()
	verdicts := make([]verdict, len(ops))
	for i, p := range ops {
		verdicts[i] = c.run(p.op)
	}
	return c, verdicts
}

// forgetExpired drops the entries whose time is over. That alone is no reason
// to write.
func (c *change) forgetExpired() {
	for key, e := range c.entries {
		if e.expired(c.now) {
			c.drop(key)
		}
	}
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
	e := c.entries[entryKey(op.Record)]
	if e != nil && e.nonce == op.Nonce {
		return verdict{result: router.ClaimWon}
	}
	if e != nil && !op.mayReplace(e.record) {
		return verdict{result: router.ClaimTaken, prior: e.record}
	}
	op.Record.State = router.ClaimHeld
	if !c.insert(op) {
		return verdict{result: router.ClaimFailed, full: true}
	}
	return verdict{result: router.ClaimWon}
}

// mayReplace reports whether a claim may take the place of one that stands.
func (o Op) mayReplace(stands router.ClaimRecord) bool {
	if stands.State != router.ClaimHeld {
		return false
	}
	if stands.Request == o.request() {
		return true
	}
	return o.Over != nil && o.Over.Request == stands.Request && o.Over.Attempt == stands.Attempt
}

// release gives up the request's own claim. Anything else stays.
func (c *change) release(op Op) {
	key := entryKey(op.Record)
	e := c.entries[key]
	if e == nil || e.record.Request != op.request() || e.record.State != router.ClaimHeld {
		return
	}
	c.drop(key)
	c.changed = true
}

// settle marks the request's own claim as done; a lost one is noted anew, so
// that repeats learn of the run. Another request's claim stays.
func (c *change) settle(op Op) {
	e := c.entries[entryKey(op.Record)]
	if e != nil && (e.record.Request != op.request() || e.record.State == router.ClaimDone) {
		return
	}
	if e != nil {
		op.Nonce = e.nonce
	}
	op.Record.State = router.ClaimDone
	c.insert(op)
}

// insert stores an operation's record; false if there is no room.
func (c *change) insert(op Op) bool {
	raw, err := json.Marshal(op.Record)
	if err != nil {
		return false
	}
	keep := op.Retention
	if keep <= 0 {
		keep = c.settings.Retention
	}
	e := &entry{nonce: op.Nonce, record: op.Record, raw: raw, since: c.now, keep: keep.Round(time.Second)}
	old := c.entries[entryKey(op.Record)]
	size := c.size + e.bytes()
	if old != nil {
		size -= old.bytes()
	}
	if size > c.settings.MaxBytes {
		return false
	}
	c.put(e)
	c.changed = true
	return true
}

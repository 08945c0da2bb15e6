package directory

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/revision"
)

// A registry that was restored from an older copy lacks its latest changes, and gives
// their revisions to other changes. The restoration begins a new epoch. In the first
// list of an epoch:
//
//   - An entry that the list lacks stays active for RemovalGrace, as after an outage:
//     its upstream writes it again.
//   - An entry that is older than the known one is deferred, because the upstream may not
//     have written it again yet. The known one stays active for RemovalGrace.
//   - An entry of an upstream that was removed in an earlier epoch is deferred for
//     returnHold. An upstream that is gone sends no heartbeats, so its entry is removed
//     again before.
//
// A change of an entry in the new epoch was written by its upstream, so it is applied
// at once. An upstream that was leaving stays so.
//
// Views contain the entries that are held for a former removal, for peers alone: what is in the
// registry must not look removed to them.
//
// Peers are also told what the registry has at the directory's revision, where the sender makes
// something else of it: the listed state of a deferred entry, and which entries are missing
// (Unsettled). So directories of equal revisions agree on the registry's content, and the end of a
// grace period on one node removes nothing that another has from the registry.

// returnHold is how long after the beginning of an epoch the entry of an upstream that
// had been removed before is deferred. It is longer than the registry waits for the
// heartbeats of an upstream that is gone.
const returnHold = 15 * time.Second

// Limits of the removed entries that are remembered. A copy is some seconds old.
const (
	departureMemory = time.Minute
	maxDepartures   = 6000
)

// deferredEntry is an entry that is applied at a later time, unless the registry
// changes or removes it before.
type deferredEntry struct {
	upstream *Upstream
	until    time.Time
}

// departure is the removal of an entry.
type departure struct {
	instance ids.Instance
	// at is the directory's revision after the removal.
	at   revision.Revision
	time time.Time
}

// advance moves the directory to a revision if that is later. A later epoch begins with
// it. It returns false for a revision of an earlier epoch.
func (d *Directory) advance(now time.Time, at revision.Revision) bool {
	if at.Epoch < d.revision.Epoch {
		return false
	}
	if at.Epoch > d.revision.Epoch && !d.revision.IsZero() {
		d.beginEpoch(now)
	}
	d.revision = revision.Latest(d.revision, at)
	return true
}

// beginEpoch starts the grace period of a new epoch.
func (d *Directory) beginEpoch(now time.Time) {
	d.epochSince = now
	d.graceUntil = now.Add(RemovalGrace)
	// What was missing or deferred is decided anew by the list of the epoch.
	clear(d.missingUntil)
	clear(d.deferred)
	d.forgetDepartures(now)
	// The empty record separates the marks of the epochs.
	d.recordChange(ids.Instance{}, false)
	d.epochMark = d.mark
}

// Deferred returns the number of entries that wait because they are older than what is
// known.
func (d *Directory) Deferred() int { return len(d.deferred) }

// Missing returns the number of active entries that the registry lacks.
func (d *Directory) Missing() int { return len(d.missingUntil) }

// putListed applies a listed entry, or defers it if the copy from which the registry was
// restored may have brought it back.
func (d *Directory) putListed(changes []Change, now time.Time, u *Upstream) []Change {
	if u.Leaving || !d.isConfigured(u) {
		return d.put(changes, u)
	}
	if waiting, ok := d.deferred[u.ID.Upstream]; ok && waiting.upstream.Revision == u.Revision {
		return changes
	}
	until, older := d.olderThanKnown(u)
	if u.Held && d.byID[u.ID.Upstream] == nil && !older {
		until, older = now.Add(returnHold), true
	}
	if !older || !now.Before(until) {
		return d.put(changes, u)
	}
	d.deferEntry(u, until)
	return changes
}

// deferEntry defers an entry until a time. It is held if its upstream is not active.
func (d *Directory) deferEntry(u *Upstream, until time.Time) {
	id := u.ID.Upstream
	delete(d.missingUntil, id)
	d.forgetDeferred(id)
	waiting := *u
	waiting.Held = d.byID[id] == nil
	d.deferred[id] = deferredEntry{&waiting, until}
	// Peers may lack the entry in their lists of the epoch.
	d.recordChange(u.ID, !waiting.Held)
}

// forgetDeferred forgets the deferred entry of an upstream, if there is one.
func (d *Directory) forgetDeferred(id ids.Upstream) {
	waiting, ok := d.deferred[id]
	if !ok {
		return
	}
	delete(d.deferred, id)
	if waiting.upstream.Held {
		d.recordChange(waiting.upstream.ID, false)
	}
}

// olderThanKnown reports whether an entry is older than what is known about its instance
// from an earlier epoch, and until when the known state holds.
func (d *Directory) olderThanKnown(u *Upstream) (until time.Time, older bool) {
	if d.epochSince.IsZero() {
		return time.Time{}, false
	}
	if old := d.byID[u.ID.Upstream]; old != nil {
		same := old.ID == u.ID || u.ID.StartedMs == 0
		return d.epochSince.Add(RemovalGrace), same && isOlder(u.Revision, old.Revision) && !sameContent(u, old)
	}
	left, ok := d.departed[u.ID.Upstream]
	return d.epochSince.Add(returnHold), ok && left.instance == u.ID && isOlder(u.Revision, left.at)
}

// isOlder reports whether a revision of a later epoch than known may be that of a
// change before known, which the copy has kept.
func isOlder(listed, known revision.Revision) bool {
	return listed.Epoch > known.Epoch && listed.Number < known.Number
}

// sameContent reports whether two entries differ in nothing but their revision.
func sameContent(a, b *Upstream) bool {
	other := *b
	other.Revision, other.Held = a.Revision, a.Held
	return *a == other
}

// applyDeferred applies the deferred entries whose time has come.
func (d *Directory) applyDeferred(changes []Change, now time.Time) []Change {
	for id, waiting := range d.deferred {
		if now.Before(waiting.until) {
			continue
		}
		d.forgetDeferred(id)
		changes = d.put(changes, waiting.upstream)
	}
	return changes
}

// depart removes an entry that the registry has removed, and remembers that.
func (d *Directory) depart(changes []Change, now time.Time, u *Upstream) []Change {
	if len(d.departed) >= maxDepartures {
		d.forgetDepartures(now)
	}
	if len(d.departed) < maxDepartures {
		d.departed[u.ID.Upstream] = departure{u.ID, d.revision, now}
	}
	return d.drop(changes, u)
}

// hasDeparted reports whether the latest removal of an upstream was that of this instance.
func (d *Directory) hasDeparted(id ids.Instance) bool {
	left, ok := d.departed[id.Upstream]
	return ok && left.instance == id
}

// forgetDepartures forgets removals that no copy can undo any more.
func (d *Directory) forgetDepartures(now time.Time) {
	for id, left := range d.departed {
		if now.Sub(left.time) > departureMemory {
			delete(d.departed, id)
		}
	}
}

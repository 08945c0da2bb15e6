// Package directory keeps the entries of a service registry: which upstreams exist,
// which are leaving, and which layers each engine holds. It applies lists and changes
// of the registry, in the order of their revisions. The registry drops entries that it
// loses contact with, so after an outage of the registry a missing entry is removed
// only after a grace period.
//
// A registry may also be restored from an older copy, which begins a new epoch of its
// revisions. See epoch.go for what a Directory then does.
//
// A Directory is used by one goroutine and reads no clock. Its Views are immutable and
// safe for concurrent use.
package directory

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/revision"
)

// Upstream is the registry entry of one instance of an upstream: one process of a
// service, from its start to its end.
type Upstream struct {
	ID      ids.Instance
	Service ids.Service
	// Address is the IP address and port, never empty. It may pass to another upstream
	// once this one has ended.
	Address string
	Zone    ids.Zone
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
	// Card is the type of an engine's accelerator.
	Card string
	// Layers are the model layers that an engine holds, empty for none.
	Layers layered.Range
	// Busy is true while an engine carries out an order.
	Busy bool
	// Revision is the registry's revision of the entry.
	Revision revision.Revision
	// Held entries get no work yet: a registry that was restored from a copy may have
	// brought them back.
	Held bool `json:",omitempty"`
}

// Unsettled contains the entries of which a directory has a state other than the
// registry's, for peers. Peers of earlier releases don't know it.
type Unsettled struct {
	// Missing names the entries that are active for RemovalGrace although the registry lacks
	// them.
	Missing []ids.Upstream `json:"missing,omitempty"`
	// Outdated entries are as the registry has them from a copy. A later state is active.
	Outdated []Upstream `json:"outdated,omitempty"`
}

// RestartedError reports that the process under a name is not the expected one, because
// it has restarted.
type RestartedError struct{ Known, Current ids.Instance }

// Error implements error.
func (e *RestartedError) Error() string {
	return "upstream " + e.Known.String() + " has restarted as " + e.Current.String()
}

// RemovalGrace is how long after an outage of the registry a missing entry stays
// active. Live upstreams register again within about two seconds of the registry's
// return, and an upstream that has left must get no new work two seconds after its
// absence was seen. The grace period is shorter than both.
const RemovalGrace = 1500 * time.Millisecond

// ChangeKind is the kind of a change to an entry.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "seen"
	Changed ChangeKind = "changed"
	// LeavingStarted means that the upstream is leaving and gets no new work.
	LeavingStarted ChangeKind = "left"
	// Missing means that the entry is absent after an outage, and stays active for
	// RemovalGrace.
	Missing ChangeKind = "doubted"
	Removed ChangeKind = "gone"
)

// Change is one change to the active entries.
type Change struct {
	Kind     ChangeKind
	Upstream *Upstream
}

// Directory holds the current entries. Create it with New.
type Directory struct {
	revision revision.Revision
	byID     map[ids.Upstream]*Upstream
	// byAddress holds the upstreams registered with each address, the current one last.
	// An address passes to another upstream only after its process has ended, but the
	// ended process's entry may remain until its heartbeats are missed. Views contain the
	// current upstream only.
	byAddress map[string][]ids.Upstream
	// missingUntil holds the entries that are missing after an outage, with the end of
	// their grace period.
	missingUntil map[ids.Upstream]time.Time
	// graceUntil is the time until which a removal may be an effect of an outage.
	graceUntil time.Time
	// mark counts all changes of entries. recentChanges holds the latest of them. Views
	// share its array, so it is only appended to or replaced.
	mark          uint64
	recentChanges []changeRecord
	// services are the configured services, nil until they are known. unconfigured holds
	// the entries of other services, which occupy no address.
	services     map[ids.Service]bool
	unconfigured map[ids.Upstream]*Upstream
	// saidLeaving holds the instances that have said themselves that they leave, whatever
	// the registry says. The value is true once another source has said so too.
	saidLeaving map[ids.Instance]bool
	// epochSince is when the registry's current epoch was first seen, or zero if no other
	// epoch came before it.
	epochSince time.Time
	// epochMark is the mark at the beginning of the epoch.
	epochMark uint64
	// deferred holds the entries of a registry restored from a copy that are older than
	// what is known. departed holds the entries that were removed lately.
	deferred map[ids.Upstream]deferredEntry
	departed map[ids.Upstream]departure
	// unregistered holds the instances that are known from their own reports only.
	unregistered map[ids.Upstream]ids.Instance
}

// maxRecentChanges bounds recentChanges, of which at least half are kept. It covers a
// minute of a rollout of 3,000 upstreams at 50 changes a second.
const maxRecentChanges = 6000

// New returns an empty Directory.
func New() *Directory {
	return &Directory{
		byID:         make(map[ids.Upstream]*Upstream),
		byAddress:    make(map[string][]ids.Upstream),
		missingUntil: make(map[ids.Upstream]time.Time),
		unconfigured: make(map[ids.Upstream]*Upstream),
		saidLeaving:  make(map[ids.Instance]bool),
		deferred:     make(map[ids.Upstream]deferredEntry),
		departed:     make(map[ids.Upstream]departure),
		unregistered: make(map[ids.Upstream]ids.Instance),
	}
}

// minExpiryOutage is the shortest outage of the registry in which entries of live
// upstreams can expire. The registry removes an entry after three missed heartbeats,
// which are more than a second apart.
const minExpiryOutage = 2 * time.Second

// RegistryRecovered is called when the registry is reachable again, with the length of
// the outage. In an outage shorter than minExpiryOutage no entry of a live upstream
// expires, so removals take effect at once. A grace period would only let an upstream
// that has left get new work for longer.
func (d *Directory) RegistryRecovered(now time.Time, outage time.Duration) {
	if outage >= minExpiryOutage {
		d.graceUntil = now.Add(RemovalGrace)
	}
}

// Mark returns the number of changes of entries so far. View.Since takes it.
func (d *Directory) Mark() uint64 { return d.mark }

// Revision returns the newest revision applied.
func (d *Directory) Revision() revision.Revision { return d.revision }

// EntryRevision returns the revision of an active entry, or zero if there is none.
func (d *Directory) EntryRevision(id ids.Upstream) revision.Revision {
	if u := d.byID[id]; u != nil {
		return u.Revision
	}
	return revision.Revision{}
}

// Replace applies the complete list of entries at a revision. A list older than the
// directory is ignored.
func (d *Directory) Replace(now time.Time, list []Upstream, at revision.Revision) []Change {
	present := make([]ids.Upstream, len(list))
	for i := range list {
		present[i] = list[i].ID.Upstream
	}
	return d.Merge(now, list, present, Unsettled{}, at)
}

// Merge applies the entries that changed since the directory's revision, and removes
// all that are not in present, the names of all entries at the given revision. An older
// revision is ignored.
//
// Unsettled entries may also be in changed and in present, with the peer's state. An entry
// that the registry lacks gets a grace period of this directory's own. If it is unknown it is
// added only by the first list, or the first one of an epoch: nodes would else restart the
// grace period for each other.
func (d *Directory) Merge(now time.Time, changed []Upstream, present []ids.Upstream, unsettled Unsettled, at revision.Revision) []Change {
	if at.Before(d.revision) {
		return nil
	}
	entering := d.revision.IsZero() || at.Epoch > d.revision.Epoch
	d.advance(now, at)
	listed, kept := unsettled.split(changed)
	var changes []Change
	// Known entries come first, so that one which the copy has brought back does not take the
	// address of another whose revision is still that of the epoch before.
	for _, known := range []bool{true, false} {
		for i := range listed {
			if u := &listed[i]; (d.byID[u.ID.Upstream] != nil) == known {
				changes = d.putListed(changes, now, u)
			}
		}
	}
	for i := range kept {
		if u := &kept[i]; entering && d.byID[u.ID.Upstream] == nil && !d.hasDeparted(u.ID) {
			changes = d.put(changes, u)
		}
	}
	changes = d.applyMissing(changes, now, kept, unsettled.Missing)
	return d.retain(changes, now, present)
}

// retain removes all entries that are not in present.
func (d *Directory) retain(changes []Change, now time.Time, present []ids.Upstream) []Change {
	listed := make(map[ids.Upstream]bool, len(present))
	for _, id := range present {
		listed[id] = true
	}
	for id, u := range d.byID {
		if !listed[id] {
			changes = d.remove(changes, now, u)
		}
	}
	for id, u := range d.unconfigured {
		if !listed[id] {
			d.removeUnconfigured(u)
		}
	}
	for id := range d.deferred {
		if !listed[id] {
			d.forgetDeferred(id)
		}
	}
	return changes
}

// Delta contains the changes of a peer's directory from one revision to another.
type Delta struct {
	// Since is the revision from which on the changes are complete, or zero if they may not
	// be. It may be earlier than that of the receiver.
	Since, At revision.Revision
	Changed   []Upstream
	Gone      []ids.Upstream
	// Unsettled entries may also be in Changed, with the peer's state.
	Unsettled Unsettled
}

// Update applies the changes of a peer. A revision that is older or of another epoch is
// ignored.
//
// The peer may have passed over an entry that was added and removed again, which this
// directory has from another source. Such an entry is removed too: it is later than
// delta.Since, and the peer would have sent it if it still existed.
func (d *Directory) Update(now time.Time, delta Delta) []Change {
	if delta.At.Before(d.revision) || delta.At.Epoch != d.revision.Epoch {
		return nil
	}
	gone := delta.Gone
	if !delta.Since.IsZero() && delta.Since.Before(d.revision) && delta.Since.Epoch == d.revision.Epoch {
		gone = append(slices.Clone(gone), d.addedSince(delta.Since, slices.Concat(delta.Changed, delta.Unsettled.Outdated))...)
	}
	d.revision = delta.At
	var changes []Change
	listed, kept := delta.Unsettled.split(delta.Changed)
	for i := range listed {
		if u := &listed[i]; u.Held || i >= len(listed)-len(delta.Unsettled.Outdated) {
			changes = d.putListed(changes, now, u)
		} else {
			changes = d.put(changes, u)
		}
	}
	changes = d.applyMissing(changes, now, kept, delta.Unsettled.Missing)
	for _, id := range gone {
		d.forgetDeferred(id)
		d.removeUnconfigured(d.unconfigured[id])
		if u := d.byID[id]; u != nil {
			changes = d.remove(changes, now, u)
		}
	}
	return changes
}

// split separates the entries of a peer into those as the registry has them, the outdated
// ones last, and those that the registry lacks.
func (s *Unsettled) split(entries []Upstream) (listed, kept []Upstream) {
	if len(s.Missing)+len(s.Outdated) == 0 {
		return entries, nil
	}
	missing, outdated := make(map[ids.Upstream]bool), make(map[ids.Upstream]bool)
	for _, id := range s.Missing {
		missing[id] = true
	}
	for i := range s.Outdated {
		outdated[s.Outdated[i].ID.Upstream] = true
	}
	for i := range entries {
		switch id := entries[i].ID.Upstream; {
		case missing[id]:
			kept = append(kept, entries[i])
		case !outdated[id]:
			listed = append(listed, entries[i])
		}
	}
	return append(listed, s.Outdated...), kept
}

// addedSince returns the names of the entries later than a revision, except those in a
// list.
func (d *Directory) addedSince(since revision.Revision, except []Upstream) []ids.Upstream {
	listed := make(map[ids.Upstream]bool, len(except))
	for i := range except {
		listed[except[i].ID.Upstream] = true
	}
	var added []ids.Upstream
	for id, u := range d.byID {
		if !listed[id] && u.Revision.After(since) && d.isCurrent(u) {
			added = append(added, id)
		}
	}
	for id, u := range d.unconfigured {
		if !listed[id] && u.Revision.After(since) {
			added = append(added, id)
		}
	}
	for id, waiting := range d.deferred {
		if !listed[id] && waiting.upstream.Revision.After(since) {
			added = append(added, id)
		}
	}
	return added
}

// Put applies one entry that was added or changed. A change of an earlier epoch is
// ignored.
func (d *Directory) Put(now time.Time, u Upstream) []Change {
	if !d.advance(now, u.Revision) {
		return nil
	}
	return d.put(nil, &u)
}

// Remove applies the removal of an entry at a revision. A removal in an earlier epoch is
// ignored.
func (d *Directory) Remove(now time.Time, id ids.Upstream, at revision.Revision) []Change {
	if !d.advance(now, at) {
		return nil
	}
	d.forgetDeferred(id)
	if u := d.unconfigured[id]; u != nil && !u.Revision.After(at) {
		d.removeUnconfigured(u)
	}
	u := d.byID[id]
	if u == nil || u.Revision.After(at) {
		return nil
	}
	return d.remove(nil, now, u)
}

// Invalidate applies an entry that was overwritten with invalid content at a revision.
// Its upstream is removed at once: unlike a missing entry, an invalid one is no effect
// of an outage. An entry of an earlier epoch is ignored.
func (d *Directory) Invalidate(now time.Time, id ids.Upstream, at revision.Revision) []Change {
	if !d.advance(now, at) {
		return nil
	}
	return d.invalidate(nil, id, at)
}

// invalidate removes the entry of an upstream unless it is later than a revision.
func (d *Directory) invalidate(changes []Change, id ids.Upstream, at revision.Revision) []Change {
	d.forgetDeferred(id)
	d.removeUnconfigured(d.unconfigured[id])
	u := d.byID[id]
	if u == nil || u.Revision.After(at) {
		return changes
	}
	return d.drop(changes, u)
}

// Restarted applies an upstream's own report that its process started later than the
// instance in the directory. The new instance holds no layers.
func (d *Directory) Restarted(id ids.Instance) []Change {
	old := d.byID[id.Upstream]
	if old == nil || old.ID.StartedMs == 0 || !id.NewerThan(old.ID) {
		return nil
	}
	restarted := *old
	restarted.ID, restarted.Leaving, restarted.Busy, restarted.Layers = id, false, false, layered.Range{}
	return d.put(nil, &restarted)
}

// maxSaidLeaving is the number of instances that have said that they leave from which on
// those without an entry are forgotten.
const maxSaidLeaving = 1000

// SaidLeaving applies an instance's own word that it leaves. Nothing takes it back for the
// same instance, not even that its entry is removed and added again.
func (d *Directory) SaidLeaving(id ids.Instance) []Change {
	if len(d.saidLeaving) >= maxSaidLeaving {
		for other := range d.saidLeaving {
			if u := d.byID[other.Upstream]; u == nil || u.ID != other {
				delete(d.saidLeaving, other)
			}
		}
	}
	if _, said := d.saidLeaving[id]; !said {
		d.saidLeaving[id] = false
	}
	return d.markLeaving(nil, id)
}

// ToldLeaving applies the word of a peer, which an instance may have told that it leaves.
func (d *Directory) ToldLeaving(id ids.Instance) []Change {
	changes := d.SaidLeaving(id)
	d.saidLeaving[id] = true
	return changes
}

// LeavingConfirmed reports whether a source other than the instance itself has said that it
// leaves, or its entry is gone.
func (d *Directory) LeavingConfirmed(id ids.Instance) bool {
	u := d.byID[id.Upstream]
	return d.saidLeaving[id] || u == nil || u.ID != id
}

// markLeaving marks an instance as leaving. The revision of its entry does not change.
func (d *Directory) markLeaving(changes []Change, id ids.Instance) []Change {
	old := d.byID[id.Upstream]
	if old == nil || old.ID != id || old.Leaving {
		return changes
	}
	leaving := *old
	leaving.Leaving = true
	d.byID[id.Upstream] = &leaving
	if !d.isCurrent(&leaving) {
		return changes
	}
	d.recordChange(id, true)
	return append(changes, Change{LeavingStarted, &leaving})
}

// Expire removes the missing entries whose grace period has ended, and applies the
// deferred entries whose time has come.
func (d *Directory) Expire(now time.Time) []Change {
	var changes []Change
	for id, until := range d.missingUntil {
		if !now.Before(until) {
			changes = d.depart(changes, now, d.byID[id])
		}
	}
	return d.applyDeferred(changes, now)
}

// put adds or changes an entry. An upstream that is leaving stays so until it restarts.
// Another instance inherits nothing from the one before. The registry's revisions tell which of two
// instances is the later one, since start times come from clocks that may jump. Only an instance
// that is known from its own report, before it has registered, is not replaced by one that started
// earlier.
func (d *Directory) put(changes []Change, u *Upstream) []Change {
	id := u.ID.Upstream
	if !d.isConfigured(u) {
		changes = d.invalidate(changes, id, u.Revision)
		d.addUnconfigured(u)
		return changes
	}
	d.removeUnconfigured(d.unconfigured[id])
	old := d.byID[id]
	if old != nil && !u.Revision.After(old.Revision) && !u.ID.NewerThan(old.ID) {
		if u.Leaving {
			changes = append(changes, d.ToldLeaving(u.ID)...)
		}
		return changes
	}
	if old != nil && u.ID.StartedMs == 0 {
		u.ID.StartedMs = old.ID.StartedMs
	}
	if old != nil && old.ID.NewerThan(u.ID) && d.unregistered[id] == old.ID {
		return changes
	}
	// An instance that is known from its own report only has the revision of the one before.
	registered := old == nil || u.Revision.After(old.Revision)
	delete(d.missingUntil, id)
	d.forgetDeferred(id)
	u.Held = false
	restarted := old != nil && u.ID != old.ID && old.ID.StartedMs != 0
	if old != nil && (restarted || old.Address != u.Address) {
		changes = d.drop(changes, old)
		old = nil
	}
	if _, said := d.saidLeaving[u.ID]; said {
		d.saidLeaving[u.ID] = d.saidLeaving[u.ID] || u.Leaving
		u.Leaving = true
	}
	if old != nil && old.Leaving {
		u.Leaving = true
	}
	d.byID[id] = u
	if registered {
		delete(d.unregistered, id)
	} else {
		d.unregistered[id] = u.ID
	}
	switch {
	case old == nil:
		return d.add(changes, u)
	case !d.isCurrent(u):
		return changes
	}
	d.recordChange(u.ID, true)
	switch {
	case u.Revision.Epoch != old.Revision.Epoch && sameContent(u, old):
		// Only recorded, for peers that lack the entry in their list of the epoch.
		return changes
	case u.Leaving && !old.Leaving:
		return append(changes, Change{LeavingStarted, u})
	}
	return append(changes, Change{Changed, u})
}

// add registers a new entry at its address. The entry replaces the current one there,
// unless that has a newer revision, the new entry was active recently and has only
// sent a late heartbeat, or it may be one that a copy has brought back.
func (d *Directory) add(changes []Change, u *Upstream) []Change {
	others := d.byAddress[u.Address]
	if len(others) > 0 {
		current := d.byID[others[len(others)-1]]
		if !u.Revision.After(current.Revision) || isOlder(u.Revision, current.Revision) || slices.Contains(d.recentChanges, changeRecord{id: u.ID, active: true}) {
			d.byAddress[u.Address] = slices.Insert(others, 0, u.ID.Upstream)
			return changes
		}
		d.recordChange(current.ID, true)
		changes = append(changes, Change{Removed, current})
	}
	d.byAddress[u.Address] = append(others, u.ID.Upstream)
	d.recordChange(u.ID, true)
	return append(changes, Change{Added, u})
}

// isCurrent reports whether an entry is the active one at its address.
func (d *Directory) isCurrent(u *Upstream) bool {
	registered := d.byAddress[u.Address]
	return registered[len(registered)-1] == u.ID.Upstream
}

// remove removes an entry, or starts its grace period after an outage.
func (d *Directory) remove(changes []Change, now time.Time, u *Upstream) []Change {
	if now.Before(d.graceUntil) {
		return d.startGrace(changes, now, u)
	}
	return d.depart(changes, now, u)
}

// applyMissing applies the word of a peer that the registry lacks some entries. kept holds
// those of them that the peer has sent.
func (d *Directory) applyMissing(changes []Change, now time.Time, kept []Upstream, missing []ids.Upstream) []Change {
	for i := range kept {
		if kept[i].Leaving {
			changes = append(changes, d.ToldLeaving(kept[i].ID)...)
		}
	}
	for _, id := range missing {
		d.forgetDeferred(id)
		d.removeUnconfigured(d.unconfigured[id])
		if u := d.byID[id]; u != nil {
			changes = d.startGrace(changes, now, u)
		}
	}
	return changes
}

// startGrace starts the grace period of an entry that the registry lacks, unless it has
// begun. Entries that get no new work are removed at once.
func (d *Directory) startGrace(changes []Change, now time.Time, u *Upstream) []Change {
	if u.Leaving || !d.isCurrent(u) {
		return d.depart(changes, now, u)
	}
	if _, waiting := d.missingUntil[u.ID.Upstream]; waiting {
		return changes
	}
	d.missingUntil[u.ID.Upstream] = now.Add(RemovalGrace)
	// Peers must not take the entry for one that the registry has.
	d.record(changeRecord{id: u.ID, active: true, missing: true})
	return append(changes, Change{Missing, u})
}

// drop removes an entry. If another entry with its address is left, that becomes active
// again.
func (d *Directory) drop(changes []Change, u *Upstream) []Change {
	present := d.isCurrent(u)
	delete(d.byID, u.ID.Upstream)
	delete(d.missingUntil, u.ID.Upstream)
	delete(d.unregistered, u.ID.Upstream)
	rest := slices.DeleteFunc(d.byAddress[u.Address], func(id ids.Upstream) bool { return id == u.ID.Upstream })
	d.byAddress[u.Address] = rest
	if len(rest) == 0 {
		delete(d.byAddress, u.Address)
	}
	if !present {
		return changes
	}
	d.recordChange(u.ID, true)
	changes = append(changes, Change{Removed, u})
	if len(rest) == 0 {
		return changes
	}
	restored := d.byID[rest[len(rest)-1]]
	d.recordChange(restored.ID, true)
	return append(changes, Change{Added, restored})
}

// changeRecord is a change of an entry. active is false if the entry's service was not
// configured. missing is true if nothing changed but that the registry lacks the entry.
type changeRecord struct {
	id      ids.Instance
	active  bool
	missing bool
}

// recordChange adds a change to recentChanges.
func (d *Directory) recordChange(id ids.Instance, active bool) {
	d.record(changeRecord{id: id, active: active})
}

// record adds a record to recentChanges.
func (d *Directory) record(change changeRecord) {
	if len(d.recentChanges) == maxRecentChanges {
		d.recentChanges = slices.Clone(d.recentChanges[maxRecentChanges/2:])
	}
	d.recentChanges = append(d.recentChanges, change)
	d.mark++
}

// Package directory keeps what is known of upstreams: who is there, who is
// leaving, and what each engine holds. It is fed by lists and changes of a
// registry that forgets entries when it loses touch with them, so absence is
// believed at once only while the registry is well.
//
// A Directory is used by one goroutine and reads no clock. The Views it gives
// never change, so any goroutine may read them.
package directory

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Upstream is one process of a service, from its start to its end. A process
// that starts again is another Upstream.
type Upstream struct {
	ID      ids.Instance
	Service ids.Service
	// Address is IP and port, never empty. It may go to another upstream once
	// this one has ended.
	Address string
	Zone    ids.Zone
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
	// Card is the kind of accelerator of an engine.
	Card string
	// Layers is what an engine holds; empty for none.
	Layers layered.Range
	// Busy engines carry out an order.
	Busy bool
	// Revision is that of the registry's entry.
	Revision int64
}

// RestartedError tells that a process is not the one that was meant: it has
// started again under its name.
type RestartedError struct{ Known, Now ids.Instance }

// Error implements error.
func (e *RestartedError) Error() string {
	return "upstream " + e.Known.String() + " has started again as " + e.Now.String()
}

// RemovalGrace is how long after an outage of the registry an entry that is
// missing is still believed: living upstreams are entered again within about
// two seconds of its return, and one that left in truth must get nothing new
// two seconds after its absence was seen. This stays below both.
const RemovalGrace = 1500 * time.Millisecond

// ChangeKind is what happened to an upstream.
type ChangeKind string

// Kinds of changes.
const (
	Added          ChangeKind = "seen"
	Changed        ChangeKind = "changed"
	LeavingStarted ChangeKind = "left"
	// Missing: its entry is missing after an outage, and stands for a while.
	Missing ChangeKind = "doubted"
	Removed ChangeKind = "gone"
)

// Change is one belief that changed, for the log.
type Change struct {
	Kind     ChangeKind
	Upstream *Upstream
}

// Directory is the writer's side. Make it with New.
type Directory struct {
	revision int64
	byID     map[ids.Upstream]*Upstream
	// at names the upstreams that were entered with each address, the present
	// one last: an address goes to another only after its process has ended, and
	// the entry of that one may stand until its heartbeats are missed. Views
	// show the present one only.
	at map[string][]ids.Upstream
	// missing holds, for entries not found after an outage, until when they
	// are believed.
	missing map[ids.Upstream]time.Time
	// graceUntil is until when removals count as an outage's effect.
	graceUntil time.Time
	// mark counts all changes; recent names the upstreams of the last ones.
	// Views share it, so it is only appended to, or replaced.
	mark   uint64
	recent []noted
	// services are those that are configured, nil before that is known; aside
	// holds the entries of others, which name no upstream and take no address.
	services map[ids.Service]bool
	aside    map[ids.Upstream]*Upstream
}

// maxRecent is how many changes are remembered at most, and half of it at
// least: a minute of a release of 3,000 upstreams at 50 changes a second.
const maxRecent = 6000

// New makes an empty Directory.
func New() *Directory {
	return &Directory{
		byID:    make(map[ids.Upstream]*Upstream),
		at:      make(map[string][]ids.Upstream),
		missing: make(map[ids.Upstream]time.Time),
		aside:   make(map[ids.Upstream]*Upstream),
	}
}

// lapseAfter is less than any outage of the registry that lets entries lapse: it removes
// those whose heartbeats, more than a second apart, it has missed three times.
const lapseAfter = 2 * time.Second

// RegistryRecovered tells that the registry is heard of again, after it was not for some time.
// What a shorter time hid is true: to doubt it as well would have an upstream that left
// get new work for longer than the time and the grace each allow.
func (d *Directory) RegistryRecovered(now time.Time, away time.Duration) {
	if away >= lapseAfter {
		d.graceUntil = now.Add(RemovalGrace)
	}
}

// Mark counts the changes of entries.
func (d *Directory) Mark() uint64 { return d.mark }

// Revision gives the newest revision seen.
func (d *Directory) Revision() int64 { return d.revision }

// Replace takes a whole list as of revision. An older one is ignored.
func (d *Directory) Replace(now time.Time, list []Upstream, revision int64) []Change {
	present := make([]ids.Upstream, len(list))
	for i := range list {
		present[i] = list[i].ID.Upstream
	}
	return d.Merge(now, list, present, revision)
}

// Merge takes the entries that changed since the own revision, and the names of
// all that are there as of revision. An older one is ignored.
func (d *Directory) Merge(now time.Time, changed []Upstream, present []ids.Upstream, revision int64) []Change {
	changes, newer := d.take(changed, revision)
	if !newer {
		return nil
	}
	there := make(map[ids.Upstream]bool, len(present))
	for _, id := range present {
		there[id] = true
	}
	for id, u := range d.byID {
		if !there[id] {
			changes = d.remove(changes, now, u)
		}
	}
	for id, u := range d.aside {
		if !there[id] {
			d.forgetAside(u)
		}
	}
	return changes
}

// Update takes the entries that changed and the names of those that went, as of
// revision. An older one is ignored.
func (d *Directory) Update(now time.Time, changed []Upstream, gone []ids.Upstream, revision int64) []Change {
	changes, newer := d.take(changed, revision)
	if !newer {
		return nil
	}
	for _, id := range gone {
		d.forgetAside(d.aside[id])
		if u := d.byID[id]; u != nil {
			changes = d.remove(changes, now, u)
		}
	}
	return changes
}

// take goes on to a revision, with the entries that changed; false for an older
// one.
func (d *Directory) take(changed []Upstream, revision int64) ([]Change, bool) {
	if revision < d.revision {
		return nil, false
	}
	d.revision = revision
	var changes []Change
	for i := range changed {
		changes = d.put(changes, &changed[i])
	}
	return changes, true
}

// Put takes one entry that was added or changed.
func (d *Directory) Put(u Upstream) []Change {
	d.revision = max(d.revision, u.Revision)
	return d.put(nil, &u)
}

// Remove takes the removal of an entry at a revision.
func (d *Directory) Remove(now time.Time, id ids.Upstream, revision int64) []Change {
	d.revision = max(d.revision, revision)
	if u := d.aside[id]; u != nil && u.Revision <= revision {
		d.forgetAside(u)
	}
	u := d.byID[id]
	if u == nil || u.Revision > revision {
		return nil
	}
	return d.remove(nil, now, u)
}

// Invalidate takes an entry that names no upstream at a revision, for another writer
// has spoilt it. What it named gets nothing new from now on, whatever became of
// it: unlike a missing entry, this one is no effect of an outage.
func (d *Directory) Invalidate(id ids.Upstream, revision int64) []Change {
	d.revision = max(d.revision, revision)
	d.forgetAside(d.aside[id])
	u := d.byID[id]
	if u == nil || u.Revision > revision {
		return nil
	}
	return d.drop(nil, u)
}

// Restarted tells that a process says of itself that it began later than the
// life that the directory knows under its name. It holds nothing.
func (d *Directory) Restarted(life ids.Instance) []Change {
	old := d.byID[life.Upstream]
	if old == nil || old.ID.StartedMs == 0 || !life.NewerThan(old.ID) {
		return nil
	}
	now := *old
	now.ID, now.Leaving, now.Busy, now.Layers = life, false, false, layered.Range{}
	return d.put(nil, &now)
}

// Expire removes the missing entries whose grace is over.
func (d *Directory) Expire(now time.Time) []Change {
	var changes []Change
	for id, until := range d.missing {
		if !now.Before(until) {
			changes = d.drop(changes, d.byID[id])
		}
	}
	return changes
}

// put adds or changes an entry. A leaving upstream stays leaving for the life
// that it leaves; a later life has nothing of the one before, and an earlier one
// has ended.
func (d *Directory) put(changes []Change, u *Upstream) []Change {
	id := u.ID.Upstream
	if d.services != nil && !d.services[u.Service] {
		changes = append(changes, d.Invalidate(id, u.Revision)...)
		d.setAside(u)
		return changes
	}
	d.forgetAside(d.aside[id])
	old := d.byID[id]
	if old != nil && old.Revision >= u.Revision && !u.ID.NewerThan(old.ID) {
		return changes
	}
	if old != nil && u.ID.StartedMs == 0 {
		u.ID.StartedMs = old.ID.StartedMs
	}
	if old != nil && old.ID.NewerThan(u.ID) {
		return changes
	}
	delete(d.missing, id)
	restarted := old != nil && u.ID.NewerThan(old.ID) && old.ID.StartedMs != 0
	if old != nil && (restarted || old.Address != u.Address) {
		changes = d.drop(changes, old)
		old = nil
	}
	if old != nil && old.Leaving {
		u.Leaving = true
	}
	d.byID[id] = u
	switch {
	case old == nil:
		return d.arrive(changes, u)
	case !d.present(u):
		return changes
	}
	d.note(u.ID, true)
	if u.Leaving && !old.Leaving {
		return append(changes, Change{LeavingStarted, u})
	}
	return append(changes, Change{Changed, u})
}

// arrive enters a new entry at its address. It takes the place of the one there,
// unless that is newer, or this one was seen before and only sent a late
// heartbeat.
func (d *Directory) arrive(changes []Change, u *Upstream) []Change {
	others := d.at[u.Address]
	if len(others) > 0 {
		there := d.byID[others[len(others)-1]]
		if there.Revision >= u.Revision || slices.Contains(d.recent, noted{u.ID, true}) {
			d.at[u.Address] = slices.Insert(others, 0, u.ID.Upstream)
			return changes
		}
		d.note(there.ID, true)
		changes = append(changes, Change{Removed, there})
	}
	d.at[u.Address] = append(others, u.ID.Upstream)
	d.note(u.ID, true)
	return append(changes, Change{Added, u})
}

// present reports whether an entry is the one in force at its address.
func (d *Directory) present(u *Upstream) bool {
	there := d.at[u.Address]
	return there[len(there)-1] == u.ID.Upstream
}

// remove takes an entry out, or lets it stand for a while after an outage.
func (d *Directory) remove(changes []Change, now time.Time, u *Upstream) []Change {
	if now.Before(d.graceUntil) && !u.Leaving && d.present(u) {
		if _, waiting := d.missing[u.ID.Upstream]; !waiting {
			d.missing[u.ID.Upstream] = now.Add(RemovalGrace)
			changes = append(changes, Change{Missing, u})
		}
		return changes
	}
	return d.drop(changes, u)
}

// drop takes an entry out. What stood at its address before is in force again:
// it was the other that had ended.
func (d *Directory) drop(changes []Change, u *Upstream) []Change {
	present := d.present(u)
	delete(d.byID, u.ID.Upstream)
	delete(d.missing, u.ID.Upstream)
	rest := slices.DeleteFunc(d.at[u.Address], func(id ids.Upstream) bool { return id == u.ID.Upstream })
	d.at[u.Address] = rest
	if len(rest) == 0 {
		delete(d.at, u.Address)
	}
	if !present {
		return changes
	}
	d.note(u.ID, true)
	changes = append(changes, Change{Removed, u})
	if len(rest) == 0 {
		return changes
	}
	back := d.byID[rest[len(rest)-1]]
	d.note(back.ID, true)
	return append(changes, Change{Added, back})
}

// noted is a change of an entry; inForce tells that it was that of an upstream
// at its address, and not one set aside.
type noted struct {
	life    ids.Instance
	inForce bool
}

// note remembers a change.
func (d *Directory) note(id ids.Instance, inForce bool) {
	if len(d.recent) == maxRecent {
		d.recent = slices.Clone(d.recent[maxRecent/2:])
	}
	d.recent = append(d.recent, noted{id, inForce})
	d.mark++
}

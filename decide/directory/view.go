package directory

import (
	"maps"
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/revision"
)

// View is an immutable snapshot of a Directory. A nil View is empty.
type View struct {
	// Revision is the registry's revision of the snapshot.
	Revision revision.Revision
	// Mark is the number of changes that the Directory had made.
	Mark     uint64
	services map[ids.Service][]*Upstream
	// byID also contains the entries whose service is not configured, and those that are held.
	byID map[ids.Upstream]*Upstream
	// missing and outdated hold the unsettled entries.
	missing  map[ids.Upstream]bool
	outdated map[ids.Upstream]*Upstream
	// epochMark is the lowest mark in the registry's epoch.
	epochMark uint64
	// recentChanges are the latest changes, oldest first. The last one is change number
	// Mark.
	recentChanges []changeRecord
}

// ByService returns the upstreams of a service, including those that are leaving, sorted by
// ID. The slice must not be modified.
func (v *View) ByService(service ids.Service) []*Upstream {
	if v == nil {
		return nil
	}
	return v.services[service]
}

// Get returns an upstream, or nil if the view does not hold this instance of it.
func (v *View) Get(id ids.Instance) *Upstream {
	if v == nil {
		return nil
	}
	u := v.byID[id.Upstream]
	if u == nil || u.ID != id {
		return nil
	}
	return u
}

// Len returns the number of entries.
func (v *View) Len() int {
	if v == nil {
		return 0
	}
	return len(v.byID)
}

// All returns every entry, also those whose service is not configured, sorted by ID.
func (v *View) All() []*Upstream {
	if v == nil {
		return nil
	}
	all := make([]*Upstream, 0, len(v.byID))
	for _, u := range v.byID {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b *Upstream) int { return a.ID.Compare(b.ID) })
	return all
}

// After returns, for a peer whose directory has the given revision, the entries that it
// may lack, the names of all entries, and the unsettled entries.
func (v *View) After(known revision.Revision) (entries []*Upstream, present []ids.Upstream, unsettled Unsettled) {
	for _, u := range v.All() {
		present = append(present, u.ID.Upstream)
		// An upstream may have said itself that it is leaving, which is no new revision. Entries
		// may have gone back between epochs.
		if u.Revision.After(known) || u.Leaving || known.Epoch != v.Revision.Epoch {
			entries = append(entries, u)
		}
		v.addUnsettled(&unsettled, u.ID.Upstream)
	}
	return entries, present, unsettled
}

// addUnsettled adds an entry if it is unsettled.
func (v *View) addUnsettled(to *Unsettled, id ids.Upstream) {
	if v.missing[id] {
		to.Missing = append(to.Missing, id)
	}
	if u := v.outdated[id]; u != nil {
		to.Outdated = append(to.Outdated, *u)
	}
}

// Since returns the upstreams that changed since an earlier mark of the same Directory,
// and the names of those that were removed. ok is false if the changes since that mark
// are no longer kept, or the mark is of an earlier epoch of the registry. Upstreams that
// have only become missing are among the unsettled ones alone.
func (v *View) Since(mark uint64) (changed []*Upstream, gone []ids.Upstream, unsettled Unsettled, ok bool) {
	if v == nil || mark < v.epochMark || mark > v.Mark || v.Mark-mark > uint64(len(v.recentChanges)) {
		return nil, nil, Unsettled{}, false
	}
	records := v.recentChanges[uint64(len(v.recentChanges))-(v.Mark-mark):]
	// The value is true if the upstream has become missing and nothing else.
	changes := make(map[ids.Upstream]bool)
	for _, record := range records {
		onlyMissing, seen := changes[record.id.Upstream]
		changes[record.id.Upstream] = record.missing && (onlyMissing || !seen)
	}
	for _, record := range records {
		id := record.id.Upstream
		onlyMissing, left := changes[id]
		if !left {
			continue
		}
		delete(changes, id)
		v.addUnsettled(&unsettled, id)
		u := v.byID[id]
		switch {
		case u == nil:
			gone = append(gone, id)
		case !onlyMissing:
			changed = append(changed, u)
		}
	}
	return changed, gone, unsettled, true
}

// View returns a snapshot of the directory.
func (d *Directory) View() *View {
	v := &View{
		Revision:      d.revision,
		Mark:          d.mark,
		epochMark:     d.epochMark,
		recentChanges: d.recentChanges,
		services:      make(map[ids.Service][]*Upstream),
		byID:          make(map[ids.Upstream]*Upstream, len(d.byID)),
		missing:       make(map[ids.Upstream]bool, len(d.missingUntil)),
		outdated:      make(map[ids.Upstream]*Upstream, len(d.deferred)),
	}
	for id, u := range d.byID {
		if !d.isCurrent(u) {
			continue
		}
		v.byID[id] = u
		v.services[u.Service] = append(v.services[u.Service], u)
	}
	maps.Copy(v.byID, d.unconfigured)
	for id := range d.missingUntil {
		v.missing[id] = true
	}
	for id, waiting := range d.deferred {
		if waiting.upstream.Held {
			v.byID[id] = waiting.upstream
		} else {
			v.outdated[id] = waiting.upstream
		}
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b *Upstream) int { return a.ID.Compare(b.ID) })
	}
	return v
}

package directory

import (
	"maps"
	"slices"

	"mimosaarch.example/core/ids"
)

// View is the directory at one moment, for readers.
type View struct {
	// Revision is the registry's revision that the view stands for.
	Revision int64
	// Mark counts the changes of the Directory that gave the view.
	Mark     uint64
	services map[ids.Service][]*Upstream
	// byID also holds the entries whose service is not configured.
	byID map[ids.Upstream]*Upstream
	// recent are the last changes, the newest last, which is the one that Mark
	// counts.
	recent []noted
}

// Of gives the upstreams of a service in the order of their names, with those
// that are leaving; the slice must not be changed.
func (v *View) Of(service ids.Service) []*Upstream {
	if v == nil {
		return nil
	}
	return v.services[service]
}

// Get gives an upstream; nil if it is not there, or another life of it is.
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

// Len gives the number of entries.
func (v *View) Len() int {
	if v == nil {
		return 0
	}
	return len(v.byID)
}

// All gives every entry in the order of their names, also those whose service
// is not configured.
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

// Since gives what changed since an earlier view of the same Directory: the
// upstreams that are there, and the names of those that are not any more. It
// gives false if the changes since that mark are no longer known.
func (v *View) Since(mark uint64) (changed []*Upstream, gone []ids.Upstream, ok bool) {
	if v == nil || mark > v.Mark || v.Mark-mark > uint64(len(v.recent)) {
		return nil, nil, false
	}
	told := make(map[ids.Upstream]bool)
	for _, change := range v.recent[uint64(len(v.recent))-(v.Mark-mark):] {
		id := change.life.Upstream
		if told[id] {
			continue
		}
		told[id] = true
		if u := v.byID[id]; u != nil {
			changed = append(changed, u)
		} else {
			gone = append(gone, id)
		}
	}
	return changed, gone, true
}

// View gives the directory as it is now.
func (d *Directory) View() *View {
	v := &View{
		Revision: d.revision,
		Mark:     d.mark,
		recent:   d.recent,
		services: make(map[ids.Service][]*Upstream),
		byID:     make(map[ids.Upstream]*Upstream, len(d.byID)),
	}
	for id, u := range d.byID {
		if !d.present(u) {
			continue
		}
		v.byID[id] = u
		v.services[u.Service] = append(v.services[u.Service], u)
	}
	maps.Copy(v.byID, d.aside)
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b *Upstream) int { return a.ID.Compare(b.ID) })
	}
	return v
}

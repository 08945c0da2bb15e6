package directory

import (
	"maps"
	"slices"

	"mimosaarch.example/core/ids"
)

// SetServices tells which services there are. Entries of any other are set aside
// until theirs is configured: their writer may be mistaken, also about the
// address.
func (d *Directory) SetServices(services []ids.Service) []Change {
	d.services = make(map[ids.Service]bool, len(services))
	for _, s := range services {
		d.services[s] = true
	}
	var changes []Change
	for _, u := range sorted(d.byID) {
		if !d.services[u.Service] {
			changes = d.drop(changes, u)
			d.setAside(u)
		}
	}
	for _, u := range sorted(d.aside) {
		if d.services[u.Service] {
			changes = d.put(changes, u)
		}
	}
	return changes
}

// sorted gives the upstreams of a map in the order of their names.
func sorted(byID map[ids.Upstream]*Upstream) []*Upstream {
	return slices.SortedFunc(maps.Values(byID), func(a, b *Upstream) int { return a.ID.Compare(b.ID) })
}

// setAside keeps an entry whose service is not configured. Views hold it for
// peers, which may know more.
func (d *Directory) setAside(u *Upstream) {
	d.aside[u.ID.Upstream] = u
	d.note(u.ID, false)
}

// forgetAside drops an entry that was set aside, if there is one.
func (d *Directory) forgetAside(u *Upstream) {
	if u == nil {
		return
	}
	delete(d.aside, u.ID.Upstream)
	d.note(u.ID, false)
}

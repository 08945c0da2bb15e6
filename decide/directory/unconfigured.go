package directory

import (
	"maps"
	"slices"

	"mimosaarch.example/core/ids"
)

// SetServices sets the configured services. Entries of other services are kept apart
// until their service is configured, because whoever wrote such an entry may be wrong
// about its address too. It returns the changes to the active entries.
func (d *Directory) SetServices(services []ids.Service) []Change {
	d.services = make(map[ids.Service]bool, len(services))
	for _, s := range services {
		d.services[s] = true
	}
	var changes []Change
	for _, u := range sortedByID(d.byID) {
		if !d.services[u.Service] {
			changes = d.drop(changes, u)
			d.addUnconfigured(u)
		}
	}
	for _, u := range sortedByID(d.unconfigured) {
		if d.services[u.Service] {
			changes = d.put(changes, u)
		}
	}
	return changes
}

// isConfigured reports whether the service of an entry is configured, or none is known.
func (d *Directory) isConfigured(u *Upstream) bool {
	return d.services == nil || d.services[u.Service]
}

// sortedByID returns the upstreams of a map, sorted by ID.
func sortedByID(byID map[ids.Upstream]*Upstream) []*Upstream {
	return slices.SortedFunc(maps.Values(byID), func(a, b *Upstream) int { return a.ID.Compare(b.ID) })
}

// addUnconfigured keeps an entry whose service is not configured. Views contain it for
// peers, whose configuration may be newer.
func (d *Directory) addUnconfigured(u *Upstream) {
	d.unconfigured[u.ID.Upstream] = u
	d.recordChange(u.ID, false)
}

// removeUnconfigured drops the unconfigured entry u. It does nothing if u is nil.
func (d *Directory) removeUnconfigured(u *Upstream) {
	if u == nil {
		return
	}
	delete(d.unconfigured, u.ID.Upstream)
	d.recordChange(u.ID, false)
}

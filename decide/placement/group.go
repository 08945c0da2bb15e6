package placement

import (
	"cmp"
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// groups partitions the engines into groups that hold copies of the model together.
// Each zone is a group, because zones may be cut off from each other; if no zone
// has memory for a full copy but the fleet has, all engines are one group. A
// group's engines are in the order in which they are assigned layers: zone by zone,
// so that chains rarely cross zones, and the fastest first.
func groups(m *layered.Model, engines []Engine) [][]Engine {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(m.Cards[a.Card].StepFactor, m.Cards[b.Card].StepFactor), a.ID.Compare(b.ID))
	})
	zones := splitByZone(engines)
	maxFraction := minReserveOptions(m).groupFraction
	fits := func(zone []Engine) bool { return groupCapacity(m, zone, maxFraction) >= m.Layers }
	if len(zones) > 1 && !slices.ContainsFunc(zones, fits) && fits(engines) {
		return [][]Engine{engines}
	}
	return zones
}

// splitByZone splits engines that are sorted by zone into one slice for each zone.
func splitByZone(engines []Engine) [][]Engine {
	var zones [][]Engine
	last := ids.Zone("")
	for i, e := range engines {
		if i == 0 || e.Zone != last {
			zones = append(zones, nil)
		}
		last = e.Zone
		zones[len(zones)-1] = append(zones[len(zones)-1], e)
	}
	return zones
}

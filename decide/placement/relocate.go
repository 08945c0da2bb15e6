package placement

import (
	"cmp"
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Limits of the search for engines to move to a gap.
const (
	// maxMoveCandidates is the number of engines that are tried.
	maxMoveCandidates = 12
	// maxMovedEngines is the number of engines that may move.
	maxMovedEngines = 3
)

// tilingWithRelocation returns the cheapest tiling if up to maxMovedEngines engines
// may move to gaps, and the engines in the order of their segments. It returns nil
// if no such tiling covers all layers.
func tilingWithRelocation(m *layered.Model, engines []Engine, opts Options) ([]Engine, *segment) {
	ordered := inModelOrder(engines)
	best := newTilings(m, ordered, opts, drainCostOf(m, ordered))
	gaps := findGaps(coverage(m, ordered))
	free := relocatable(ordered)
	rows := best.newRows()
	for range maxMovedEngines {
		moved := best
		for _, id := range free {
			for _, gap := range gaps {
				other := best.reordered(withRelocated(best.ordered, id, gap), rows)
				if other.cost() < moved.cost() {
					moved, rows = other, best.newRows()
				}
			}
		}
		if moved == best {
			break
		}
		best = moved
	}
	last := best.last()
	if last.missing > 0 {
		return nil, nil
	}
	return best.ordered, last
}

// relocatable returns the engines that may move to a gap, those with the fewest
// layers first. First-stage engines are excluded, because a stream cannot change
// its first stage.
func relocatable(ordered []Engine) []ids.Instance {
	free := slices.DeleteFunc(slices.Clone(ordered), func(e Engine) bool { return e.Fixed || e.Holds.From == 0 })
	slices.SortStableFunc(free, func(a, b Engine) int { return cmp.Compare(a.Holds.Len(), b.Holds.Len()) })
	var some []ids.Instance
	for _, e := range free[:min(len(free), maxMoveCandidates)] {
		some = append(some, e.ID)
	}
	return some
}

// withRelocated returns the ordered engines with one of them moved to the position
// of the gap.
func withRelocated(ordered []Engine, id ids.Instance, gap layered.Range) []Engine {
	from := slices.IndexFunc(ordered, func(e Engine) bool { return e.ID == id })
	moved := slices.Delete(slices.Clone(ordered), from, from+1)
	to := slices.IndexFunc(moved, func(e Engine) bool { return e.heldAfterOrder().From+e.heldAfterOrder().To > gap.From+gap.To })
	if to < 0 {
		to = len(moved)
	}
	return slices.Insert(moved, to, ordered[from])
}

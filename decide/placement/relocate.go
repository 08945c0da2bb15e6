package placement

import (
	"cmp"
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Bounds of the search for engines that go elsewhere.
const (
	// maxRelocatable engines are tried.
	maxRelocatable = 12
	// maxRelocated of them go.
	maxRelocated = 3
)

// relocating finds the cheapest way to run every layer once, where some engines may go to
// where layers are missing; nil if there is none. It gives the engines in the order in which
// they come to lie along the model, too.
func relocating(m *layered.Model, engines []Engine, room Options) ([]Engine, *tile) {
	along := alongModel(engines)
	ending := endingLayers(m, along)
	best := tiling(m, along, room, ending)
	gaps := holes(coverage(m, along))
	free := relocatable(along)
	for range maxRelocated {
		moved, last := along, best
		for _, id := range free {
			for _, gap := range gaps {
				other := relocate(along, id, gap)
				if t := tiling(m, other, room, ending); t.cost < last.cost {
					moved, last = other, t
				}
			}
		}
		if last == best {
			break
		}
		along, best = moved, last
	}
	if best.missing > 0 {
		return nil, nil
	}
	return along, best
}

// relocatable gives engines that may go elsewhere: those with the fewest layers first. The
// first stage of streams is none: they cannot change it.
func relocatable(along []Engine) []ids.Life {
	free := slices.DeleteFunc(slices.Clone(along), func(e Engine) bool { return e.Fixed || e.Holds.From == 0 })
	slices.SortStableFunc(free, func(a, b Engine) int { return cmp.Compare(a.Holds.Len(), b.Holds.Len()) })
	var some []ids.Life
	for _, e := range free[:min(len(free), maxRelocatable)] {
		some = append(some, e.ID)
	}
	return some
}

// relocate gives the engines along the model with one of them where layers are missing.
func relocate(along []Engine, id ids.Life, gap layered.Range) []Engine {
	from := slices.IndexFunc(along, func(e Engine) bool { return e.ID == id })
	moved := slices.Delete(slices.Clone(along), from, from+1)
	to := slices.IndexFunc(moved, func(e Engine) bool { return e.will().From+e.will().To > gap.From+gap.To })
	if to < 0 {
		to = len(moved)
	}
	return slices.Insert(moved, to, along[from])
}

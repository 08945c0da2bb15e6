package order

import "time"

// chainStays reports whether the engines of a service still make a whole
// chain while one more of them loads. Where even all that are present make
// none, there is nothing to lose.
func (p *Planner) chainStays(now time.Time, next *engine) bool {
	var present, working []*engine
	for _, e := range p.engines {
		if e.service != next.service || !p.present(now, e) {
			continue
		}
		present = append(present, e)
		if e != next && !p.loading(now, e) {
			working = append(working, e)
		}
	}
	layers := p.plans[next.service].Layers
	return anyChain(working, layers) || !anyChain(present, layers)
}

// anyChain reports whether, for some model, the engines' ranges tile all
// layers.
func anyChain(engines []*engine, layers int) bool {
	models := make(map[string]bool)
	for _, e := range engines {
		if !models[e.report.Model] {
			models[e.report.Model] = true
			if chain(engines, e.report.Model, layers) {
				return true
			}
		}
	}
	return false
}

// chain reports whether the ranges of one model tile all layers, without gap
// or overlap.
func chain(engines []*engine, model string, layers int) bool {
	reached := make([]bool, layers+1)
	reached[0] = true
	for at := range layers {
		if !reached[at] {
			continue
		}
		for _, e := range engines {
			r := e.report
			if r.Model == model && r.First == at && r.Last >= at && r.Last < layers {
				reached[r.Last+1] = true
			}
		}
	}
	return reached[layers]
}

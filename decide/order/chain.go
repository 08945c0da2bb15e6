package order

import "time"

// chainSurvivesLoad reports whether the engines of a service still form a complete
// chain while candidate loads too. It also reports true if not even all engines
// that are present form one, because then a load takes nothing away.
func (p *Planner) chainSurvivesLoad(now time.Time, candidate *engine) bool {
	var present, working []*engine
	for _, e := range p.engines {
		if e.service != candidate.service || !p.present(now, e) {
			continue
		}
		present = append(present, e)
		if e != candidate && !p.loading(now, e) {
			working = append(working, e)
		}
	}
	layers := p.plans[candidate.service].Layers
	return hasChain(working, layers) || !hasChain(present, layers)
}

// hasChain reports whether the engines' ranges tile all layers for some model.
func hasChain(engines []*engine, layers int) bool {
	models := make(map[string]bool)
	for _, e := range engines {
		if !models[e.report.Model] {
			models[e.report.Model] = true
			if tilesLayers(engines, e.report.Model, layers) {
				return true
			}
		}
	}
	return false
}

// tilesLayers reports whether the ranges of engines with the given model can be
// joined into one that covers all layers, without gap or overlap.
func tilesLayers(engines []*engine, model string, layers int) bool {
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

package placement

import "mimosaarch.example/core/layered"

// Fractions of a card's memory that weights may take.
const (
	// DefaultWeightFraction is used if the remaining memory is no more than
	// requests can use, or if the engines report no slots.
	DefaultWeightFraction = 0.6
	// maxUsualWeightFraction limits the fraction while no layer is missing. Engines
	// behind the first stage serve requests of several first stages, so they need
	// more KV cache than their own slots suggest.
	maxUsualWeightFraction = 0.75
	// minRepairWeightFraction is always allowed while layers are missing, however large
	// requests are: a zone with a gap serves no request.
	minRepairWeightFraction = 0.8
)

// KV cache to reserve in addition to the weights, as a number of concurrent requests of mean
// size. A fixed fraction of the memory would ignore the length of prompts.
const (
	// slotUtilization is the fraction of an engine's slots for whose requests it keeps
	// KV cache. An engine gets more requests only while requests queue for it.
	slotUtilization = 0.85
	// repairReserveStreams is the number of requests for which an engine keeps KV cache
	// when it takes over missing layers.
	repairReserveStreams = 60
	// minReserveStreams is the number of requests for which an engine keeps KV cache if
	// its zone could not hold the whole model otherwise.
	minReserveStreams = 32
)

// weightFractionStep is the step of the search for a group's weight fraction.
const weightFractionStep = 0.01

// weightFractionWithKVCache returns the fraction of a card's memory, 0 to 1, that weights may
// take so that the KV cache of the given number of mean-sized requests fits besides
// them; 0 if the size of requests or of their cache is unknown.
func weightFractionWithKVCache(m *layered.Model, streams float64) float64 {
	return m.MaxWeightFraction(streams * (m.MeanPromptTokens + m.MeanOutputTokens))
}

// repairOptions returns options that leave KV cache for repairReserveStreams requests.
func repairOptions(m *layered.Model) Options {
	return Options{groupFraction: max(weightFractionWithKVCache(m, repairReserveStreams), minRepairWeightFraction)}
}

// minReserveOptions returns options that leave KV cache for only minReserveStreams requests:
// the highest weight fraction that is allowed.
func minReserveOptions(m *layered.Model) Options {
	return Options{groupFraction: max(weightFractionWithKVCache(m, minReserveStreams), minRepairWeightFraction)}
}

// usualFraction returns the weight fraction of a group that leaves KV cache for the
// requests of its engines' slots, limited to DefaultWeightFraction through
// maxUsualWeightFraction.
func usualFraction(m *layered.Model, engines []Engine) float64 {
	slots := 0
	for _, e := range engines {
		slots = max(slots, e.Slots)
	}
	if slots == 0 {
		return DefaultWeightFraction
	}
	return min(max(weightFractionWithKVCache(m, slotUtilization*float64(slots)), DefaultWeightFraction), maxUsualWeightFraction)
}

// fittingFraction returns the weight fraction of a group: the smallest from usual
// upwards with which its engines can hold the whole model, or usual if none
// suffices.
func fittingFraction(m *layered.Model, engines []Engine, usual float64) float64 {
	maxFraction := minReserveOptions(m).groupFraction
	for fraction := usual; fraction < maxFraction; fraction += weightFractionStep {
		if groupCapacity(m, engines, fraction) >= m.Layers {
			return fraction
		}
	}
	if groupCapacity(m, engines, maxFraction) >= m.Layers {
		return max(maxFraction, usual)
	}
	return usual
}

// groupCapacity counts the layers that the engines can hold together with the given
// weight fraction.
func groupCapacity(m *layered.Model, engines []Engine, groupFraction float64) int {
	layers := 0
	for _, e := range engines {
		layers += capacity(m, e, Options{groupFraction: groupFraction})
	}
	return layers
}

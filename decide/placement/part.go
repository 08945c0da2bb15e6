package placement

import "mimosaarch.example/core/layered"

// Parts of a card's memory for weights.
const (
	// DefaultPart is taken where the rest is not more than requests can use.
	DefaultPart = 0.6
	// mostUsual is the most that is taken while nothing is missing: engines behind the
	// first stage serve the requests of several first stages.
	mostUsual = 0.75
	// leastWidest may be taken where layers are missing, however large requests are: a
	// zone with a hole serves nothing.
	leastWidest = 0.8
)

// Rooms beside weights, in requests of the usual size that an engine can hold at once. A
// part of the memory would be as much room for long prompts as for short ones.
const (
	// usedSlots is the part of the requests that an engine may work on at once for which
	// it has room: more come to it only while they queue.
	usedSlots = 0.85
	// fewStreams is left where an engine fills a hole beside its own layers.
	fewStreams = 60
	// leastStreams is left where a zone would not hold the model else.
	leastStreams = 32
)

// partStep is the step of the search for a group's part.
const partStep = 0.01

// partBeside gives the part of a card's memory that weights may take, 0 to 1, so that
// an engine has room for so many requests of the usual size beside its layers; 0 where
// the size of requests or their cache is not told.
func partBeside(m *layered.Model, streams float64) float64 {
	return m.MaxWeightFraction(streams * (m.MeanPromptTokens + m.MeanOutputTokens))
}

// widest are options by which engines leave the room of few requests.
func widest(m *layered.Model) Options {
	return Options{part: max(partBeside(m, fewStreams), leastWidest)}
}

// fullest are options by which engines leave the least room.
func fullest(m *layered.Model) Options {
	return Options{part: max(partBeside(m, leastStreams), leastWidest)}
}

// usualPart gives the part of memory for weights in a group: all but the room for as many
// requests as its engines may work on at once, from DefaultPart to mostUsual.
func usualPart(m *layered.Model, engines []Engine) float64 {
	slots := 0
	for _, e := range engines {
		slots = max(slots, e.Slots)
	}
	if slots == 0 {
		return DefaultPart
	}
	return min(max(partBeside(m, usedSlots*float64(slots)), DefaultPart), mostUsual)
}

// groupPart gives the part of memory for weights in a group: the usual one, or the smallest
// above it by which its engines hold the whole model, if there is one.
func groupPart(m *layered.Model, engines []Engine, usual float64) float64 {
	most := fullest(m).part
	for part := usual; part < most; part += partStep {
		if layersAt(m, engines, part) >= m.Layers {
			return part
		}
	}
	if layersAt(m, engines, most) >= m.Layers {
		return max(most, usual)
	}
	return usual
}

// layersAt counts the layers that engines hold together with a part of their memory
// for weights.
func layersAt(m *layered.Model, engines []Engine, part float64) int {
	layers := 0
	for _, e := range engines {
		layers += capacity(m, e, Options{part: part})
	}
	return layers
}

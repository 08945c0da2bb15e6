package fleet

import (
	"fmt"

	"mimosaarch.example/standin/engine"
	"mimosaarch.example/standin/plain"
)

// zoneNames are the availability zones of the preset fleets.
var zoneNames = [...]string{"szeged-a", "szeged-b", "kecskemet"}

// layerRange is a range of layers, both ends included.
type layerRange struct{ first, last int }

// stageSpec is one stage of a preset fleet. Its engines hold layers and take the
// rates in turn, in token steps per second. slots limits the requests that each runs
// at once.
type stageSpec struct {
	name   string
	layers layerRange
	rates  []float64
	slots  int
}

const (
	// largeLayers is the number of layers of the model of Large.
	largeLayers = 48
	// headSlots and stageSlots limit the requests run at once by a head and by an
	// engine of a later stage.
	headSlots  = 16
	stageSlots = 48
)

// largeStages are the stages of Large.
var largeStages = [...]stageSpec{
	{name: "head", layers: layerRange{0, 19}, rates: []float64{320, 240, 380, 180}, slots: headSlots},
	{name: "mid", layers: layerRange{20, 35}, rates: []float64{260, 400, 200, 300}, slots: stageSlots},
	{name: "tail", layers: layerRange{36, 47}, rates: []float64{340, 220, 300, 420}, slots: stageSlots},
}

// largeChainsPerZone is the number of chains of Large in each of zoneNames. With 3
// stages each, they make 30 engines.
var largeChainsPerZone = [...]int{4, 3, 3}

// linkSpec is a kind of connection between engines. rate is in token steps per
// second; 0 means no limit.
type linkSpec struct {
	latencyUs int64
	rate      float64
}

// Kinds of links of Large: to the engine of the same chain, to another chain in the
// same zone, and to the next zone.
var (
	sameChainLink = linkSpec{latencyUs: 100, rate: 400}
	sameZoneLink  = linkSpec{latencyUs: 800, rate: 120}
	crossZoneLink = linkSpec{latencyUs: 2000, rate: 40}
)

// Large returns a fleet of realistic size: 3 zones, 30 engines in 3 stages of
// different sizes, on accelerators and links of different speeds, and one plain
// upstream per zone. scale multiplies the rates of all engines and links.
func Large(scale float64) Config {
	cfg := Config{Layers: largeLayers, Plains: plainPerZone()}
	for z, zone := range zoneNames {
		for k, stage := range largeStages {
			for n := range largeChainsPerZone[z] {
				spec := newEngineConfig(stage, z, n, scale)
				spec.Links = largeLinks(k, z, n, scale)
				cfg.Engines = append(cfg.Engines, EngineSpec{Zone: zone, Engine: spec})
			}
		}
	}
	return cfg
}

// newEngineConfig returns the configuration of the n-th engine of a stage in a zone,
// without links. zone is an index into zoneNames.
func newEngineConfig(stage stageSpec, zone, n int, scale float64) engine.Config {
	return engine.Config{
		ID:    engineID(stage.name, zone, n),
		First: stage.layers.first,
		Last:  stage.layers.last,
		Rate:  stage.rates[(zone+n)%len(stage.rates)] * scale,
		Slots: stage.slots,
	}
}

// engineID returns the ID of an engine, such as "head-szeged-a-0". zone is an index
// into zoneNames.
func engineID(stage string, zone, n int) string {
	return fmt.Sprintf("%s-%s-%d", stage, zoneNames[zone], n)
}

// largeLinks returns the links of the n-th engine of the k-th stage in a zone of
// Large: to every engine of the next stage in its zone, and to one in the next zone.
func largeLinks(k, zone, n int, scale float64) []engine.Link {
	if k+1 == len(largeStages) {
		return nil
	}
	next := largeStages[k+1].name
	links := make([]engine.Link, 0, largeChainsPerZone[zone]+1)
	for to := range largeChainsPerZone[zone] {
		l := sameZoneLink
		if to == n {
			l = sameChainLink
		}
		links = append(links, l.newLink(engineID(next, zone, to), scale))
	}
	nextZone := (zone + 1) % len(zoneNames)
	return append(links, crossZoneLink.newLink(engineID(next, nextZone, n%largeChainsPerZone[nextZone]), scale))
}

// newLink returns a link of this kind to the engine with the given ID.
func (l linkSpec) newLink(id string, scale float64) engine.Link {
	return engine.Link{To: id, LatencyUs: l.latencyUs, Rate: l.rate * scale}
}

// plainPerZone returns one plain upstream per zone.
func plainPerZone() []PlainSpec {
	out := make([]PlainSpec, 0, len(zoneNames))
	for _, zone := range zoneNames {
		out = append(out, PlainSpec{Zone: zone, Plain: plain.Config{ID: "booking-" + zone}})
	}
	return out
}

const (
	// smallLayers is the number of layers of the model of Small.
	smallLayers = 12
	// smallRate is the rate of every engine of Small, in token steps per second.
	smallRate = 2000
)

// smallLink is the kind of all links of Small, without a rate limit.
var smallLink = linkSpec{latencyUs: 50}

// smallStages are the stages of Small.
var smallStages = [...]stageSpec{
	{name: "head", layers: layerRange{0, 3}, rates: []float64{smallRate}, slots: headSlots},
	{name: "mid", layers: layerRange{4, 8}, rates: []float64{smallRate}, slots: stageSlots},
	{name: "tail", layers: layerRange{9, 11}, rates: []float64{smallRate}, slots: stageSlots},
}

// Small returns a fast fleet of 3 zones with one chain of 3 engines and one plain
// upstream each. Every engine has a link to every engine of the next stage, and links
// have no rate limit. Engines have IDs such as "head-szeged-a-0", plain upstreams
// such as "booking-szeged-a".
func Small() Config {
	cfg := Config{Layers: smallLayers, Plains: plainPerZone()}
	for z, zone := range zoneNames {
		for k, stage := range smallStages {
			spec := newEngineConfig(stage, z, 0, 1)
			spec.Links = smallLinks(k)
			cfg.Engines = append(cfg.Engines, EngineSpec{Zone: zone, Engine: spec})
		}
	}
	return cfg
}

// smallLinks returns the links of an engine of the k-th stage of Small.
func smallLinks(k int) []engine.Link {
	if k+1 == len(smallStages) {
		return nil
	}
	links := make([]engine.Link, 0, len(zoneNames))
	for zone := range zoneNames {
		links = append(links, smallLink.newLink(engineID(smallStages[k+1].name, zone, 0), 1))
	}
	return links
}

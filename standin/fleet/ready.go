package fleet

import (
	"fmt"

	"mimosaarch.example/standin/engine"
	"mimosaarch.example/standin/plain"
)

// zoneNames are the availability zones of the ready sets.
var zoneNames = [...]string{"szeged-a", "szeged-b", "kecskemet"}

// span is a range of layers, both ends included.
type span struct{ first, last int }

// kind is one stage of a ready set: the layers it holds, and the rates its
// engines take in turn, in token steps a second.
type kind struct {
	name  string
	span  span
	rates []float64
	slots int
}

// Figures of the set of today's size.
const (
	todayLayers = 48
	// headSlots and stageSlots are the requests run at once by heads and by
	// engines of later stages.
	headSlots  = 16
	stageSlots = 48
)

// todayKinds are the stages of the set of today's size.
var todayKinds = [...]kind{
	{name: "head", span: span{0, 19}, rates: []float64{320, 240, 380, 180}, slots: headSlots},
	{name: "mid", span: span{20, 35}, rates: []float64{260, 400, 200, 300}, slots: stageSlots},
	{name: "tail", span: span{36, 47}, rates: []float64{340, 220, 300, 420}, slots: stageSlots},
}

// todayChains is the count of chains in each zone: 30 engines in all.
var todayChains = [...]int{4, 3, 3}

// linkKind is one kind of connection between accelerators.
type linkKind struct {
	latencyUs int64
	rate      float64
}

// Kinds of links of the set of today's size: between neighbours, within a
// zone, and to the next zone.
var (
	nearLink = linkKind{latencyUs: 100, rate: 400}
	zoneLink = linkKind{latencyUs: 800, rate: 120}
	farLink  = linkKind{latencyUs: 2000, rate: 40}
)

// Large is a set of today's size: 3 zones, 30 engines of 3 unequal stages on
// unlike accelerators and links, and 3 plain upstreams. All rates are
// multiplied by scale.
func Large(scale float64) Config {
	cfg := Config{Layers: todayLayers, Plains: onePlainEach()}
	for z, zone := range zoneNames {
		for k, stage := range todayKinds {
			for n := range todayChains[z] {
				spec := engineOf(stage, z, n, scale)
				spec.Links = todayLinks(k, z, n, scale)
				cfg.Engines = append(cfg.Engines, EngineSpec{Zone: zone, Engine: spec})
			}
		}
	}
	return cfg
}

// engineOf describes the n-th engine of a stage in a zone, without links.
func engineOf(stage kind, zone, n int, scale float64) engine.Config {
	return engine.Config{
		ID:    engineID(stage.name, zone, n),
		First: stage.span.first,
		Last:  stage.span.last,
		Rate:  stage.rates[(zone+n)%len(stage.rates)] * scale,
		Slots: stage.slots,
	}
}

// engineID names an engine, such as "head-szeged-a-0".
func engineID(stage string, zone, n int) string {
	return fmt.Sprintf("%s-%s-%d", stage, zoneNames[zone], n)
}

// todayLinks gives the links of the n-th engine of the k-th stage in a zone:
// to every engine of the next stage in its zone, and to one in the next zone.
func todayLinks(k, zone, n int, scale float64) []engine.Link {
	if k+1 == len(todayKinds) {
		return nil
	}
	next := todayKinds[k+1].name
	links := make([]engine.Link, 0, todayChains[zone]+1)
	for to := range todayChains[zone] {
		l := zoneLink
		if to == n {
			l = nearLink
		}
		links = append(links, l.to(engineID(next, zone, to), scale))
	}
	far := (zone + 1) % len(zoneNames)
	return append(links, farLink.to(engineID(next, far, n%todayChains[far]), scale))
}

// to makes a link to an engine.
func (l linkKind) to(id string, scale float64) engine.Link {
	return engine.Link{To: id, LatencyUs: l.latencyUs, Rate: l.rate * scale}
}

// onePlainEach describes one plain upstream a zone.
func onePlainEach() []PlainSpec {
	out := make([]PlainSpec, 0, len(zoneNames))
	for _, zone := range zoneNames {
		out = append(out, PlainSpec{Zone: zone, Plain: plain.Config{ID: "booking-" + zone}})
	}
	return out
}

// Figures of the small set.
const (
	smallLayers = 12
	smallRate   = 2000
)

// smallLink has no limit to its rate.
var smallLink = linkKind{latencyUs: 50}

// smallKinds are the stages of the small set.
var smallKinds = [...]kind{
	{name: "head", span: span{0, 3}, rates: []float64{smallRate}, slots: headSlots},
	{name: "mid", span: span{4, 8}, rates: []float64{smallRate}, slots: stageSlots},
	{name: "tail", span: span{9, 11}, rates: []float64{smallRate}, slots: stageSlots},
}

// Small is a fast set of 3 zones with one chain of 3 engines and one plain
// upstream each. Every engine may go on to any of the next stage, and links
// have no limit. Engines are named "head-szeged-a-0" and so on, plain
// upstreams "booking-szeged-a".
func Small() Config {
	cfg := Config{Layers: smallLayers, Plains: onePlainEach()}
	for z, zone := range zoneNames {
		for k, stage := range smallKinds {
			spec := engineOf(stage, z, 0, 1)
			spec.Links = smallLinks(k)
			cfg.Engines = append(cfg.Engines, EngineSpec{Zone: zone, Engine: spec})
		}
	}
	return cfg
}

// smallLinks gives the links of an engine of the k-th stage.
func smallLinks(k int) []engine.Link {
	if k+1 == len(smallKinds) {
		return nil
	}
	links := make([]engine.Link, 0, len(zoneNames))
	for zone := range zoneNames {
		links = append(links, smallLink.to(engineID(smallKinds[k+1].name, zone, 0), 1))
	}
	return links
}

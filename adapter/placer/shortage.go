package placer

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/placement"
)

// Waits while layers are missing.
const (
	// moveAfter is how long a zone must lack layers before engines that hold
	// others are moved: most engines that crash are back, empty, in less.
	moveAfter = 2500 * time.Millisecond
	// urgentAfter is the same while fewer than half of the zones hold every layer:
	// long enough for a widened neighbour's order to be sent.
	urgentAfter = 300 * time.Millisecond
	// plannedAfter is the same where engines leave as planned, which do not come back: long
	// enough for an empty one that replaces them to be seen.
	plannedAfter = 500 * time.Millisecond
	// plannedFor is how long a zone counts as one that engines leave as planned.
	plannedFor = 6 * time.Second
	// lostAfter is the silence after which an engine counts as lost before its
	// entry is gone, which takes three missed heartbeats, 3.6 s: with several
	// engines lost, a layer may be held nowhere until others load it.
	lostAfter = time.Second
)

// situation gives the engines as the plan is to see them, and which zones hold
// every layer. It is urgent where those are fewer than half: then silent engines
// count as lost. Else the other zones serve until it is certain.
func (p *Placer) situation(now time.Time, m *layered.Model, engines []*directory.Upstream) (state []placement.Engine, whole map[ids.Zone]bool, urgent bool) {
	answering := slices.DeleteFunc(slices.Clone(engines), func(u *directory.Upstream) bool {
		return p.opts.SilentFor(u) >= lostAfter
	})
	state = p.state(now, answering)
	whole = placement.CompleteZones(m, state)
	count := 0
	for _, ok := range whole {
		if ok {
			count++
		}
	}
	if urgent = 2*count < len(whole); !urgent {
		state = p.state(now, engines)
		whole = placement.CompleteZones(m, state)
	}
	return state, whole, urgent
}

// movable gives the zones that have lacked layers for long, those of engines that
// leave counted as missing.
func (p *Placer) movable(now time.Time, service ids.Service, whole, left map[ids.Zone]bool, urgent bool) map[ids.Zone]bool {
	move := make(map[ids.Zone]bool)
	for zone, ok := range whole {
		key := zoneOf{service, zone}
		if ok {
			delete(p.holeSince, key)
			continue
		}
		since, lacking := p.holeSince[key]
		if !lacking {
			since = now
		}
		p.holeSince[key] = since
		wait := moveAfter
		switch {
		case urgent:
			wait = urgentAfter
		case left[zone] || p.planned(now, key):
			wait = plannedAfter
		}
		move[zone] = now.Sub(since) >= wait
	}
	return move
}

// reassignable gives the zones in which engines whose layers others serve too may take over
// missing ones: at once where engines leave as planned, and else, as most that crash are
// back, where engines may be moved.
func (p *Placer) reassignable(now time.Time, service ids.Service, whole, left, move map[ids.Zone]bool) map[ids.Zone]bool {
	reassign := make(map[ids.Zone]bool)
	for zone, ok := range whole {
		if !ok {
			reassign[zone] = left[zone] || move[zone] || p.planned(now, zoneOf{service, zone})
		}
	}
	return reassign
}

// leftZones gives the zones that hold every layer but for engines that leave.
func leftZones(m *layered.Model, engines []*directory.Upstream) map[ids.Zone]bool {
	var all []placement.Engine
	leaving := make(map[ids.Zone]bool)
	for _, u := range engines {
		all = append(all, placement.Engine{ID: u.ID, Zone: u.Zone, Card: u.Card, Holds: u.Layers})
		leaving[u.Zone] = leaving[u.Zone] || u.Leaving
	}
	left := placement.CompleteZones(m, all)
	for zone, whole := range left {
		left[zone] = whole && leaving[zone]
	}
	return left
}

// notePlanned notes the zones in which engines leave: those that say so, and those
// whose entry goes though they answered to the last, as some never say it.
func (p *Placer) notePlanned(now time.Time, service ids.Service, engines []*directory.Upstream) {
	before := p.answering[service]
	answering := make(map[ids.Life]ids.Zone, len(engines))
	listed := make(map[ids.Life]bool, len(engines))
	for _, u := range engines {
		listed[u.ID] = true
		if p.opts.SilentFor(u) == 0 {
			answering[u.ID] = u.Zone
		}
		if u.Leaving {
			p.leftAt[zoneOf{service, u.Zone}] = now
		}
	}
	for id, zone := range before {
		if !listed[id] {
			p.leftAt[zoneOf{service, zone}] = now
		}
	}
	p.answering[service] = answering
}

// planned reports whether an engine of a zone leaves or left lately.
func (p *Placer) planned(now time.Time, key zoneOf) bool {
	at, left := p.leftAt[key]
	return left && now.Sub(at) < plannedFor
}

package placer

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/placement"
)

// Delays while layers are missing.
const (
	// moveDelay is how long a zone must lack layers before engines with other
	// layers are moved. Most engines that crash are back, empty, within that time.
	moveDelay = 2500 * time.Millisecond
	// urgentMoveDelay replaces moveDelay while fewer than half of the zones are
	// complete. It leaves time to send the order that extends a neighbour.
	urgentMoveDelay = 300 * time.Millisecond
	// plannedMoveDelay replaces moveDelay after planned departures, because those
	// engines do not come back. It leaves time for an empty replacement to appear.
	plannedMoveDelay = 500 * time.Millisecond
	// plannedDepartureWindow is how long a zone counts as having planned departures
	// after the last one.
	plannedDepartureWindow = 6 * time.Second
	// silentLostTimeout is the silence after which an engine counts as lost while
	// fewer than half of the zones are complete. Its directory entry expires later,
	// after three missed heartbeats or 3.6 s; if several engines are lost, a layer
	// may be held nowhere until others load it. Sound engines fall silent for a second
	// or so and go on.
	silentLostTimeout = 1500 * time.Millisecond
)

// assess returns the planner's view of the engines and which zones hold every
// layer. If fewer than half do, it is urgent and silent engines count as lost.
// Otherwise the complete zones serve until the loss is certain.
func (p *Placer) assess(now time.Time, m *layered.Model, engines []*directory.Upstream) (state []placement.Engine, complete map[ids.Zone]bool, urgent bool) {
	responsive := slices.DeleteFunc(slices.Clone(engines), func(u *directory.Upstream) bool {
		return p.opts.SilentFor(u) >= silentLostTimeout
	})
	state = p.engineStates(now, responsive)
	complete = placement.CompleteZones(m, state)
	count := 0
	for _, ok := range complete {
		if ok {
			count++
		}
	}
	if urgent = 2*count < len(complete); !urgent {
		state = p.engineStates(now, engines)
		complete = placement.CompleteZones(m, state)
	}
	return state, complete, urgent
}

// movableZones returns the zones that have lacked layers long enough for engines to
// be moved. Layers of engines that are leaving count as missing.
func (p *Placer) movableZones(now time.Time, service ids.Service, complete, leaving map[ids.Zone]bool, urgent bool) map[ids.Zone]bool {
	move := make(map[ids.Zone]bool)
	for zone, ok := range complete {
		key := serviceZone{service, zone}
		if ok {
			delete(p.gapSince, key)
			continue
		}
		since, lacking := p.gapSince[key]
		if !lacking {
			since = now
		}
		p.gapSince[key] = since
		wait := moveDelay
		switch {
		case urgent:
			wait = urgentMoveDelay
		case leaving[zone] || p.departurePlanned(now, key):
			wait = plannedMoveDelay
		}
		move[zone] = now.Sub(since) >= wait
	}
	return move
}

// reassignableZones returns the zones in which engines with redundant layers may
// take over missing ones: at once after planned departures, and otherwise together
// with moves, because most engines that crash come back.
func (p *Placer) reassignableZones(now time.Time, service ids.Service, complete, leaving, move map[ids.Zone]bool) map[ids.Zone]bool {
	reassign := make(map[ids.Zone]bool)
	for zone, ok := range complete {
		if !ok {
			reassign[zone] = leaving[zone] || move[zone] || p.departurePlanned(now, serviceZone{service, zone})
		}
	}
	return reassign
}

// leavingZones returns the zones that hold every layer only as long as their
// leaving engines are counted.
func leavingZones(m *layered.Model, engines []*directory.Upstream) map[ids.Zone]bool {
	var all []placement.Engine
	leaving := make(map[ids.Zone]bool)
	for _, u := range engines {
		all = append(all, placement.Engine{ID: u.ID, Zone: u.Zone, Card: u.Card, Holds: u.Layers})
		leaving[u.Zone] = leaving[u.Zone] || u.Leaving
	}
	complete := placement.CompleteZones(m, all)
	for zone, ok := range complete {
		complete[zone] = ok && leaving[zone]
	}
	return complete
}

// recordDepartures records the zones in which engines leave as planned: those that
// report it, and those whose directory entry disappears although they answered
// until then, since some engines never report it.
func (p *Placer) recordDepartures(now time.Time, service ids.Service, engines []*directory.Upstream) {
	previous := p.responsive[service]
	responsive := make(map[ids.Instance]ids.Zone, len(engines))
	listed := make(map[ids.Instance]bool, len(engines))
	for _, u := range engines {
		listed[u.ID] = true
		if p.opts.SilentFor(u) == 0 {
			responsive[u.ID] = u.Zone
		}
		if u.Leaving {
			p.lastDeparture[serviceZone{service, u.Zone}] = now
		}
	}
	for id, zone := range previous {
		if !listed[id] {
			p.lastDeparture[serviceZone{service, zone}] = now
		}
	}
	p.responsive[service] = responsive
}

// departurePlanned reports whether an engine of the zone is leaving as planned or
// left recently.
func (p *Placer) departurePlanned(now time.Time, key serviceZone) bool {
	at, left := p.lastDeparture[key]
	return left && now.Sub(at) < plannedDepartureWindow
}

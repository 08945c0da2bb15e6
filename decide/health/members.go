package health

import (
	"slices"
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

// SetPolicy sets the policy of a service. Unset fields take their defaults.
func (t *Tracker) SetPolicy(name ids.Service, policy fleet.HealthPolicy) {
	t.serviceOf(name).policy = withDefaults(policy)
}

// SetMembers sets the upstreams of a service. Those no longer listed are dropped with
// all their state. The first members of a service are up at once, later ones start with
// the weight of a return. An upstream that was a member of another service moves to
// this one.
func (t *Tracker) SetMembers(now time.Time, name ids.Service, members []ids.Upstream) {
	s := t.serviceOf(name)
	first := len(s.members) == 0
	listed := make(map[ids.Upstream]bool, len(members))
	for _, id := range members {
		listed[id] = true
	}
	for _, m := range slices.Clone(s.members) {
		if !listed[m.id] {
			t.forget(m)
		}
	}
	for _, id := range members {
		t.join(now, s, id, first)
	}
}

// serviceOf returns a service, and creates it if needed.
func (t *Tracker) serviceOf(name ids.Service) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{policy: withDefaults(fleet.HealthPolicy{})}
		t.services[name] = s
	}
	return s
}

// join adds an upstream to a service. first is true if the service had no members.
func (t *Tracker) join(now time.Time, s *service, id ids.Upstream, first bool) {
	if m, known := t.members[id]; known {
		if m.service == s {
			return
		}
		t.forget(m)
	}
	m := &member{id: id, service: s, circuit: newCircuit()}
	if !first {
		m.circuit.startReturn(now)
	}
	t.members[id] = m
	s.members = append(s.members, m)
}

// forget drops an upstream and its links.
func (t *Tracker) forget(m *member) {
	delete(t.members, m.id)
	m.service.members = slices.DeleteFunc(m.service.members, func(other *member) bool { return other == m })
	for key := range t.links {
		if key.from == m.id || key.to == m.id {
			delete(t.links, key)
		}
	}
}

// withDefaults returns a policy with defaults in place of unset fields.
func withDefaults(p fleet.HealthPolicy) fleet.HealthPolicy {
	p.Failures = defaults.Positive(p.Failures, DefaultFailures)
	if p.EjectFor <= 0 {
		p.EjectFor = fleet.Duration(DefaultEjectFor)
	}
	p.FloorPercent = defaults.Positive(p.FloorPercent, DefaultFloorPercent)
	return p
}

package router

import (
	"slices"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

// configSeen puts a configuration in force. Requests of a service that is no
// longer defined run to their end; new ones are refused.
func (r *Router) configSeen(ev ConfigReceived) {
	r.config = ev.Config
	for name, def := range ev.Config.Services {
		r.setService(name, def)
	}
	for name := range r.services {
		if _, ok := ev.Config.Services[name]; !ok {
			r.dropService(name)
		}
	}
	r.serviceNames = sortedKeys(r.services)
	r.rebuildAll()
}

// setService adds or updates one service and its health policy.
func (r *Router) setService(name ids.Service, def fleet.Service) {
	profile := r.profileOf(def)
	r.health.SetPolicy(name, profile.Health)
	if svc, ok := r.services[name]; ok {
		svc.update(def, profile, r.rand)
		return
	}
	r.services[name] = newService(def, profile, r.rand)
}

// dropService forgets a service that holds no request.
func (r *Router) dropService(name ids.Service) {
	for _, req := range r.requests {
		if req.svc == r.services[name] {
			return
		}
	}
	delete(r.services, name)
}

// profileOf gives the policy a service runs under; the defaults when its
// profile is not known.
func (r *Router) profileOf(def fleet.Service) fleet.Profile {
	if p, ok := r.config.Profiles[def.Profile]; ok {
		return p
	}
	return fleet.DefaultProfile()
}

// sortedKeys lists a map's keys in order, so that decisions do not depend on
// the order of maps.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

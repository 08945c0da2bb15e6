package router

import (
	"slices"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

// configReceived makes a configuration active. Requests of a service that was
// removed run to their end; new ones are refused.
func (r *Router) configReceived(ev ConfigReceived) {
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

// setService adds or updates a service and its health policy.
func (r *Router) setService(name ids.Service, def fleet.Service) {
	profile := r.profileOf(def)
	r.health.SetPolicy(name, profile.Health)
	if svc, ok := r.services[name]; ok {
		svc.update(def, profile, r.rand)
		return
	}
	r.services[name] = newService(def, profile, r.rand)
}

// dropService removes a service, unless a request of it is still held.
func (r *Router) dropService(name ids.Service) {
	for _, req := range r.requests {
		if req.svc == r.services[name] {
			return
		}
	}
	delete(r.services, name)
}

// profileOf returns the profile of a service, or the default profile if its own
// is unknown.
func (r *Router) profileOf(def fleet.Service) fleet.Profile {
	if p, ok := r.config.Profiles[def.Profile]; ok {
		return p
	}
	return fleet.DefaultProfile()
}

// sortedKeys returns a map's keys in order, so that decisions don't depend on the
// iteration order of maps.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

package fleet

import (
	"cmp"
	"fmt"
	"sync"

	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/standin/engine"
	"mimosaarch.example/standin/plain"
	"mimosaarch.example/standin/platform"
)

// UnknownUpstreamError tells that a set has no engine or plain upstream of a name.
type UnknownUpstreamError struct{ ID string }

// Error implements error.
func (e *UnknownUpstreamError) Error() string { return fmt.Sprintf("no upstream %q", e.ID) }

// Fleet is a running set of stand-ins. All methods may be called from any
// goroutine.
type Fleet struct {
	Platform *platform.Platform

	mu      sync.Mutex
	members []*member
	byID    map[string]*member
	extra   []platformapi.VM
}

// member is one upstream with its VM. One of engine and plain is set.
type member struct {
	vm         platformapi.VM
	engineSpec engine.Config
	plainSpec  plain.Config
	engine     *engine.Engine
	plain      *plain.Plain
	// gone marks one that was taken off the list.
	gone bool
}

// Start starts the set and publishes its VMs. The error tells that an address
// could not be listened on; nothing is left running then.
func Start(cfg Config) (*Fleet, error) {
	p, err := platform.Start(cfg.Platform)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Platform: p, byID: make(map[string]*member)}
	for _, m := range describe(cfg) {
		if err := m.start(); err != nil {
			f.Close()
			return nil, err
		}
		f.members = append(f.members, m)
		f.byID[m.vm.ID] = m
	}
	f.Publish()
	return f, nil
}

// describe lists the members of a set, none started.
func describe(cfg Config) []*member {
	modelService := cmp.Or(cfg.ModelService, ModelService)
	plainService := cmp.Or(cfg.PlainService, PlainService)
	out := make([]*member, 0, len(cfg.Engines)+len(cfg.Plains))
	for i, spec := range cfg.Engines {
		e := spec.Engine
		e.ID = cmp.Or(e.ID, fmt.Sprintf("engine-%d", i))
		e.Model = cmp.Or(e.Model, cmp.Or(cfg.Model, modelService))
		if e.Layers == 0 {
			e.Layers = cfg.Layers
		}
		out = append(out, &member{
			vm:         newVM(e.ID, spec.Zone, platformapi.RoleEngine, modelService),
			engineSpec: e,
		})
	}
	for i, spec := range cfg.Plains {
		s := spec.Plain
		s.ID = cmp.Or(s.ID, fmt.Sprintf("plain-%d", i))
		out = append(out, &member{
			vm:        newVM(s.ID, spec.Zone, platformapi.RolePlain, plainService),
			plainSpec: s,
		})
	}
	return out
}

// newVM makes the entry of a live VM, still without its address.
func newVM(id, zone, role, service string) platformapi.VM {
	return platformapi.VM{ID: id, Zone: zone, Role: role, State: platformapi.StateLive, Service: service}
}

// start starts the member's stand-in.
func (m *member) start() error {
	if m.vm.Role == platformapi.RolePlain {
		s, err := plain.Start(m.plainSpec)
		if err != nil {
			return err
		}
		m.plain = s
		m.vm.Address = s.Addr()
		return nil
	}
	e, err := engine.Start(m.engineSpec)
	if err != nil {
		return err
	}
	m.engine = e
	m.vm.Address = e.Addr()
	return nil
}

// close stops the member's stand-in.
func (m *member) close() {
	if m.engine != nil {
		m.engine.Close()
	}
	if m.plain != nil {
		m.plain.Close()
	}
}

// Publish lists the set's VMs, and besides them the extra ones (entry VMs),
// which take the place of those of the last call.
func (f *Fleet) Publish(extra ...platformapi.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extra = append([]platformapi.VM{}, extra...)
	f.publish()
}

// publish lists the VMs. The caller holds the lock.
func (f *Fleet) publish() {
	f.Platform.SetVMs(platform.VMsControl{VMs: append(f.list(), f.extra...)})
}

// list gives the set's own VMs. The caller holds the lock.
func (f *Fleet) list() []platformapi.VM {
	out := make([]platformapi.VM, 0, len(f.members)+len(f.extra))
	for _, m := range f.members {
		if !m.gone {
			out = append(out, m.vm)
		}
	}
	return out
}

// VMs lists the set's own VMs, without the extra ones.
func (f *Fleet) VMs() []platformapi.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list()
}

// Engine gives an engine by its ID, nil when there is none.
func (f *Fleet) Engine(id string) *engine.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.byID[id]
	if !ok {
		return nil
	}
	return m.engine
}

// Engines lists the engines in the order of the Config.
func (f *Fleet) Engines() []*engine.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*engine.Engine
	for _, m := range f.members {
		if m.engine != nil {
			out = append(out, m.engine)
		}
	}
	return out
}

// Plain gives a plain upstream by its ID, nil when there is none.
func (f *Fleet) Plain(id string) *plain.Plain {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.byID[id]
	if !ok {
		return nil
	}
	return m.plain
}

// Plains lists the plain upstreams in the order of the Config.
func (f *Fleet) Plains() []*plain.Plain {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*plain.Plain
	for _, m := range f.members {
		if m.plain != nil {
			out = append(out, m.plain)
		}
	}
	return out
}

// Close stops everything.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		m.close()
	}
	f.Platform.Close()
}

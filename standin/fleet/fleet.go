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

// UnknownUpstreamError reports an ID that no engine or plain upstream of the fleet
// has.
type UnknownUpstreamError struct{ ID string }

// Error implements error.
func (e *UnknownUpstreamError) Error() string { return fmt.Sprintf("no upstream %q", e.ID) }

// Fleet is a running set of stand-ins. It is safe for concurrent use.
type Fleet struct {
	Platform *platform.Platform

	mu      sync.Mutex
	members []*member
	byID    map[string]*member
	extra   []platformapi.VM // VMs published in addition to the members
}

// member is one upstream with its VM. After start, either engine or plain is set.
type member struct {
	vm         platformapi.VM
	engineSpec engine.Config
	plainSpec  plain.Config
	engine     *engine.Engine
	plain      *plain.Plain
	// unpublished means that the VM is left out of the published list.
	unpublished bool
}

// Start starts the stand-ins and publishes their VMs. The error is an
// *httpd.ListenError; the stand-ins already started are closed then.
func Start(cfg Config) (*Fleet, error) {
	p, err := platform.Start(cfg.Platform)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Platform: p, byID: make(map[string]*member)}
	for _, m := range newMembers(cfg) {
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

// newMembers returns the members of a fleet, with defaults filled in and none started.
func newMembers(cfg Config) []*member {
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

// newVM returns the published entry of a live VM, without an address.
func newVM(id, zone, role, service string) platformapi.VM {
	return platformapi.VM{ID: id, Zone: zone, Role: role, State: platformapi.StateLive, Service: service}
}

// start starts the member's stand-in and sets the address of its VM.
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

// Publish publishes the fleet's own VMs and the extra ones, such as entry VMs. The
// extra ones replace those of the previous call.
func (f *Fleet) Publish(extra ...platformapi.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extra = append([]platformapi.VM{}, extra...)
	f.publish()
}

// publish replaces the platform's list of VMs. The caller holds the lock.
func (f *Fleet) publish() {
	f.Platform.SetVMs(platform.VMsControl{VMs: append(f.ownVMs(), f.extra...)})
}

// ownVMs returns the VMs of the published members. The caller holds the lock.
func (f *Fleet) ownVMs() []platformapi.VM {
	out := make([]platformapi.VM, 0, len(f.members)+len(f.extra))
	for _, m := range f.members {
		if !m.unpublished {
			out = append(out, m.vm)
		}
	}
	return out
}

// VMs returns the fleet's own published VMs, without the extra ones.
func (f *Fleet) VMs() []platformapi.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownVMs()
}

// Engine returns the engine with an ID, or nil. Restart replaces it by a new one.
func (f *Fleet) Engine(id string) *engine.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.byID[id]
	if !ok {
		return nil
	}
	return m.engine
}

// Engines returns the engines in the order of the Config.
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

// Plain returns the plain upstream with an ID, or nil. Restart replaces it by a new
// one.
func (f *Fleet) Plain(id string) *plain.Plain {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.byID[id]
	if !ok {
		return nil
	}
	return m.plain
}

// Plains returns the plain upstreams in the order of the Config.
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

// Close stops all upstreams and the platform.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		m.close()
	}
	f.Platform.Close()
}

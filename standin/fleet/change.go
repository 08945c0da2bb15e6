package fleet

import "mimosaarch.example/core/platformapi"

// Kill stops an upstream abruptly. Its VM stays in the published list until
// Unpublish, because the platform's list also lags behind the actual state of the
// VMs. The error is an *UnknownUpstreamError.
func (f *Fleet) Kill(id string) error {
	return f.change(id, func(m *member) error {
		m.close()
		return nil
	})
}

// Restart starts an upstream again at the address that it had, after stopping it if
// it still runs, and publishes it as live. The error is an *UnknownUpstreamError, or
// an *httpd.ListenError if the address is not available.
func (f *Fleet) Restart(id string) error {
	return f.change(id, func(m *member) error {
		m.close()
		m.engineSpec.Listen = m.vm.Address
		m.plainSpec.Listen = m.vm.Address
		if err := m.start(); err != nil {
			return err
		}
		m.vm.State = platformapi.StateLive
		m.unpublished = false
		f.publish()
		return nil
	})
}

// MarkLeaving publishes an upstream as leaving; it continues to run. The error is an
// *UnknownUpstreamError.
func (f *Fleet) MarkLeaving(id string) error {
	return f.change(id, func(m *member) error {
		m.vm.State = platformapi.StateLeaving
		f.publish()
		return nil
	})
}

// Unpublish removes an upstream from the published list of VMs; it continues to run.
// The error is an *UnknownUpstreamError.
func (f *Fleet) Unpublish(id string) error {
	return f.change(id, func(m *member) error {
		m.unpublished = true
		f.publish()
		return nil
	})
}

// change calls do with a member while it holds the lock. It returns the error of do,
// or an *UnknownUpstreamError.
func (f *Fleet) change(id string, do func(*member) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.byID[id]
	if !ok {
		return &UnknownUpstreamError{ID: id}
	}
	return do(m)
}

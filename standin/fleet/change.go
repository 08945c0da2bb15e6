package fleet

import "mimosaarch.example/core/platformapi"

// Kill stops an upstream at once. Its VM stays on the list, which lags behind
// reality, until Remove. The error is an *UnknownError, as in all of these.
func (f *Fleet) Kill(id string) error {
	return f.change(id, func(m *member) error {
		m.close()
		return nil
	})
}

// Restart starts an upstream anew at the address it had, stopping it first if
// it still runs, and lists it as live. The error may also tell that the
// address could not be listened on.
func (f *Fleet) Restart(id string) error {
	return f.change(id, func(m *member) error {
		m.close()
		m.engineSpec.Listen = m.vm.Address
		m.plainSpec.Listen = m.vm.Address
		if err := m.start(); err != nil {
			return err
		}
		m.vm.State = platformapi.StateLive
		m.gone = false
		f.publish()
		return nil
	})
}

// MarkLeaving lists an upstream as leaving; it goes on running.
func (f *Fleet) MarkLeaving(id string) error {
	return f.change(id, func(m *member) error {
		m.vm.State = platformapi.StateLeaving
		f.publish()
		return nil
	})
}

// Unpublish takes an upstream off the list; it goes on running.
func (f *Fleet) Unpublish(id string) error {
	return f.change(id, func(m *member) error {
		m.gone = true
		f.publish()
		return nil
	})
}

// change calls do with a member under the lock.
func (f *Fleet) change(id string, do func(*member) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.byID[id]
	if !ok {
		return &UnknownUpstreamError{ID: id}
	}
	return do(m)
}

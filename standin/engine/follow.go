package engine

import (
	"io"
	"time"
)

// CutError ends the reading of a stream whose connection is to be closed
// without an end marker.
type CutError struct{}

// Error implements error.
func (*CutError) Error() string { return "stream cut" }

// follower reads a run's stream for one connection. It is an io.ReadCloser for
// one goroutine.
type follower struct {
	run *run
	// changed holds at most one signal.
	changed chan struct{}
	// done ends the reading.
	done <-chan struct{}
	// position is that of the next event, counted from the run's start.
	position int
	// after is the last index the reader has; tokens up to it are left out.
	after int
	// rest is encoded and not yet read.
	rest []byte
	// cut and ended tell what follows the rest.
	cut, ended bool
}

// follow adds a reader of the events after an index, until the stream's end or
// done; a run given up by its last reader goes on. The reader must be closed.
func (r *run) follow(after int, done <-chan struct{}) *follower {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := &follower{
		run:      r,
		changed:  make(chan struct{}, 1),
		done:     done,
		position: r.dropped,
		after:    after,
	}
	r.followers[f] = struct{}{}
	if r.abandoned != nil {
		r.abandoned.Stop()
	}
	return f
}

// Read implements io.Reader. It waits for events; the error is io.EOF after the
// stream's last event, or a *CutError.
func (f *follower) Read(p []byte) (int, error) {
	for len(f.rest) == 0 {
		switch {
		case f.cut:
			return 0, &CutError{}
		case f.ended:
			return 0, io.EOF
		}
		f.run.fill(f)
		if len(f.rest) > 0 || f.cut {
			continue
		}
		select {
		case <-f.changed:
		case <-f.done:
			f.cut = true
		}
	}
	n := copy(p, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}

// Close implements io.Closer. Without any reader, the run is cancelled after
// its linger time.
func (f *follower) Close() error {
	r := f.run
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.followers, f)
	if len(r.followers) == 0 && r.state == StateRunning {
		r.abandoned = time.AfterFunc(r.linger, r.stopAbandoned)
	}
	return nil
}

// stopAbandoned cancels the run if no one reads it.
func (r *run) stopAbandoned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.followers) == 0 {
		r.stopLocked()
	}
}

// covers reports whether the tokens after an index are all still kept.
func (r *run) covers(after int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return after+1 >= r.base+r.dropped
}

// fill gives a follower the events it has not seen.
func (r *run) fill(f *follower) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.rest = f.rest[:0]
	if f.position < r.dropped {
		f.cut = true
		return
	}
	for f.position < r.dropped+len(r.events) {
		ev := &r.events[f.position-r.dropped]
		f.position++
		if ev.token.Index <= f.after {
			continue
		}
		f.rest = append(f.rest, ev.data...)
		if ev.cut {
			ev.cut = false
			f.cut = true
			return
		}
	}
	if r.state != StateRunning {
		f.rest = append(f.rest, r.last...)
		f.ended = true
	}
}

package engine

import (
	"io"
	"time"
)

// CutError is returned by the reader of a stream whose connection must be closed
// without an end marker.
type CutError struct{}

// Error implements error.
func (*CutError) Error() string { return "stream cut" }

// streamReader reads the stream of a run for one connection. It is an io.ReadCloser
// and not safe for concurrent use.
type streamReader struct {
	run *run
	// changed signals new events or the end of the run; it holds at most one signal.
	changed chan struct{}
	// done is closed to cut the stream.
	done <-chan struct{}
	// position is the number of the next event to read, counted from the start of
	// the run.
	position int
	// after is the index of the last token that the caller has; tokens up to it are
	// skipped.
	after int
	// pending holds encoded events that were not read yet.
	pending []byte
	// cut means that Read returns a *CutError after pending, ended that it returns
	// io.EOF.
	cut, ended bool
}

// newReader adds a reader of the events whose token index is above after. It reads
// until the end of the stream or until done is closed, and it stops the linger timer
// of the run. The caller must close the reader.
func (r *run) newReader(after int, done <-chan struct{}) *streamReader {
	r.mu.Lock()
	defer r.mu.Unlock()
	sr := &streamReader{
		run:      r,
		changed:  make(chan struct{}, 1),
		done:     done,
		position: r.dropped,
		after:    after,
	}
	r.readers[sr] = struct{}{}
	if r.lingerTimer != nil {
		r.lingerTimer.Stop()
	}
	return sr
}

// Read implements io.Reader. It waits for events. The error is io.EOF after the last
// event of the stream, or a *CutError.
func (sr *streamReader) Read(p []byte) (int, error) {
	for len(sr.pending) == 0 {
		switch {
		case sr.cut:
			return 0, &CutError{}
		case sr.ended:
			return 0, io.EOF
		}
		sr.run.fill(sr)
		if len(sr.pending) > 0 || sr.cut {
			continue
		}
		select {
		case <-sr.changed:
		case <-sr.done:
			sr.cut = true
		}
	}
	n := copy(p, sr.pending)
	sr.pending = sr.pending[n:]
	return n, nil
}

// Close implements io.Closer. A run without readers is cancelled after its linger
// time.
func (sr *streamReader) Close() error {
	r := sr.run
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.readers, sr)
	if len(r.readers) == 0 && r.state == StateRunning {
		r.lingerTimer = time.AfterFunc(r.linger, r.stopIfUnread)
	}
	return nil
}

// stopIfUnread cancels the run if it has no reader.
func (r *run) stopIfUnread() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.readers) == 0 {
		r.stopLocked()
	}
}

// covers reports whether all tokens above index after are still kept.
func (r *run) covers(after int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return after+1 >= r.firstIndex+r.dropped
}

// fill encodes the events that a reader has not read into its pending bytes. It cuts
// a reader whose next event was already dropped.
func (r *run) fill(sr *streamReader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sr.pending = sr.pending[:0]
	if sr.position < r.dropped {
		sr.cut = true
		return
	}
	for sr.position < r.dropped+len(r.events) {
		ev := &r.events[sr.position-r.dropped]
		sr.position++
		if ev.token.Index <= sr.after {
			continue
		}
		sr.pending = append(sr.pending, ev.data...)
		if ev.cutAfter {
			ev.cutAfter = false
			sr.cut = true
			return
		}
	}
	if r.state != StateRunning {
		sr.pending = append(sr.pending, r.lastEvent...)
		sr.ended = true
	}
}

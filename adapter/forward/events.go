package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event. A longer event ends the stream, so that one upstream
// cannot exhaust the node's memory.
const maxEventBytes = 1 << 20

// EventError reports a malformed event or a gap in the event ids of a stream.
type EventError struct {
	// Last is the id of the last event passed on, Got the id of the event received.
	Last, Got int64
	Reason    string
}

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("event id %d after %d: %s", e.Got, e.Last, e.Reason)
}

// maxUncountedEventBytes is the largest buffer for an event that is not counted as memory of the
// caller's connection. A usual event is shorter.
const maxUncountedEventBytes = 4 << 10

// eventReader reads server-sent events from the body of a streaming response.
type eventReader struct {
	r *bufio.Reader
	// buf holds the event that is being read. account counts its memory.
	buf     []byte
	account eventAccount
}

// eventAccount counts the memory of a buffer. Reserve returns a *gate.ShedError if there is none.
type eventAccount interface {
	Reserve(n int64) error
	Release(n int64)
}

// event is one server-sent event, including the blank line that ends it.
type event struct {
	bytes []byte
	id    int64
	hasID bool
}

// next returns the next complete event. Its bytes are valid until the following call.
// The error is io.EOF only if the body ends between events.
// It is an *EventError if the event is longer than maxEventBytes, and a *gate.ShedError if the node
// has no memory for it.
func (e *eventReader) next() (event, error) {
	e.reset()
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		if err := e.add(line); err != nil {
			return event{}, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.buf) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			ev.bytes = e.buf
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id, ev.hasID = parseID(value)
		}
	}
}

// add appends bytes to the event that is being read.
func (e *eventReader) add(p []byte) error {
	size := len(e.buf) + len(p)
	if size > maxEventBytes {
		return &EventError{Reason: fmt.Sprintf("event of more than %d bytes", maxEventBytes)}
	}
	if size > cap(e.buf) {
		if err := e.grow(size); err != nil {
			return err
		}
	}
	e.buf = append(e.buf, p...)
	return nil
}

// grow replaces the buffer by one of at least size bytes.
func (e *eventReader) grow(size int) error {
	size = max(size, min(2*cap(e.buf), maxEventBytes), eventBufferBytes)
	if counted := countedBytes(size); counted > 0 {
		if err := e.account.Reserve(counted); err != nil {
			return err
		}
	}
	grown := append(make([]byte, 0, size), e.buf...)
	e.release()
	e.buf = grown
	return nil
}

// reset empties the buffer, and drops it if it is counted.
func (e *eventReader) reset() {
	if countedBytes(cap(e.buf)) > 0 {
		e.release()
		e.buf = nil
	}
	e.buf = e.buf[:0]
}

// release gives back what the buffer counts for.
func (e *eventReader) release() {
	if counted := countedBytes(cap(e.buf)); counted > 0 {
		e.account.Release(counted)
	}
}

// countedBytes returns what a buffer of a size counts for.
func countedBytes(size int) int64 {
	if size <= maxUncountedEventBytes {
		return 0
	}
	return int64(size)
}

// parseID parses an event id. It returns false if the id is not a number.
func parseID(value []byte) (int64, bool) {
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}

// sequence checks that the ids of the events passed on are consecutive.
type sequence struct {
	last    int64
	started bool
}

// accept reports whether an event is to be passed on. Events that the caller already
// has are dropped. A gap is an *EventError.
func (s *sequence) accept(ev event) (bool, error) {
	if !ev.hasID {
		return true, nil
	}
	if s.started && ev.id <= s.last {
		return false, nil
	}
	if s.started && ev.id != s.last+1 {
		return false, &EventError{Last: s.last, Got: ev.id, Reason: "events are missing"}
	}
	s.last, s.started = ev.id, true
	return true, nil
}

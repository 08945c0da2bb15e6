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

// eventReader reads server-sent events from the body of a streaming response.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

// event is one server-sent event, including the blank line that ends it.
type event struct {
	bytes []byte
	id    int64
	hasID bool
}

// next returns the next complete event. Its bytes are valid until the following call.
// The error is io.EOF only if the body ends between events.
func (e *eventReader) next() (event, error) {
	e.buf = e.buf[:0]
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.buf) > maxEventBytes {
				return event{}, &EventError{Reason: "event is too long"}
			}
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

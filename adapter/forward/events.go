package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEvent is the most bytes of one event; a longer one ends the stream, so
// that one upstream cannot fill the node's memory.
const maxEvent = 1 << 20

// EventError tells that a stream's events are out of order or malformed.
type EventError struct {
	// Last is the last id passed on, Got the one that came.
	Last, Got int64
	Reason    string
}

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("event %d after %d: %s", e.Got, e.Last, e.Reason)
}

// events reads whole events from the body of a stream.
type events struct {
	r   *bufio.Reader
	buf []byte
}

// event is one event with the blank line that ends it.
type event struct {
	bytes []byte
	id    int64
	hasID bool
}

// next gives the next whole event; its bytes hold until the call after. The
// error is io.EOF only between events.
func (e *events) next() (event, error) {
	e.buf = e.buf[:0]
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.buf) > maxEvent {
				return event{}, &EventError{Reason: "too long"}
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

// parseID reads an event's id.
func parseID(value []byte) (int64, bool) {
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}

// sequence checks that the events passed on follow each other.
type sequence struct {
	last  int64
	begun bool
}

// take tells whether an event is to be passed on. Those that the caller has
// are dropped; a gap is an *EventError.
func (s *sequence) take(ev event) (bool, error) {
	if !ev.hasID {
		return true, nil
	}
	if s.begun && ev.id <= s.last {
		return false, nil
	}
	if s.begun && ev.id != s.last+1 {
		return false, &EventError{Last: s.last, Got: ev.id, Reason: "events are missing between them"}
	}
	s.last, s.begun = ev.id, true
	return true, nil
}

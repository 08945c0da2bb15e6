package upstream

import (
	"bufio"
	"bytes"
	"errors"
)

// event is one server-sent event. data holds until the next one is read.
type event struct {
	name string
	id   string
	data []byte
}

// eventReader reads the events of a text/event-stream of at most max bytes each.
type eventReader struct {
	lines *bufio.Reader
	max   int
	data  []byte
}

// next reads one event that has data or a name. Errors: io.EOF when the
// stream ended, within an event or not, *SizeError, or the reader's own.
func (r *eventReader) next() (event, error) {
	e := event{}
	r.data = r.data[:0]
	size := 0
	for {
		line, err := r.line()
		if err != nil {
			return event{}, err
		}
		size += len(line)
		if size > r.max {
			return event{}, &TooLargeError{LimitBytes: r.max}
		}
		if len(line) > 0 {
			r.field(&e, line)
			continue
		}
		if len(r.data) > 0 || e.name != "" {
			e.data = r.data
			return e, nil
		}
		e, size = event{}, 0 // nothing but comments
	}
}

// line reads one line without its end.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, &TooLargeError{LimitBytes: r.max}
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

// field takes one line into e; comments and unknown fields are ignored.
func (r *eventReader) field(e *event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "event":
		e.name = string(value)
	case "id":
		e.id = string(value)
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	}
}

package upstream

import (
	"bufio"
	"bytes"
	"errors"
)

// event is one server-sent event. data is valid until the next event is read.
type event struct {
	name string
	id   string
	data []byte
}

// eventReader reads the events of a text/event-stream.
type eventReader struct {
	lines    *bufio.Reader
	maxBytes int
	data     []byte
}

// next returns the next event that has data or a name. Errors: io.EOF if the stream
// ended, even within an event; *TooLargeError if the event exceeds maxBytes; or
// that of the underlying reader.
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
		if size > r.maxBytes {
			return event{}, &TooLargeError{LimitBytes: r.maxBytes}
		}
		if len(line) > 0 {
			r.addField(&e, line)
			continue
		}
		if len(r.data) > 0 || e.name != "" {
			e.data = r.data
			return e, nil
		}
		e, size = event{}, 0 // only comments so far
	}
}

// line returns one line without its line ending.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, &TooLargeError{LimitBytes: r.maxBytes}
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

// addField adds the field in a line to e. Comments and unknown fields are ignored.
func (r *eventReader) addField(e *event, line []byte) {
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

package lossnotice

import (
	"encoding/binary"
	"fmt"
	"unicode/utf8"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/routing"
)

// MaxNameBytes is the longest name of an engine in a notice.
const MaxNameBytes = 512

// PayloadError reports the payload of a notice that names no engine.
type PayloadError struct {
	// Bytes is the size of the payload, Reason what is wrong with it.
	Bytes  int
	Reason string
}

// Error implements error.
func (e *PayloadError) Error() string {
	return fmt.Sprintf("loss notice of %d bytes: %s", e.Bytes, e.Reason)
}

// Encode returns the payload of a notice about an engine: its start time in Unix
// milliseconds as a signed varint, followed by its name. It has no version, because another
// layout would be another kind of datagram.
func Encode(id ids.Instance) []byte {
	payload := binary.AppendVarint(make([]byte, 0, binary.MaxVarintLen64+len(id.Upstream)), id.StartedMs)
	return append(payload, id.Upstream...)
}

// Decode returns the engine that a notice names. The error is a *PayloadError.
func Decode(payload []byte) (ids.Instance, error) {
	startedMs, n := binary.Varint(payload)
	name := payload[max(n, 0):]
	malformed := func(reason string) (ids.Instance, error) {
		return ids.Instance{}, &PayloadError{Bytes: len(payload), Reason: reason}
	}
	switch {
	case n <= 0:
		return malformed("no start time")
	case startedMs < 0:
		return malformed("negative start time")
	case len(name) == 0:
		return malformed("no name")
	case len(name) > MaxNameBytes:
		return malformed("name too long")
	case !utf8.Valid(name):
		return malformed("name is not UTF-8")
	}
	return ids.Instance{Upstream: ids.Upstream(name), StartedMs: startedMs}, nil
}

// Services returns the services whose engines are watched and reported: those with a layered
// model to which a route with an objective for the pauses of streams sends requests.
func Services(table *routing.Table) []ids.Service {
	if table == nil {
		return nil
	}
	var found []ids.Service
	for _, s := range table.Services() {
		if s.Model != nil && table.LimitsPauses(s.Name) {
			found = append(found, s.Name)
		}
	}
	return found
}

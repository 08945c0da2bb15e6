// Package logtrace extracts the trace of a request from node logs: the lines of
// the request, and the state changes that the same nodes logged for its upstreams
// shortly before or during the request.
package logtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// lookback is how long before the first line of a request state changes are
// included. Entries of dead upstreams stay in a directory for some seconds.
const lookback = 10 * time.Second

// maxLineBytes limits the length of a line.
const maxLineBytes = 1 << 20

// Line is a parsed line of a log.
type Line struct {
	At    time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event string    `json:"event"`
	// Request is the request ID; empty if the line is not about a request.
	Request string `json:"request,omitempty"`
	// Fields holds all other fields except the level.
	Fields map[string]any `json:"-"`
	// index is the line's index in the log. It orders lines with the same
	// time.
	index int
}

// Trace holds the log lines that are relevant to a request, in order of time.
type Trace struct {
	Request string
	Lines   []Line
	// SkippedLines counts lines that are not JSON objects of an event.
	SkippedLines int
}

// Read reads the log of one or more nodes and returns the trace of a request. Lines
// may have a prefix before their JSON object. Errors are those of r, or
// bufio.ErrTooLong for a line of more than 1 MiB.
func Read(r io.Reader, request string) (*Trace, error) {
	t := &Trace{Request: request}
	var changes []Line
	skipped, err := ForEachLine(r, func(line Line) {
		switch line.Request {
		case request:
			t.Lines = append(t.Lines, line)
		case "":
			changes = append(changes, line)
		}
	})
	if err != nil {
		return nil, err
	}
	t.SkippedLines = skipped
	t.addStateChanges(changes)
	return t, nil
}

// ForEachLine calls handle with each line of a log in order. It returns the number
// of lines that are not JSON objects of an event. It returns the same errors as Read.
func ForEachLine(r io.Reader, handle func(Line)) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for index := 0; scanner.Scan(); index++ {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		line.index = index
		handle(line)
	}
	return skipped, scanner.Err()
}

// parse parses one line; false if it is not a JSON object of an event.
func parse(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	data = data[start:]
	var line Line
	if json.Unmarshal(data, &line) != nil || json.Unmarshal(data, &line.Fields) != nil || line.Event == "" {
		return Line{}, false
	}
	for _, name := range []string{"time", "vm", "event", "request", "level"} {
		delete(line.Fields, name)
	}
	return line, true
}

// addStateChanges adds the state changes that are relevant to the request's
// upstreams, and sorts the lines by time.
func (t *Trace) addStateChanges(changes []Line) {
	if len(t.Lines) == 0 {
		return
	}
	first, last := t.Lines[0].At, t.Lines[len(t.Lines)-1].At
	upstreams, vms := t.upstreamsAndVMs()
	for _, change := range changes {
		if change.At.Before(first.Add(-lookback)) || change.At.After(last) || !slices.Contains(vms, change.VM) {
			continue
		}
		if !change.isRelevant(upstreams) {
			continue
		}
		if change.At.Before(first) && change.Fields["upstream"] == nil {
			// Keep only the latest of the changes that apply to the whole node.
			t.Lines = slices.DeleteFunc(t.Lines, func(l Line) bool { return l.Request == "" && l.isSupersededBy(change) })
		}
		t.Lines = append(t.Lines, change)
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return a.index - b.index
	})
}

// upstreamsAndVMs returns the names and addresses of all upstreams in the request's
// lines, joined by spaces, and the VMs that logged the lines.
func (t *Trace) upstreamsAndVMs() (upstreams string, vms []string) {
	for _, line := range t.Lines {
		if !slices.Contains(vms, line.VM) {
			vms = append(vms, line.VM)
		}
		for _, field := range []string{"upstream", "address", "chain", "was"} {
			if value, ok := line.Fields[field].(string); ok {
				upstreams += " " + value
			}
		}
	}
	return upstreams, vms
}

// isSupersededBy reports whether the later line o replaces l: both are from the same
// node, and have the same event and kind. Lines about an upstream are never replaced.
func (l Line) isSupersededBy(o Line) bool {
	return l.VM == o.VM && l.Event == o.Event && l.Fields["kind"] == o.Fields["kind"] && l.Fields["upstream"] == nil
}

// isRelevant reports whether a line is about one of upstreams, given as names and
// addresses joined by spaces, or about the state of the whole node.
func (l Line) isRelevant(upstreams string) bool {
	switch l.Event {
	case "store_lost", "store_back", "zone_suspected", "started", "stopping", "configuration", "log_lines_dropped":
		return true
	}
	for _, field := range []string{"upstream", "address"} {
		if value, ok := l.Fields[field].(string); ok && value != "" && strings.Contains(upstreams, value) {
			return true
		}
	}
	return false
}

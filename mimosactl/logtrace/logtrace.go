// Package logtrace reads what became of a request from the log of nodes: its own
// lines, and those by which nodes changed their belief about the upstreams it
// met, shortly before or while it ran.
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

// before is how long before a request's first line changes of belief still
// matter: entries of dead upstreams stand in a directory for some seconds.
const before = 10 * time.Second

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	At    time.Time `json:"time"`
	VM    string    `json:"vm"`
	Event string    `json:"event"`
	// Request is set on lines about a request.
	Request string `json:"request,omitempty"`
	// Fields are all others.
	Fields map[string]any `json:"-"`
	// place is the line's place in the log, which tells the order of lines of
	// one instant.
	place int
}

// Trace is what a log tells of a request, in the order of time.
type Trace struct {
	Request string
	Lines   []Line
	// SkippedLines counts lines that are no JSON objects.
	SkippedLines int
}

// Read reads the log of one or more nodes and keeps what concerns a request.
// Lines may have a prefix before their JSON object.
func Read(r io.Reader, request string) (*Trace, error) {
	t := &Trace{Request: request}
	var beliefs []Line
	skipped, err := ForEachLine(r, func(line Line) {
		switch line.Request {
		case request:
			t.Lines = append(t.Lines, line)
		case "":
			beliefs = append(beliefs, line)
		}
	})
	if err != nil {
		return nil, err
	}
	t.SkippedLines = skipped
	t.join(beliefs)
	return t, nil
}

// ForEachLine gives every line of a log in its order, and counts lines that are no JSON
// objects of an event.
func ForEachLine(r io.Reader, take func(Line)) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for place := 0; scanner.Scan(); place++ {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		line.place = place
		take(line)
	}
	return skipped, scanner.Err()
}

// parse reads one line.
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
	for _, known := range []string{"time", "vm", "event", "request", "level"} {
		delete(line.Fields, known)
	}
	return line, true
}

// join adds the changes of belief that concern the request's upstreams.
func (t *Trace) join(beliefs []Line) {
	if len(t.Lines) == 0 {
		return
	}
	first, last := t.Lines[0].At, t.Lines[len(t.Lines)-1].At
	met, vms := t.met()
	for _, b := range beliefs {
		if b.At.Before(first.Add(-before)) || b.At.After(last) || !slices.Contains(vms, b.VM) {
			continue
		}
		if !b.concerns(met) {
			continue
		}
		if b.At.Before(first) && b.Fields["upstream"] == nil {
			// Of what the whole node believes, the latest counts.
			t.Lines = slices.DeleteFunc(t.Lines, func(l Line) bool { return l.Request == "" && l.same(b) })
		}
		t.Lines = append(t.Lines, b)
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return a.place - b.place
	})
}

// met gives the upstreams of the request's lines, as one text of names and
// addresses, and the VMs that wrote them.
func (t *Trace) met() (text string, vms []string) {
	for _, line := range t.Lines {
		if !slices.Contains(vms, line.VM) {
			vms = append(vms, line.VM)
		}
		for _, field := range []string{"upstream", "address", "chain", "was"} {
			if value, ok := line.Fields[field].(string); ok {
				text += " " + value
			}
		}
	}
	return text, vms
}

// same reports whether a later line of a node takes the place of this one.
func (l Line) same(o Line) bool {
	return l.VM == o.VM && l.Event == o.Event && l.Fields["kind"] == o.Fields["kind"] && l.Fields["upstream"] == nil
}

// concerns reports whether a line is about an upstream that was met, or about
// what the whole node depends on.
func (l Line) concerns(met string) bool {
	switch l.Event {
	case "store_lost", "store_back", "zone_suspected", "started", "stopping", "configuration", "log_lines_dropped":
		return true
	}
	for _, field := range []string{"upstream", "address"} {
		if value, ok := l.Fields[field].(string); ok && value != "" && strings.Contains(met, value) {
			return true
		}
	}
	return false
}

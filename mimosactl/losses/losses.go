// Package losses sums up, from the logs of nodes, which answers callers did not
// get in time and why: late, refused, broken off, or lost with a node's process.
package losses

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"mimosaarch.example/mimosactl/logtrace"
)

// Kind is what a caller got in place of an answer in time.
type Kind string

// Kinds of losses.
const (
	Late    Kind = "late"
	Refused Kind = "refused"
	Failed  Kind = "failed"
	Cut     Kind = "cut"
)

// Cause is a kind of loss and its reason; an empty reason is not explained.
type Cause struct {
	Kind   Kind
	Reason string
}

// Unexplained reports whether the logs do not tell the reason.
func (c Cause) Unexplained() bool { return c.Reason == "" }

// Interval counts what was lost in a span of time.
type Interval struct {
	// Start is the time since the log's first request.
	Start    time.Duration `json:"From"`
	Attempts int           `json:"Asked"`
	ByKind   map[Kind]int
}

// Summary is what logs tell. Requests count once for each try of a caller.
type Summary struct {
	// Attempts counts all tries that met a route, Lost those without an answer in
	// time.
	Attempts, Lost int
	Causes         map[Cause]int
	// Zones counts losses by the node's availability zone, Services by service.
	Zones, Services map[string]int
	// ReplacedStages counts stages that were led around, by their address.
	ReplacedStages map[string]int
	Intervals      []Interval
	// StoreCalls counts the calls to the platform's store: all by purpose, and apart
	// those refused and those without an answer.
	StoreCalls map[string]int
	// SkippedLines counts lines that are no log lines, DroppedLines those that a node says
	// it left out.
	SkippedLines, DroppedLines int
}

// Unexplained counts the losses without a reason.
func (s *Summary) Unexplained() int {
	n := 0
	for cause, count := range s.Causes {
		if cause.Unexplained() {
			n += count
		}
	}
	return n
}

// CausesByCount gives the causes, the most frequent first.
func (s *Summary) CausesByCount() []Cause {
	return slices.SortedFunc(maps.Keys(s.Causes), func(a, b Cause) int {
		return cmp.Or(s.Causes[b]-s.Causes[a], cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
}

// reader gathers a Summary.
type reader struct {
	*Summary
	span  time.Duration
	first time.Time
	// zones are those of nodes; open are the requests under way at each.
	zones map[string]string
	open  map[string]map[string]logtrace.Line
}

// Read reads the logs of nodes. Losses are summed over spans of time of the
// given length.
func Read(r io.Reader, span time.Duration) (*Summary, error) {
	in := &reader{
		Summary: &Summary{
			Causes: make(map[Cause]int), Zones: make(map[string]int), Services: make(map[string]int), ReplacedStages: make(map[string]int),
			StoreCalls: make(map[string]int),
		},
		span:  span,
		zones: make(map[string]string),
		open:  make(map[string]map[string]logtrace.Line),
	}
	skipped, err := logtrace.ForEachLine(r, in.take)
	in.SkippedLines = skipped
	return in.Summary, err
}

// take takes one line.
func (r *reader) take(line logtrace.Line) {
	switch line.Event {
	case "started":
		r.zones[line.VM] = text(line, "zone")
		r.ended(line.VM, line.At)
	case "log_lines_dropped":
		if n, ok := line.Fields["lines"].(float64); ok {
			r.DroppedLines += int(n)
		}
	case "store_calls":
		r.called(line)
	case "chain", "sent":
		r.begin(line)
	case "rerouted":
		r.leftStages(line)
	case "answered":
		r.end(line, answered(line))
	case "refused":
		r.end(line, refused(line))
	case "broken_off":
		r.end(line, &Cause{Cut, text(line, "reason")})
	case "caller_gone":
		r.end(line, nil)
	}
}

// called adds the calls that a node tells of. Counts of another form are not its own.
func (r *reader) called(line logtrace.Line) {
	calls, _ := line.Fields["calls"].(map[string]any)
	for name, count := range calls {
		if n, ok := count.(float64); ok {
			r.StoreCalls[strings.TrimPrefix(name, "store.")] += int(n)
		}
	}
}

// answered gives the cause of an answer that is no success in time.
func answered(line logtrace.Line) *Cause {
	status, _ := line.Fields["status"].(float64)
	switch late := text(line, "late"); {
	case status >= serverError:
		return &Cause{Failed, "upstream_failure"}
	case late != "":
		return &Cause{Late, late}
	}
	return nil
}

// Statuses that tell kinds of losses apart.
const (
	serverError = 500
	unavailable = 503
	tooMany     = 429
)

// refused gives the cause of a node's own answer; nil where the request was not
// a proper one.
func refused(line logtrace.Line) *Cause {
	status, _ := line.Fields["status"].(float64)
	switch {
	case status == unavailable || status == tooMany:
		return &Cause{Refused, text(line, "reason")}
	case status >= serverError:
		return &Cause{Failed, text(line, "reason")}
	}
	return nil
}

// text gives a field of a line, empty if it has none.
func text(line logtrace.Line, field string) string {
	value, _ := line.Fields[field].(string)
	return value
}

// begin notes a request under way.
func (r *reader) begin(line logtrace.Line) {
	if r.first.IsZero() {
		r.first = line.At
	}
	if r.open[line.VM] == nil {
		r.open[line.VM] = make(map[string]logtrace.Line)
	}
	r.open[line.VM][line.Request] = line
}

// end counts a request that ended.
func (r *reader) end(line logtrace.Line, cause *Cause) {
	delete(r.open[line.VM], line.Request)
	r.count(line, cause)
}

// ended counts what was under way at a node whose process began anew.
func (r *reader) ended(vm string, at time.Time) {
	for _, line := range r.open[vm] {
		line.At = at
		r.count(line, &Cause{Cut, "process_ended"})
	}
	delete(r.open, vm)
}

// count adds one request.
func (r *reader) count(line logtrace.Line, cause *Cause) {
	moment := r.moment(line.At)
	r.Attempts++
	moment.Attempts++
	if cause == nil {
		return
	}
	r.Lost++
	r.Causes[*cause]++
	moment.ByKind[cause.Kind]++
	r.Zones[r.zones[line.VM]]++
	r.Services[text(line, "service")]++
}

// moment gives the span of time that a time lies in.
func (r *reader) moment(at time.Time) *Interval {
	if r.first.IsZero() {
		r.first = at
	}
	i := int(max(at.Sub(r.first), 0) / r.span)
	for len(r.Intervals) <= i {
		r.Intervals = append(r.Intervals, Interval{Start: time.Duration(len(r.Intervals)) * r.span, ByKind: make(map[Kind]int)})
	}
	return &r.Intervals[i]
}

// leftStages counts the stages that a request was led around.
func (r *reader) leftStages(line logtrace.Line) {
	kept := addresses(text(line, "chain"))
	for _, address := range addresses(text(line, "was")) {
		if !slices.Contains(kept, address) {
			r.ReplacedStages[address]++
		}
	}
}

// addresses gives those of a chain.
func addresses(chain string) []string {
	var all []string
	for hop := range strings.SplitSeq(chain, ",") {
		address, _, _ := strings.Cut(hop, "=")
		all = append(all, address)
	}
	return all
}

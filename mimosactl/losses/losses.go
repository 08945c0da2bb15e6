// Package losses summarizes from node logs which requests were not answered in
// time and why. An answer may be late, refused, failed, or cut off, either by the
// node or by the end of its process.
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

// Kind is the kind of loss: what a caller got instead of an answer in time.
type Kind string

// Kinds of losses.
const (
	// Late is a complete answer that arrived too late.
	Late Kind = "late"
	// Refused is a response with status 429 or 503 from the node itself.
	Refused Kind = "refused"
	// Failed is any other server error, from the node or an upstream.
	Failed Kind = "failed"
	// Cut is an answer that ended early.
	Cut Kind = "cut"
)

// Condition is a state of a node that makes losses more likely.
type Condition string

// Conditions of nodes.
const (
	// LinksLost is the condition of a node whose own links to all upstreams are lost.
	LinksLost Condition = "links_lost"
	// Overloaded is the condition of a node that lacks processor time.
	Overloaded Condition = "overloaded"
)

// Cause is a kind of loss and its reason. The reason is empty if the logs do not
// explain the loss.
type Cause struct {
	Kind   Kind
	Reason string
}

// Unexplained reports whether the logs give no reason.
func (c Cause) Unexplained() bool { return c.Reason == "" }

// Interval counts the requests that ended in a time interval. Its JSON form keeps
// the field names From and Asked.
type Interval struct {
	// Start is the start of the interval, since the first request in the log.
	Start    time.Duration `json:"From"`
	Attempts int           `json:"Asked"`
	ByKind   map[Kind]int
}

// Summary summarizes the losses in node logs. A request counts once for each
// attempt of the caller.
type Summary struct {
	// Attempts counts all attempts that ended. Lost counts those without an
	// answer in time, except for attempts that the caller gave up and for
	// invalid requests.
	Attempts, Lost int
	Causes         map[Cause]int
	// Zones counts losses by the node's availability zone. Services counts them
	// by service.
	Zones, Services map[string]int
	// Conditions counts losses by what their node had reported of itself: that it had lost its
	// links to all upstreams, or was overloaded. A loss may count under both.
	Conditions map[Condition]int
	// ReplacedStages counts by address how often a reroute replaced a stage.
	ReplacedStages map[string]int
	Intervals      []Interval
	// StoreCalls counts the calls to the platform's store by purpose, with
	// separate counts of refused and unanswered calls.
	StoreCalls map[string]int
	// SkippedLines counts lines that are not log lines. DroppedLines counts the
	// lines that nodes report as dropped.
	SkippedLines, DroppedLines int
}

// Unexplained returns the number of losses without a reason.
func (s *Summary) Unexplained() int {
	n := 0
	for cause, count := range s.Causes {
		if cause.Unexplained() {
			n += count
		}
	}
	return n
}

// CausesByCount returns the causes, most frequent first.
func (s *Summary) CausesByCount() []Cause {
	return slices.SortedFunc(maps.Keys(s.Causes), func(a, b Cause) int {
		return cmp.Or(s.Causes[b]-s.Causes[a], cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
}

// summarizer builds a Summary.
type summarizer struct {
	*Summary
	span  time.Duration
	first time.Time
	// zones maps a VM to its zone. open maps a VM to its in-flight requests by
	// ID, with the latest line that began or routed each.
	zones map[string]string
	open  map[string]map[string]logtrace.Line
	// conditions holds the present conditions of each VM.
	conditions map[string]map[Condition]bool
}

// Read reads the logs of nodes and summarizes the losses in intervals of length
// span, which must be positive. It returns the summary up to a read error, with the
// error of logtrace.ForEachLine.
func Read(r io.Reader, span time.Duration) (*Summary, error) {
	sum := &summarizer{
		Summary: &Summary{
			Causes: make(map[Cause]int), Zones: make(map[string]int), Services: make(map[string]int), ReplacedStages: make(map[string]int),
			StoreCalls: make(map[string]int), Conditions: make(map[Condition]int),
		},
		span:       span,
		zones:      make(map[string]string),
		open:       make(map[string]map[string]logtrace.Line),
		conditions: make(map[string]map[Condition]bool),
	}
	skipped, err := logtrace.ForEachLine(r, sum.addLine)
	sum.SkippedLines = skipped
	return sum.Summary, err
}

// addLine processes one line.
func (s *summarizer) addLine(line logtrace.Line) {
	switch line.Event {
	case "started":
		s.zones[line.VM] = stringField(line, "zone")
		s.countInterrupted(line.VM, line.At)
		delete(s.conditions, line.VM)
	case "link_lost":
		if all, _ := line.Fields["all"].(bool); all {
			s.setCondition(line.VM, LinksLost, true)
		}
	case "links_restored":
		s.setCondition(line.VM, LinksLost, false)
	case "overloaded":
		s.setCondition(line.VM, Overloaded, true)
	case "overload_ended":
		s.setCondition(line.VM, Overloaded, false)
	case "log_lines_dropped":
		if n, ok := line.Fields["lines"].(float64); ok {
			s.DroppedLines += int(n)
		}
	case "store_calls":
		s.addStoreCalls(line)
	case "chain", "sent":
		s.recordOpen(line)
	case "rerouted":
		s.countReplacedStages(line)
	case "answered":
		s.finish(line, causeOfAnswer(line))
	case "refused":
		s.finish(line, causeOfRefusal(line))
	case "broken_off":
		s.finish(line, &Cause{Cut, stringField(line, "reason")})
	case "caller_gone":
		s.finish(line, nil)
	}
}

// setCondition records that a VM has a condition, or no longer has it.
func (s *summarizer) setCondition(vm string, c Condition, present bool) {
	if s.conditions[vm] == nil {
		s.conditions[vm] = make(map[Condition]bool)
	}
	s.conditions[vm][c] = present
}

// addStoreCalls adds the store calls that a node reports. It ignores counts that
// are not numbers.
func (s *summarizer) addStoreCalls(line logtrace.Line) {
	calls, _ := line.Fields["calls"].(map[string]any)
	for name, count := range calls {
		if n, ok := count.(float64); ok {
			s.StoreCalls[strings.TrimPrefix(name, "store.")] += int(n)
		}
	}
}

// causeOfAnswer returns the cause of the loss if an answer is late or has a server
// error status; otherwise nil.
func causeOfAnswer(line logtrace.Line) *Cause {
	status, _ := line.Fields["status"].(float64)
	switch late := stringField(line, "late"); {
	case status >= minServerErrorStatus:
		return &Cause{Failed, "upstream_failure"}
	case late != "":
		return &Cause{Late, late}
	}
	return nil
}

// HTTP statuses that distinguish the kinds of losses.
const (
	minServerErrorStatus  = 500
	statusUnavailable     = 503
	statusTooManyRequests = 429
)

// causeOfRefusal returns the cause of a response that the node itself generated;
// nil if the request was at fault.
func causeOfRefusal(line logtrace.Line) *Cause {
	status, _ := line.Fields["status"].(float64)
	switch {
	case status == statusUnavailable || status == statusTooManyRequests:
		return &Cause{Refused, stringField(line, "reason")}
	case status >= minServerErrorStatus:
		return &Cause{Failed, stringField(line, "reason")}
	}
	return nil
}

// stringField returns a string field of a line; empty if it is missing or has
// another type.
func stringField(line logtrace.Line, field string) string {
	value, _ := line.Fields[field].(string)
	return value
}

// recordOpen records a request as in flight.
func (s *summarizer) recordOpen(line logtrace.Line) {
	if s.first.IsZero() {
		s.first = line.At
	}
	if s.open[line.VM] == nil {
		s.open[line.VM] = make(map[string]logtrace.Line)
	}
	s.open[line.VM][line.Request] = line
}

// finish counts a request that ended; cause is nil if it was not lost.
func (s *summarizer) finish(line logtrace.Line, cause *Cause) {
	delete(s.open[line.VM], line.Request)
	s.count(line, cause)
}

// countInterrupted counts the requests that were in flight at a node whose process
// restarted at the given time.
func (s *summarizer) countInterrupted(vm string, at time.Time) {
	for _, line := range s.open[vm] {
		line.At = at
		s.count(line, &Cause{Cut, "process_ended"})
	}
	delete(s.open, vm)
}

// count adds one ended request to the summary; cause is nil if it was not lost.
func (s *summarizer) count(line logtrace.Line, cause *Cause) {
	interval := s.intervalAt(line.At)
	s.Attempts++
	interval.Attempts++
	if cause == nil {
		return
	}
	s.Lost++
	s.Causes[*cause]++
	interval.ByKind[cause.Kind]++
	s.Zones[s.zones[line.VM]]++
	s.Services[stringField(line, "service")]++
	for condition, present := range s.conditions[line.VM] {
		if present {
			s.Conditions[condition]++
		}
	}
}

// intervalAt returns the interval that contains a time, and adds missing intervals.
// Times before the first request belong to the first interval.
func (s *summarizer) intervalAt(at time.Time) *Interval {
	if s.first.IsZero() {
		s.first = at
	}
	i := int(max(at.Sub(s.first), 0) / s.span)
	for len(s.Intervals) <= i {
		s.Intervals = append(s.Intervals, Interval{Start: time.Duration(len(s.Intervals)) * s.span, ByKind: make(map[Kind]int)})
	}
	return &s.Intervals[i]
}

// countReplacedStages counts the stages of the previous chain that are not in the
// new chain of a rerouted request.
func (s *summarizer) countReplacedStages(line logtrace.Line) {
	kept := chainAddresses(stringField(line, "chain"))
	for _, address := range chainAddresses(stringField(line, "was")) {
		if !slices.Contains(kept, address) {
			s.ReplacedStages[address]++
		}
	}
}

// chainAddresses returns the stage addresses of a chain in the log format
// "address=first-last,...".
func chainAddresses(chain string) []string {
	var addresses []string
	for hop := range strings.SplitSeq(chain, ",") {
		address, _, _ := strings.Cut(hop, "=")
		addresses = append(addresses, address)
	}
	return addresses
}

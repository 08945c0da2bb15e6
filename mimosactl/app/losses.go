package app

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"mimosaarch.example/mimosactl/losses"
)

// lossesCommand is "mimosactl losses".
type lossesCommand struct {
	env *env

	Span time.Duration `long:"span" default:"2s" description:"length of the spans of time that are told apart"`
	Args struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// losses describes the command.
func (e *env) losses() command {
	return command{
		name:  "losses",
		short: "Sum up late, refused and cut answers from the logs of nodes",
		long: "Reads the logs of nodes from files, or from standard input, and sums the requests that were not answered " +
			"in time: by cause, moment, availability zone, service, and stage that was led around.",
		data: &lossesCommand{env: e},
	}
}

// InvalidSpanError tells that a span of time cannot be used.
type InvalidSpanError struct{ Span time.Duration }

// Error implements error.
func (e *InvalidSpanError) Error() string { return "span " + e.Span.String() + " is not above 0" }

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	if c.Span <= 0 {
		return &InvalidSpanError{c.Span}
	}
	in, name, done, err := openLogs(c.Args.Files)
	if err != nil {
		return err
	}
	defer done()
	sum, err := losses.Read(in, c.Span)
	if err != nil {
		return &LogReadError{File: name, Cause: err}
	}
	return c.env.print(lossReportOf(sum), func(w io.Writer) { printLosses(w, sum) })
}

// lossReport is the summary as JSON.
type lossReport struct {
	Asked       int               `json:"asked"`
	Lost        int               `json:"lost"`
	Unexplained int               `json:"unexplained"`
	Dropped     int               `json:"lines_dropped"`
	Causes      []lossCause       `json:"causes"`
	Zones       map[string]int    `json:"zones"`
	Services    map[string]int    `json:"services"`
	Stages      map[string]int    `json:"stages"`
	Calls       map[string]int    `json:"store_calls"`
	Moments     []losses.Interval `json:"moments"`
}

// lossCause is one cause and its count.
type lossCause struct {
	Kind   losses.Kind `json:"kind"`
	Reason string      `json:"reason"`
	Count  int         `json:"count"`
}

// lossReportOf turns a summary into JSON.
func lossReportOf(s *losses.Summary) lossReport {
	r := lossReport{
		Asked: s.Attempts, Lost: s.Lost, Unexplained: s.Unexplained(), Dropped: s.DroppedLines,
		Zones: s.Zones, Services: s.Services, Stages: s.ReplacedStages, Calls: s.StoreCalls, Moments: s.Intervals,
	}
	for _, c := range s.CausesByCount() {
		r.Causes = append(r.Causes, lossCause{c.Kind, c.Reason, s.Causes[c]})
	}
	return r
}

// topStages is how many stages are printed.
const topStages = 8

// printLosses prints a summary.
func printLosses(w io.Writer, s *losses.Summary) {
	_, _ = fmt.Fprintf(w, "%d tries, %d without an answer in time, %d of them not explained\n", s.Attempts, s.Lost, s.Unexplained())
	rows := [][]string{{"KIND", "CAUSE", "COUNT"}}
	for _, c := range s.CausesByCount() {
		reason := c.Reason
		if c.Unexplained() {
			reason = "(not explained)"
		}
		rows = append(rows, []string{string(c.Kind), reason, fmt.Sprint(s.Causes[c])})
	}
	table(w, rows)
	printCounts(w, "ZONE", s.Zones, len(s.Zones))
	printCounts(w, "SERVICE", s.Services, len(s.Services))
	printCounts(w, "STAGE LEFT", s.ReplacedStages, topStages)
	printCounts(w, "CALLS TO THE STORE", s.StoreCalls, len(s.StoreCalls))
	rows = [][]string{{"FROM", "TRIES", "LATE", "REFUSED", "FAILED", "CUT"}}
	for _, m := range s.Intervals {
		row := []string{m.Start.String(), fmt.Sprint(m.Attempts)}
		for _, kind := range []losses.Kind{losses.Late, losses.Refused, losses.Failed, losses.Cut} {
			row = append(row, fmt.Sprint(m.ByKind[kind]))
		}
		rows = append(rows, row)
	}
	table(w, rows)
}

// printCounts prints the names with the highest counts.
func printCounts(w io.Writer, title string, counts map[string]int, most int) {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return cmp.Compare(a, b)
	})
	rows := [][]string{{title, "COUNT"}}
	for _, name := range names[:min(len(names), most)] {
		rows = append(rows, []string{name, fmt.Sprint(counts[name])})
	}
	table(w, rows)
}

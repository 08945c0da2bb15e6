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

// lossesCommand holds the options of "mimosactl losses".
type lossesCommand struct {
	env *env

	Span time.Duration `long:"span" default:"2s" description:"length of the time intervals that losses are grouped by"`
	Args struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// losses returns the description of the losses command.
func (e *env) losses() command {
	return command{
		name:  "losses",
		short: "Summarize late, refused, failed and cut answers from node logs",
		long: "Reads node logs from files or standard input and counts the requests that were not answered in time " +
			"by cause, time interval, availability zone and service. Also counts the stages that requests were rerouted around.",
		data: &lossesCommand{env: e},
	}
}

// InvalidSpanError reports that the interval length is not positive.
type InvalidSpanError struct{ Span time.Duration }

// Error implements error.
func (e *InvalidSpanError) Error() string { return "span " + e.Span.String() + " is not above 0" }

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	if c.Span <= 0 {
		return &InvalidSpanError{c.Span}
	}
	in, name, closeLogs, err := openLogs(c.Args.Files)
	if err != nil {
		return err
	}
	defer closeLogs()
	sum, err := losses.Read(in, c.Span)
	if err != nil {
		return &LogReadError{File: name, Cause: err}
	}
	return c.env.print(newLossReport(sum), func(w io.Writer) { printLosses(w, sum) })
}

// lossReport is the JSON form of a losses.Summary.
type lossReport struct {
	Asked       int                      `json:"asked"`
	Lost        int                      `json:"lost"`
	Unexplained int                      `json:"unexplained"`
	Dropped     int                      `json:"lines_dropped"`
	Causes      []lossCause              `json:"causes"`
	Zones       map[string]int           `json:"zones"`
	Services    map[string]int           `json:"services"`
	Conditions  map[losses.Condition]int `json:"conditions"`
	Stages      map[string]int           `json:"stages"`
	Calls       map[string]int           `json:"store_calls"`
	Moments     []losses.Interval        `json:"moments"`
}

// lossCause is a cause and the number of requests lost to it.
type lossCause struct {
	Kind   losses.Kind `json:"kind"`
	Reason string      `json:"reason"`
	Count  int         `json:"count"`
}

// newLossReport converts a summary to its JSON form, with the most frequent causes
// first.
func newLossReport(s *losses.Summary) lossReport {
	r := lossReport{
		Asked: s.Attempts, Lost: s.Lost, Unexplained: s.Unexplained(), Dropped: s.DroppedLines,
		Zones: s.Zones, Services: s.Services, Conditions: s.Conditions, Stages: s.ReplacedStages, Calls: s.StoreCalls, Moments: s.Intervals,
	}
	for _, c := range s.CausesByCount() {
		r.Causes = append(r.Causes, lossCause{c.Kind, c.Reason, s.Causes[c]})
	}
	return r
}

// maxStagesPrinted limits the stages in the text output.
const maxStagesPrinted = 8

// printLosses prints a summary as tables.
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
	printCounts(w, "NODE CONDITION", s.Conditions, len(s.Conditions))
	printCounts(w, "STAGE LEFT", s.ReplacedStages, maxStagesPrinted)
	printCounts(w, "CALLS TO THE STORE", s.StoreCalls, len(s.StoreCalls))
	rows = [][]string{{"FROM", "TRIES", "LATE", "REFUSED", "FAILED", "CUT"}}
	for _, interval := range s.Intervals {
		row := []string{interval.Start.String(), fmt.Sprint(interval.Attempts)}
		for _, kind := range []losses.Kind{losses.Late, losses.Refused, losses.Failed, losses.Cut} {
			row = append(row, fmt.Sprint(interval.ByKind[kind]))
		}
		rows = append(rows, row)
	}
	table(w, rows)
}

// printCounts prints the names with the highest counts as a table, at most limit
// of them.
func printCounts[N ~string](w io.Writer, title string, counts map[N]int, limit int) {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b N) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return cmp.Compare(a, b)
	})
	rows := [][]string{{title, "COUNT"}}
	for _, name := range names[:min(len(names), limit)] {
		rows = append(rows, []string{string(name), fmt.Sprint(counts[name])})
	}
	table(w, rows)
}

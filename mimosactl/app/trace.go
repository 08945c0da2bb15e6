package app

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/mimosactl/logtrace"
)

// traceCommand holds the options of "mimosactl trace".
type traceCommand struct {
	env *env

	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes"`
		Files   []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// trace returns the description of the trace command.
func (e *env) trace() command {
	return command{
		name:  "trace",
		short: "Explain a request from node logs",
		long: "Reads node logs from files or standard input and prints the lines of a request, together with the " +
			"state changes that nodes logged for the upstreams of the request.",
		data: &traceCommand{env: e},
	}
}

// LogReadError reports that a log could not be read.
type LogReadError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *LogReadError) Error() string { return "log " + e.File + ": " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *LogReadError) Unwrap() error { return e.Cause }

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	in, name, closeLogs, err := openLogs(c.Args.Files)
	if err != nil {
		return err
	}
	defer closeLogs()
	trace, err := logtrace.Read(in, c.Args.Request)
	if err != nil {
		return &LogReadError{File: name, Cause: err}
	}
	if len(trace.Lines) == 0 {
		return &NoDecisionError{ID: ids.Request(c.Args.Request)}
	}
	return c.env.print(trace.Lines, func(w io.Writer) { printTrace(w, trace) })
}

// openLogs returns a reader of the concatenated files, or of standard input if
// paths is empty, and a name for error messages. The caller must call closeLogs.
// The error is a *LogReadError.
func openLogs(paths []string) (in io.Reader, name string, closeLogs func(), err error) {
	if len(paths) == 0 {
		return os.Stdin, "standard input", func() {}, nil
	}
	var readers []io.Reader
	var files []*os.File
	closeLogs = func() {
		for _, f := range files {
			_ = f.Close() // opened only for reading
		}
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			closeLogs()
			return nil, "", nil, &LogReadError{File: path, Cause: err}
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), strings.Join(paths, ", "), closeLogs, nil
}

// printTrace prints a table row for each line of a non-empty trace, with the time
// since the first line of the request.
func printTrace(w io.Writer, t *logtrace.Trace) {
	start := t.Lines[0].At
	for _, line := range t.Lines {
		if line.Request != "" {
			start = line.At
			break
		}
	}
	var rows [][]string
	for _, line := range t.Lines {
		mark := ""
		if line.Request == "" {
			mark = "belief"
		}
		rows = append(rows, []string{line.At.Sub(start).String(), line.VM, mark, line.Event, fieldsText(line)})
	}
	table(w, rows)
}

// fieldsText returns a line's remaining fields as key=value, sorted by key.
func fieldsText(line logtrace.Line) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, line.Fields[name]))
	}
	return strings.Join(parts, " ")
}

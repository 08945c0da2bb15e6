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

// traceCommand is "mimosactl trace".
type traceCommand struct {
	env *env

	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes"`
		Files   []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// trace describes the command.
func (e *env) trace() command {
	return command{
		name:  "trace",
		short: "Explain a request from the logs of nodes",
		long: "Reads the logs of nodes from files, or from standard input, and prints the lines of a request with " +
			"those by which a node changed its belief about the upstreams the request met.",
		data: &traceCommand{env: e},
	}
}

// LogReadError tells that a log could not be read.
type LogReadError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *LogReadError) Error() string { return "log " + e.File + ": " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *LogReadError) Unwrap() error { return e.Cause }

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	in, name, done, err := openLogs(c.Args.Files)
	if err != nil {
		return err
	}
	defer done()
	trace, err := logtrace.Read(in, c.Args.Request)
	if err != nil {
		return &LogReadError{File: name, Cause: err}
	}
	if len(trace.Lines) == 0 {
		return &NoDecisionError{ID: ids.Request(c.Args.Request)}
	}
	return c.env.print(trace.Lines, func(w io.Writer) { printTrace(w, trace) })
}

// openLogs gives the logs in files one after the other, or standard input for
// none.
func openLogs(paths []string) (in io.Reader, name string, done func(), err error) {
	if len(paths) == 0 {
		return os.Stdin, "standard input", func() {}, nil
	}
	var readers []io.Reader
	var files []*os.File
	done = func() {
		for _, f := range files {
			_ = f.Close() // it was only read
		}
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			done()
			return nil, "", nil, &LogReadError{File: path, Cause: err}
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), strings.Join(paths, ", "), done, nil
}

// printTrace prints a line for each line of the trace, with the time since the
// request's first.
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
		rows = append(rows, []string{line.At.Sub(start).String(), line.VM, mark, line.Event, fields(line)})
	}
	table(w, rows)
}

// fields gives a line's other fields in the order of their names.
func fields(line logtrace.Line) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, line.Fields[name]))
	}
	return strings.Join(parts, " ")
}

package app

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
)

// outputJSON selects JSON as the format of results and errors.
const outputJSON = "json"

// general holds the options that every command accepts.
type general struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"format of results and errors"`
}

// env holds the general options and output streams shared by all commands.
type env struct {
	general        general
	stdout, stderr io.Writer
}

// json reports whether results are printed as JSON.
func (e *env) json() bool { return e.general.Output == outputJSON }

// print writes a result to stdout, as indented JSON or with the function text.
func (e *env) print(result any, text func(w io.Writer)) error {
	if !e.json() {
		text(e.stdout)
		return nil
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// cellPadding is the number of spaces between columns.
const cellPadding = 2

// table writes rows to w in aligned columns.
func table(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, cellPadding, ' ', 0)
	for _, row := range rows {
		// A tabwriter write fails only if writing to w fails.
		_, _ = io.WriteString(t, strings.Join(row, "\t")+"\n")
	}
	_ = t.Flush()
}

// addresses is an option that takes a comma-separated list and may be repeated.
type addresses []string

// UnmarshalFlag implements flags.Unmarshaler.
func (a *addresses) UnmarshalFlag(value string) error {
	for address := range strings.SplitSeq(value, ",") {
		if address != "" {
			*a = append(*a, address)
		}
	}
	return nil
}

package app

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
)

// Formats of results.
const outputJSON = "json"

// general are the options of every command.
type general struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"format of results and failures"`
}

// env is what all commands share.
type env struct {
	general        general
	stdout, stderr io.Writer
}

// json reports whether results are printed as JSON.
func (e *env) json() bool { return e.general.Output == outputJSON }

// print prints a result as JSON, or by the function given as text.
func (e *env) print(result any, text func(w io.Writer)) error {
	if !e.json() {
		text(e.stdout)
		return nil
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// cellPadding is the space between columns.
const cellPadding = 2

// table prints rows in aligned columns.
func table(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, cellPadding, ' ', 0)
	for _, row := range rows {
		// Writing to a tabwriter fails only when w does.
		_, _ = io.WriteString(t, strings.Join(row, "\t")+"\n")
	}
	_ = t.Flush()
}

// addresses is an option given once with commas, or several times.
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

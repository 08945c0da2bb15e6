package app

import (
	"fmt"
	"io"

	"mimosaarch.example/mimosactl/documents"
)

// validateCommand holds the options of "mimosactl profile validate".
type validateCommand struct {
	env *env

	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// validate returns the description of the validate command.
func (e *env) validate() command {
	return command{
		name:  "validate",
		short: "Check documents",
		long:  "Checks files and lists every error with its line, path and allowed values. Does not contact the platform.",
		data:  &validateCommand{env: e},
	}
}

// validFile is a file that holds a valid document.
type validFile struct {
	Path string `json:"path"`
	Key  string `json:"key"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	files, err := documents.ReadAll(c.Args.Files)
	if err != nil {
		return err
	}
	out := make([]validFile, len(files))
	for i, file := range files {
		out[i] = validFile{Path: file.Path, Key: file.Key()}
	}
	return c.env.print(out, func(w io.Writer) {
		for _, v := range out {
			fmt.Fprintf(w, "%s: valid, %s\n", v.Path, v.Key)
		}
	})
}

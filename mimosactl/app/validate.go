package app

import (
	"fmt"
	"io"

	"mimosaarch.example/mimosactl/documents"
)

// validateCommand is "mimosactl profile validate".
type validateCommand struct {
	env *env

	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// validate describes the command.
func (e *env) validate() command {
	return command{
		name:  "validate",
		short: "Check documents",
		long:  "Checks files and lists every fault with its line, path and what is allowed there. Asks no platform.",
		data:  &validateCommand{env: e},
	}
}

// validated is one file found good.
type validated struct {
	Path string `json:"path"`
	Key  string `json:"key"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	files, err := documents.ReadAll(c.Args.Files)
	if err != nil {
		return err
	}
	out := make([]validated, len(files))
	for i, file := range files {
		out[i] = validated{Path: file.Path, Key: file.Key()}
	}
	return c.env.print(out, func(w io.Writer) {
		for _, v := range out {
			fmt.Fprintf(w, "%s: valid, %s\n", v.Path, v.Key)
		}
	})
}

package app

import (
	"context"
	"fmt"
	"io"

	"mimosaarch.example/adapter/platform"
)

// showCommand holds the options of "mimosactl profile show".
type showCommand struct {
	env *env
	platformOptions

	Args struct {
		Kind string `positional-arg-name:"KIND" description:"profile, service or accounts"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// show returns the description of the show command.
func (e *env) show() command {
	return command{
		name:  "show",
		short: "Show a published document",
		long:  "Prints a published document with its version. Text output is the document's YAML, with the version in a comment.",
		data:  &showCommand{env: e},
	}
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	prefix, ok := kindPrefixes[c.Args.Kind]
	if !ok {
		return &UsageError{Message: "KIND must be profile, service or accounts"}
	}
	return c.withClient(func(ctx context.Context, client *platform.Client) error {
		object, err := client.Get(ctx, prefix+c.Args.Name)
		if err != nil {
			return err
		}
		p := newPublished(object)
		p.YAML = string(object.Value)
		return c.env.print(p, func(w io.Writer) {
			fmt.Fprintf(w, "# %s, %s\n%s", p.Key, versionText(p.Version), p.YAML)
		})
	})
}

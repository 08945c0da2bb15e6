package app

import (
	"context"
	"io"
	"strconv"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/fleet"
)

// listCommand holds the options of "mimosactl profile list".
type listCommand struct {
	env *env
	platformOptions
}

// list returns the description of the list command.
func (e *env) list() command {
	return command{
		name:  "list",
		short: "List the published documents",
		long:  "Lists the published documents of every kind with their versions and change IDs.",
		data:  &listCommand{env: e},
	}
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	return c.withClient(func(ctx context.Context, client *platform.Client) error {
		reply, err := client.List(ctx, fleet.ConfigPrefix)
		if err != nil {
			return err
		}
		all := []published{}
		for _, object := range reply.Objects {
			if !object.Deleted {
				all = append(all, newPublished(object))
			}
		}
		return c.env.print(all, func(w io.Writer) { printPublished(w, all) })
	})
}

// printPublished prints published documents as a table.
func printPublished(w io.Writer, all []published) {
	rows := [][]string{{"KEY", "VERSION", "CHANGE", ""}}
	for _, p := range all {
		note := ""
		if p.Invalid != "" {
			note = "not a valid document"
		}
		rows = append(rows, []string{p.Key, strconv.FormatInt(p.Version, 10), p.Change, note})
	}
	table(w, rows)
}

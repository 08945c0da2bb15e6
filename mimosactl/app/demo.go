package app

import (
	"context"

	"github.com/rs/zerolog"

	"mimosaarch.example/mimosactl/demo"
)

// demoCommand is "mimosactl demo".
type demoCommand struct {
	env *env

	Verbose bool `short:"v" long:"verbose" description:"print the node's log"`
}

// demo describes the command.
func (e *env) demo() command {
	return command{
		name:  "demo",
		short: "Serve a draft and a booking in one process",
		long:  "Runs a node with stand-ins of everything around it, serves a draft and a booking, and shows how they were routed.",
		data:  &demoCommand{env: e},
	}
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	log := zerolog.Nop()
	if c.Verbose {
		log = zerolog.New(c.env.stderr).With().Timestamp().Logger()
	}
	return demo.Run(context.Background(), c.env.stdout, log)
}

package app

import (
	"context"

	"github.com/rs/zerolog"

	"mimosaarch.example/mimosactl/demo"
)

// demoCommand holds the options of "mimosactl demo".
type demoCommand struct {
	env *env

	Verbose bool `short:"v" long:"verbose" description:"print the node's log"`
}

// demo returns the description of the demo command.
func (e *env) demo() command {
	return command{
		name:  "demo",
		short: "Serve two example requests in one process",
		long:  "Runs a node with a stand-in platform, engines and plain services, serves a model request (a draft) and a plain request (a booking), and shows how they were routed.",
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

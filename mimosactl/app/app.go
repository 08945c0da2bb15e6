// Package app is the command line of mimosactl, apart from its main package
// so that scenario tests can run it as a command.
package app

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"mimosaarch.example/mimosactl/demo"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Main runs mimosactl and gives its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("mimosactl", flags.HelpFlag|flags.PassDoubleDash)
	run := &demoCommand{stdout: stdout, stderr: stderr}
	if _, err := parser.AddCommand("demo", "Serve a draft and a booking in one process",
		"Runs a node with stand-ins of everything around it, serves a draft and a booking, and shows how they were routed.",
		run); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, stdout, stderr)
}

// exitCode prints what went wrong and gives the code for it.
func exitCode(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(stderr, err)
	return ExitFailed
}

// demoCommand is "mimosactl demo".
type demoCommand struct {
	Verbose bool `short:"v" long:"verbose" description:"print the node's log"`

	stdout, stderr io.Writer
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	log := zerolog.Nop()
	if c.Verbose {
		log = zerolog.New(c.stderr).With().Timestamp().Logger()
	}
	return demo.Run(context.Background(), c.stdout, log)
}

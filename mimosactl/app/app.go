// Package app implements the command line of mimosactl. It is separate from the
// main package so that scenario tests can run mimosactl as a command.
package app

import (
	"io"

	"github.com/jessevdk/go-flags"
)

// Main runs mimosactl with args, which exclude the program name, and returns its
// exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	e := &env{stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("mimosactl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "command-line tool for operating mimosaarch"
	if _, err := parser.AddGroup("General", "Options of every command", &e.general); err != nil {
		return e.reportError(err)
	}
	if err := addCommands(parser.Command, e.commands()); err != nil {
		return e.reportError(err)
	}
	parser.CommandHandler = execute
	_, err := parser.ParseArgs(args)
	return e.reportError(err)
}

// execute runs a command. It returns a *UsageError if arguments are left over.
func execute(command flags.Commander, rest []string) error {
	if len(rest) > 0 {
		return &UsageError{Message: "unexpected argument " + rest[0]}
	}
	if command == nil {
		return nil
	}
	return command.Execute(nil)
}

// command describes a command or a group of subcommands.
type command struct {
	name, short, long string
	// data holds the command's options. It implements flags.Commander unless
	// the command has subcommands.
	data        any
	subcommands []command
}

// commands returns the top-level commands.
func (e *env) commands() []command {
	return []command{
		e.profile(),
		e.check(),
		e.status(),
		e.explain(),
		e.trace(),
		e.losses(),
		e.send(),
		e.load(),
		e.bench(),
		e.demo(),
	}
}

// addCommands adds commands and their subcommands to parent.
func addCommands(parent *flags.Command, commands []command) error {
	for _, c := range commands {
		added, err := parent.AddCommand(c.name, c.short, c.long, c.data)
		if err != nil {
			return err
		}
		if err := addCommands(added, c.subcommands); err != nil {
			return err
		}
	}
	return nil
}

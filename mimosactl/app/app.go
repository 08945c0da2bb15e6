// Package app is the command line of mimosactl, apart from its main package
// so that scenario tests can run it as a command.
package app

import (
	"io"

	"github.com/jessevdk/go-flags"
)

// Main runs mimosactl and gives its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	e := &env{stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("mimosactl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "the operators' tool of mimosaarch"
	if _, err := parser.AddGroup("General", "Options of every command", &e.general); err != nil {
		return e.end(err)
	}
	if err := addCommands(parser.Command, e.commands()); err != nil {
		return e.end(err)
	}
	parser.CommandHandler = execute
	_, err := parser.ParseArgs(args)
	return e.end(err)
}

// execute runs a command, unless arguments are left that it doesn't take.
func execute(command flags.Commander, left []string) error {
	if len(left) > 0 {
		return &UsageError{Message: "unexpected argument " + left[0]}
	}
	if command == nil {
		return nil
	}
	return command.Execute(nil)
}

// command is one command of the command line.
type command struct {
	name, short, long string
	// data has the command's options; it is a flags.Commander unless there
	// are commands below it.
	data  any
	below []command
}

// commands lists the commands.
func (e *env) commands() []command {
	return []command{
		e.profile(),
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

// addCommands adds commands and those below them.
func addCommands(parent *flags.Command, commands []command) error {
	for _, c := range commands {
		added, err := parent.AddCommand(c.name, c.short, c.long, c.data)
		if err != nil {
			return err
		}
		if err := addCommands(added, c.below); err != nil {
			return err
		}
	}
	return nil
}

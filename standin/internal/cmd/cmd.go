// Package cmd holds what the stand-ins' commands share: reading flags, and
// running until a signal asks to stop.
package cmd

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the commands.
const (
	ExitOK    = 0
	ExitFail  = 1
	ExitUsage = 2
)

// addrFileMode is the mode of the files that receive addresses.
const addrFileMode = 0o644

// Parse reads args into options, a pointer to a struct with flag tags. When
// ok is false the command ends with code.
func Parse(name string, options any, args []string) (code int, ok bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return Fail(name, err), false
	}
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return ExitOK, false
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage, false
	}
	if len(rest) > 0 {
		fmt.Fprintf(os.Stderr, "%s: unexpected argument %q\n", name, rest[0])
		return ExitUsage, false
	}
	return ExitOK, true
}

// Fail prints an error and gives the exit code of a command that could not
// start.
func Fail(name string, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return ExitFail
}

// WriteAddr writes an address to a file; an empty name does nothing.
func WriteAddr(file, addr string) error {
	if file == "" {
		return nil
	}
	return os.WriteFile(file, []byte(addr), addrFileMode)
}

// Run prints the address listened on, waits for SIGTERM or SIGINT, and then
// calls stop.
func Run(addr string, stop func()) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	fmt.Println("listening", addr)
	<-signals
	stop()
	return ExitOK
}

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

// Server is a running stand-in.
type Server interface {
	Addr() string
	Close()
}

// AddrFile receives an address; an empty name stands for none.
type AddrFile struct{ Name, Addr string }

// Main runs a stand-in as a command until SIGTERM and gives its exit code. It
// reads args, those after the program's name, into options, a pointer to a
// struct with flag tags, before it calls start; files lists where the running
// stand-in's addresses are to be written.
func Main[S Server](name string, options any, args []string, start func() (S, error), files func(S) []AddrFile) int {
	if code, ok := Parse(name, options, args); !ok {
		return code
	}
	s, err := start()
	if err != nil {
		return Fail(name, err)
	}
	for _, file := range files(s) {
		if err := WriteAddr(file.Name, file.Addr); err != nil {
			s.Close()
			return Fail(name, err)
		}
	}
	return Run(s.Addr(), s.Close)
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

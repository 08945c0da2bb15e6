// Package cmd holds what the commands of the stand-ins share: parsing of flags,
// writing of address files, and running until a signal.
package cmd

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the commands: ExitFail after a failed start, ExitUsage after wrong
// arguments.
const (
	ExitOK    = 0
	ExitFail  = 1
	ExitUsage = 2
)

// addrFileMode is the permission bits of address files.
const addrFileMode = 0o644

// Parse parses args into options, a pointer to a struct with flag tags. If ok is
// false, it has printed help or an error, and the command must exit with code.
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

// Fail prints an error to standard error and returns ExitFail.
func Fail(name string, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return ExitFail
}

// WriteAddr writes an address to a file, without a newline. With an empty file name it
// does nothing.
func WriteAddr(file, addr string) error {
	if file == "" {
		return nil
	}
	return os.WriteFile(file, []byte(addr), addrFileMode)
}

// Server is a running stand-in. Addr returns its listen address.
type Server interface {
	Addr() string
	Close()
}

// AddrFile is a file to write an address to; an empty Name means none.
type AddrFile struct{ Name, Addr string }

// Main runs a stand-in as a command until SIGTERM or SIGINT and returns its exit code.
// It parses args, the arguments after the program name, into options, a pointer to a
// struct with flag tags, and then calls start. files returns the address files to
// write for the running stand-in.
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

// Run prints the listen address to standard output, waits for SIGTERM or SIGINT, calls
// stop and returns ExitOK.
func Run(addr string, stop func()) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	fmt.Println("listening", addr)
	<-signals
	stop()
	return ExitOK
}

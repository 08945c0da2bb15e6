// Package app implements the command line of mimosad. It is separate from
// package main so that scenario tests can run it as a command.
package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"mimosaarch.example/node"
	"mimosaarch.example/node/settings"
)

// Exit codes of mimosad. ExitFailed means that the node could not start,
// ExitUsage that the command line is invalid, ExitSettings that the settings are
// invalid, and ExitDrainIncomplete that the drain cut off requests in flight.
const (
	ExitOK              = 0
	ExitFailed          = 1
	ExitUsage           = 2
	ExitSettings        = 3
	ExitDrainIncomplete = 4
)

// options are the command-line flags.
type options struct {
	Settings string `short:"s" long:"settings" required:"true" value-name:"FILE" description:"YAML settings of this node"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Main runs mimosad and returns its exit code. On SIGTERM or SIGINT the node
// drains: it finishes the requests in flight and stops. A second signal stops it
// at once.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "mimosad"
	if _, err := parser.ParseArgs(args); err != nil {
		return usage(err, stdout, stderr)
	}
	s, err := settings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	if opts.Check {
		fmt.Fprintln(stdout, "settings are valid")
		return ExitOK
	}
	return run(s, stderr)
}

// usage prints the help text to stdout, or the parse error to stderr, and
// returns the exit code.
func usage(err error, stdout, stderr io.Writer) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagsErr.Message)
		return ExitOK
	}
	fmt.Fprintln(stderr, err)
	return ExitUsage
}

// run starts the node, waits for a signal and drains the node. It returns the
// exit code.
func run(s settings.Settings, stderr io.Writer) int {
	log := newLog(s.LogLevel, stderr)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	n, err := node.Start(s, log)
	if err != nil {
		log.Error().Err(err).Msg("node did not start")
		return ExitFailed
	}
	<-signals
	return drain(n, s, signals, log)
}

// drain shuts the node down within the drain timeout or until a second signal.
func drain(n *node.Node, s settings.Settings, signals <-chan os.Signal, log zerolog.Logger) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := n.Shutdown(ctx); err != nil {
		log.Error().Err(err).Msg("planned stop cut requests off")
		return ExitDrainIncomplete
	}
	return ExitOK
}

// newLog returns a logger that writes JSON lines to stderr. An unknown level
// selects info.
func newLog(level string, stderr io.Writer) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(stderr).Level(parsed).With().Timestamp().Logger()
}

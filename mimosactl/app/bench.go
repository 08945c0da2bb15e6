package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/loadgen/load"
	"mimosaarch.example/mimosactl/bench"
)

// benchCommand holds the options of "mimosactl bench".
type benchCommand struct {
	env *env
	mixOptions

	Nodes         int           `long:"nodes" default:"9" description:"nodes in this process"`
	TokenInterval time.Duration `long:"token-interval" description:"target time between tokens for the flow strategy; 0 uses the default of the profile"`
	Strategy      string        `long:"strategy" choice:"flow" choice:"round_robin" choice:"two_choices" choice:"least_loaded" default:"flow" description:"strategy that selects the chain of engines for a request"`
	Load          float64       `long:"load" default:"1.0" description:"offered model load, as a fraction of the bound"`
	For           time.Duration `long:"for" default:"20s" description:"length of the run"`
	Warmup        time.Duration `long:"warmup" default:"8s" description:"initial part of the run that is not measured"`
	Scale         float64       `long:"scale" default:"0.5" description:"factor applied to the stand-ins' rates"`
	Fail          string        `long:"fail" choice:"engine" choice:"node" choice:"drain" description:"failure to inject: kill an engine of a middle stage, stop a node abruptly, or drain a node; callers then go through a proxy that forwards each request to a ready node"`
	FailAt        time.Duration `long:"fail-at" default:"8s" description:"time of the failure, from the start of the run"`
	Verbose       bool          `short:"v" long:"verbose" description:"print the nodes' warnings"`
}

// bench returns the description of the bench command.
func (e *env) bench() command {
	return command{
		name:  "bench",
		short: "Measure nodes against stand-ins in this process",
		long: "Starts nodes and a full-size fleet of stand-ins in this process, offers a fraction of the load that the simulated hardware allows, " +
			"and reports delivered tokens against that bound, latencies and outcomes. The load generator shares the machine: " +
			"check the send delay and the CPU cores used before trusting the figures.",
		data: &benchCommand{env: e},
	}
}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	log := zerolog.Nop()
	if c.Verbose {
		log = zerolog.New(c.env.stderr).Level(zerolog.WarnLevel).With().Timestamp().Logger()
	}
	ctx, stop := signalContext()
	defer stop()
	result, err := bench.Run(ctx, bench.Options{
		Nodes:         c.Nodes,
		Strategy:      c.Strategy,
		TokenInterval: c.TokenInterval,
		LoadFraction:  c.Load,
		Duration:      c.For,
		Warmup:        c.Warmup,
		Scale:         c.Scale,
		Shape:         load.Shape(c.Shape),
		Mix:           c.mix(),
		Seed:          c.Seed,
		Deadline:      c.Deadline,
		MaxRetries:    c.MaxRetries,
		Failure:       bench.FailureKind(c.Fail),
		FailAfter:     c.FailAt,
		Log:           log,
		OnProgress:    c.env.printProgress,
	})
	if setting, ok := errors.AsType[*bench.OptionError](err); ok {
		return &UsageError{Message: setting.Error()}
	}
	if err != nil {
		return err
	}
	if err := c.env.print(result, func(w io.Writer) { printBench(w, result) }); err != nil {
		return err
	}
	return c.plot(result.Report)
}

// signalContext returns a context that is cancelled on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// printBench prints a bench result as text.
func printBench(w io.Writer, r bench.Result) {
	fmt.Fprintf(w, "bench         %d nodes, %d engines, strategy %s, load %.2f of the bound, scale %.2f\n",
		r.Nodes, r.Engines, r.Strategy, r.LoadFraction, r.Scale)
	fmt.Fprintf(w, "bound         %.1f token steps/s, offered %.2f requests/s, %.2f cores used by all parts\n",
		r.BoundStepsPerSec, r.RequestsPerSec, r.CPUCores)
	if r.Failure != nil {
		printFailure(w, r.Failure)
	}
	r.Report.Text(w)
}

// printFailure prints the injected failure and the requests that it delayed
// longest, with their decisions.
func printFailure(w io.Writer, f *bench.FailureReport) {
	fmt.Fprintf(w, "failed        %s %s; the rest allows %.1f token steps/s; the front sent %d requests anew\n",
		f.Kind, f.Name, f.RemainingBoundStepsPerSec, f.Resends)
	if f.StopError != "" {
		fmt.Fprintf(w, "planned stop  %s\n", f.StopError)
	}
	for _, h := range f.LongestStalls {
		fmt.Fprintf(w, "held up       %s for %.3f s, %s %s\n", h.Request, h.GapSeconds, h.Outcome, h.Reason)
		for _, d := range h.Decisions {
			fmt.Fprintf(w, "  %+.3f s %s attempt %d %v %s %s\n", d.AfterSeconds, d.Step, d.Attempt, d.Chain, d.Reason, d.Detail)
		}
	}
}

// Package bench runs nodes and a full-size fleet of stand-ins in one process and
// measures the nodes under load. It compares the delivered tokens with the upper
// bound given by the simulated hardware, and can inject a failure during the run.
package bench

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/loadgen/load"
	"mimosaarch.example/loadgen/report"
	"mimosaarch.example/mimosactl/answers"
	"mimosaarch.example/mimosactl/documents"
	standins "mimosaarch.example/standin/fleet"
)

// Options configures a bench run.
type Options struct {
	// Nodes is the number of nodes to start.
	Nodes int
	// Strategy is the profile's strategy for choosing the chain of a request.
	Strategy string
	// TokenInterval is the profile's target time between tokens; 0 uses the
	// profile's default.
	TokenInterval time.Duration
	// LoadFraction is the offered model load as a fraction of the bound.
	LoadFraction float64
	// Duration is the length of the run. Warmup is the initial part of it that
	// is not measured.
	Duration, Warmup time.Duration
	// Scale multiplies the stand-ins' rates.
	Scale float64
	// Shape is the request rate over time. With load.Evening, LoadFraction is
	// the peak.
	Shape load.Shape
	// Mix sets the kinds and sizes of requests. Run fills in the services, the
	// accounts and the run's name.
	Mix  load.Mix
	Seed uint64
	// Deadline is sent with each request; 0 uses the profile's deadline.
	Deadline time.Duration
	// MaxRetries is how often a refused request is retried after the delay that
	// the node advised.
	MaxRetries int
	// Failure is the failure to inject, FailAfter after the start of the run;
	// FailNone injects none.
	Failure   FailureKind
	FailAfter time.Duration
	// Log receives the nodes' log lines.
	Log zerolog.Logger
	// OnProgress is called with the counters of the load each second; may be
	// nil.
	OnProgress func(load.Progress)
}

// Result holds the measurements of a bench run.
type Result struct {
	Nodes        int     `json:"nodes"`
	Engines      int     `json:"engines"`
	Strategy     string  `json:"strategy"`
	LoadFraction float64 `json:"load"`
	Scale        float64 `json:"scale"`
	// BoundStepsPerSec is the upper bound in token steps per second, including
	// the steps of prompts. The bound in Report is in tokens per second.
	BoundStepsPerSec float64 `json:"bound_steps_per_s"`
	// RequestsPerSec is the offered request rate, at the peak.
	RequestsPerSec float64 `json:"rate"`
	// CPUCores is the average number of CPU cores that the process used during
	// the run, for stand-ins, nodes and load generator together.
	CPUCores float64       `json:"cores"`
	Report   report.Report `json:"report"`
	// Failure is nil if no failure was injected.
	Failure *FailureReport `json:"failed,omitempty"`
}

// OptionError reports an invalid option and its allowed values.
type OptionError struct{ Option, Expected string }

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("bench: %s: expected %s", e.Option, e.Expected)
}

// validate checks the options. The error is an *OptionError.
func (o Options) validate() error {
	switch {
	case o.Nodes < 1:
		return &OptionError{Option: "nodes", Expected: "at least 1"}
	case o.LoadFraction <= 0:
		return &OptionError{Option: "load", Expected: "above 0"}
	case o.Scale <= 0:
		return &OptionError{Option: "scale", Expected: "above 0"}
	case o.Warmup < 0 || o.Warmup >= o.Duration:
		return &OptionError{Option: "warmup", Expected: "less than the length of the run"}
	case o.Mix.PlainShare >= 1:
		return &OptionError{Option: "plain share", Expected: "below 1"}
	}
	return o.validateFailure()
}

// Run starts the stand-ins and nodes, runs the load and stops everything before
// it returns. Errors: *OptionError, *node.NotReadyError, or an error from starting
// the nodes, stand-ins or load.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := o.validate(); err != nil {
		return Result{}, err
	}
	cfg := standins.Large(o.Scale)
	f := &fixture{options: o, config: cfg}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return Result{}, err
	}
	return f.measure(ctx)
}

// promptChunkTokens is the number of prompt tokens that a stand-in engine
// processes in one step; it equals the default of the engines.
const promptChunkTokens = 64

// measure runs the load, injects the failure, if any, and collects the result.
func (f *fixture) measure(ctx context.Context) (Result, error) {
	o := f.options
	mix := f.mix()
	means := mix.Means(o.Seed, promptChunkTokens)
	bound := Bound(f.config)
	result := Result{
		Nodes:            o.Nodes,
		Engines:          len(f.config.Engines),
		Strategy:         o.Strategy,
		LoadFraction:     o.LoadFraction,
		Scale:            o.Scale,
		BoundStepsPerSec: bound,
		RequestsPerSec:   o.LoadFraction * bound / means.Steps / means.ModelShare,
	}
	start := time.Now()
	recorder := report.New(report.Options{
		Start:       start,
		WindowStart: o.Warmup,
		WindowEnd:   o.Duration,
		Bound:       bound * means.Tokens / means.Steps,
	})
	injector, err := f.newFailureInjector(recorder, o.LoadFraction*bound, means.Tokens/means.Steps)
	if err != nil {
		return Result{}, err
	}
	defer injector.close()
	run, err := load.New(load.Settings{
		Nodes:      injector.addresses(),
		Mix:        mix,
		Schedule:   load.Schedule{Rate: result.RequestsPerSec, Shape: o.Shape, Duration: o.Duration},
		Seed:       o.Seed,
		Deadline:   o.Deadline,
		MaxRetries: o.MaxRetries,
		Checker:    answers.Checker{},
		Observer:   injector,
	})
	if err != nil {
		return Result{}, err
	}
	runStart, cpuBefore := time.Now(), cpuTime()
	injector.schedule(ctx, start)
	load.RunWithProgress(ctx, run, o.OnProgress)
	result.CPUCores = (cpuTime() - cpuBefore).Seconds() / time.Since(runStart).Seconds()
	result.Failure = injector.report()
	result.Report = recorder.Report()
	return result, nil
}

// mix returns the request mix of the options with the fixture's services and
// accounts.
func (f *fixture) mix() load.Mix {
	mix := f.options.Mix
	mix.Model = ids.Service(standins.ModelService)
	mix.Plain = ids.Service(standins.PlainService)
	mix.RunID = documents.NewChangeID()
	mix.Accounts = nil
	for _, a := range accounts {
		mix.Accounts = append(mix.Accounts, load.Account{Key: a.key, Weight: a.weight})
	}
	return mix
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage for RUSAGE_SELF does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

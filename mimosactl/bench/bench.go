// Package bench runs nodes with stand-ins of today's size in one process and
// measures them under load against what the stand-ins' hardware allows.
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

// Options of a bench.
type Options struct {
	// Nodes is the count of nodes.
	Nodes int
	// Strategy chooses chains.
	Strategy string
	// TokenInterval is the profile's; 0 stands for its default.
	TokenInterval time.Duration
	// LoadFraction is the model requests offered, in parts of the bound.
	LoadFraction float64
	// Duration is the length of the run, Warmup its first part that isn't
	// measured.
	Duration, Warmup time.Duration
	// Scale multiplies the stand-ins' rates.
	Scale float64
	// Shape of the load. With load.Evening, Load is at the peak.
	Shape load.Shape
	// Mix sizes the requests; services, accounts and the run's name are
	// filled in.
	Mix  load.Mix
	Seed uint64
	// Deadline is told to nodes; 0 leaves it to the profile.
	Deadline time.Duration
	// MaxRetries is how often refused callers come back.
	MaxRetries int
	// Failure is made to happen FailAt after the run's start; FailNothing for
	// nothing.
	Failure   FailureKind
	FailAfter time.Duration
	// Log takes the nodes' log lines.
	Log zerolog.Logger
	// OnProgress is told how far the load has come, each second; nil means
	// not told.
	OnProgress func(load.Progress)
}

// Result is what a bench measured.
type Result struct {
	Nodes    int     `json:"nodes"`
	Engines  int     `json:"engines"`
	Strategy string  `json:"strategy"`
	LoadFraction     float64 `json:"load"`
	Scale    float64 `json:"scale"`
	// BoundStepsPerSec is the maximum flow in token steps a second, the steps of
	// prompts included; the report's bound is in tokens.
	BoundStepsPerSec float64 `json:"bound_steps_per_s"`
	// RequestsPerSec is the requests offered a second, at the peak.
	RequestsPerSec float64 `json:"rate"`
	// CPUCores is the processor time of the whole process, stand-ins, nodes and
	// load tool, for each second of the run.
	CPUCores  float64       `json:"cores"`
	Report report.Report `json:"report"`
	// Failure is nil when nothing was made to fail.
	Failure *FailureReport `json:"failed,omitempty"`
}

// OptionError tells that an option can't be used.
type OptionError struct{ Option, Expected string }

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("bench: %s: expected %s", e.Option, e.Expected)
}

// check checks the options.
func (o Options) check() error {
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
	return o.checkFailure()
}

// Run runs a bench and leaves nothing running. Errors: *SettingError,
// *node.NotReadyError, or those of starting nodes, stand-ins and load.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := o.check(); err != nil {
		return Result{}, err
	}
	cfg := standins.Today(o.Scale)
	f := &fixture{options: o, config: cfg}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return Result{}, err
	}
	return f.measure(ctx)
}

// promptChunk is the stand-ins' prompt tokens a step.
const promptChunk = 64

// measure runs the load.
func (f *fixture) measure(ctx context.Context) (Result, error) {
	o := f.options
	mix := f.mix()
	means := mix.Means(o.Seed, promptChunk)
	bound := Bound(f.config)
	result := Result{
		Nodes:      o.Nodes,
		Engines:    len(f.config.Engines),
		Strategy:   o.Strategy,
		LoadFraction:       o.LoadFraction,
		Scale:      o.Scale,
		BoundStepsPerSec: bound,
		RequestsPerSec:       o.LoadFraction * bound / means.Steps / means.ModelShare,
	}
	start := time.Now()
	recorder := report.New(report.Options{
		Start: start,
		From:  o.Warmup,
		Until: o.Duration,
		Bound: bound * means.Tokens / means.Steps,
	})
	failing, err := f.newFailing(recorder, o.LoadFraction*bound, means.Tokens/means.Steps)
	if err != nil {
		return Result{}, err
	}
	defer failing.close()
	run, err := load.New(load.Settings{
		Nodes:    failing.addresses(),
		Mix:      mix,
		Schedule: load.Schedule{Rate: result.RequestsPerSec, Shape: o.Shape, For: o.Duration},
		Seed:     o.Seed,
		Deadline: o.Deadline,
		Returns:  o.MaxRetries,
		Checker:  answers.Checker{},
		Observer: failing,
	})
	if err != nil {
		return Result{}, err
	}
	began, used := time.Now(), cpuTime()
	failing.schedule(ctx, start)
	load.Watch(ctx, run, o.OnProgress)
	result.CPUCores = (cpuTime() - used).Seconds() / time.Since(began).Seconds()
	result.Failure = failing.end()
	result.Report = recorder.Report()
	return result, nil
}

// mix fills in what the fixture decides.
func (f *fixture) mix() load.Mix {
	mix := f.options.Mix
	mix.Model = ids.Service(standins.ModelService)
	mix.Plain = ids.Service(standins.PlainService)
	mix.Run = documents.NewChangeID()
	mix.Accounts = nil
	for _, a := range accounts {
		mix.Accounts = append(mix.Accounts, load.Account{Key: a.key, Weight: a.weight})
	}
	return mix
}

// cpuTime gives the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the own process does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

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
	// Load is the model requests offered, in parts of the bound.
	Load float64
	// For is the length of the run, Warmup its first part that isn't
	// measured.
	For, Warmup time.Duration
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
	// Returns is how often refused callers come back.
	Returns int
	// Fail is made to happen FailAt after the run's start; FailNothing for
	// nothing.
	Fail   Failure
	FailAt time.Duration
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
	Load     float64 `json:"load"`
	Scale    float64 `json:"scale"`
	// BoundSteps is the maximum flow in token steps a second, the steps of
	// prompts included; the report's bound is in tokens.
	BoundSteps float64 `json:"bound_steps_per_s"`
	// Rate is the requests offered a second, at the peak.
	Rate float64 `json:"rate"`
	// Cores is the processor time of the whole process, stand-ins, nodes and
	// load tool, for each second of the run.
	Cores  float64       `json:"cores"`
	Report report.Report `json:"report"`
	// Failed is nil when nothing was made to fail.
	Failed *Failed `json:"failed,omitempty"`
}

// SettingError tells that an option can't be used.
type SettingError struct{ Option, Expected string }

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("bench: %s: expected %s", e.Option, e.Expected)
}

// check checks the options.
func (o Options) check() error {
	switch {
	case o.Nodes < 1:
		return &SettingError{Option: "nodes", Expected: "at least 1"}
	case o.Load <= 0:
		return &SettingError{Option: "load", Expected: "above 0"}
	case o.Scale <= 0:
		return &SettingError{Option: "scale", Expected: "above 0"}
	case o.Warmup < 0 || o.Warmup >= o.For:
		return &SettingError{Option: "warmup", Expected: "less than the length of the run"}
	case o.Mix.PlainShare >= 1:
		return &SettingError{Option: "plain share", Expected: "below 1"}
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
		Load:       o.Load,
		Scale:      o.Scale,
		BoundSteps: bound,
		Rate:       o.Load * bound / means.Steps / means.ModelShare,
	}
	start := time.Now()
	recorder := report.New(report.Options{
		Start:       start,
		WindowStart: o.Warmup,
		WindowEnd:   o.For,
		Bound:       bound * means.Tokens / means.Steps,
	})
	failing, err := f.newFailing(recorder, o.Load*bound, means.Tokens/means.Steps)
	if err != nil {
		return Result{}, err
	}
	defer failing.close()
	run, err := load.New(load.Settings{
		Nodes:      failing.addresses(),
		Mix:        mix,
		Schedule:   load.Schedule{Rate: result.Rate, Shape: o.Shape, Duration: o.For},
		Seed:       o.Seed,
		Deadline:   o.Deadline,
		MaxRetries: o.Returns,
		Checker:    answers.Checker{},
		Observer:   failing,
	})
	if err != nil {
		return Result{}, err
	}
	began, used := time.Now(), cpuTime()
	failing.schedule(ctx, start)
	load.RunWithProgress(ctx, run, o.OnProgress)
	result.Cores = (cpuTime() - used).Seconds() / time.Since(began).Seconds()
	result.Failed = failing.end()
	result.Report = recorder.Report()
	return result, nil
}

// mix fills in what the fixture decides.
func (f *fixture) mix() load.Mix {
	mix := f.options.Mix
	mix.Model = ids.Service(standins.ModelService)
	mix.Plain = ids.Service(standins.PlainService)
	mix.RunID = documents.NewChange()
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

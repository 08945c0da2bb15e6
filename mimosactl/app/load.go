package app

import (
	"io"
	"strconv"
	"strings"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/loadgen/load"
	"mimosaarch.example/loadgen/report"
	"mimosaarch.example/mimosactl/answers"
	"mimosaarch.example/mimosactl/documents"
)

// loadCommand is "mimosactl load".
type loadCommand struct {
	env *env
	mixOptions

	Nodes    addresses     `long:"nodes" env:"MIMOSACTL_NODES" required:"yes" value-name:"ADDR" description:"nodes' ports for callers, used in rotation; several with commas"`
	Accounts []string      `long:"account" env:"MIMOSACTL_ACCOUNTS" env-delim:"," value-name:"KEY[:WEIGHT]" description:"bearer key of an account with its weight; may be repeated; better given in the environment"`
	Model    string        `long:"model" default:"mimosa-drafts" description:"model service"`
	Plain    string        `long:"plain" default:"booking-api" description:"plain service"`
	Rate     float64       `long:"rate" default:"10" description:"requests a second, at the peak"`
	Callers  int           `long:"callers" description:"instead of a rate: callers who each send when their last answer has ended"`
	For      time.Duration `long:"for" default:"10s" description:"length of the run"`
	Warmup   time.Duration `long:"warmup" default:"2s" description:"first part of the run that is not measured"`
	Bound    float64       `long:"bound" description:"tokens a second that the hardware allows, to report the share of"`
	InFlight int           `long:"max-in-flight" default:"4096" description:"most requests in flight; more are not sent, and reported so"`
	Timeout  time.Duration `long:"timeout" default:"60s" description:"time to wait for an answer"`
	NoCheck  bool          `long:"no-check" description:"don't check answers against what the stand-ins say"`
}

// load describes the command.
func (e *env) load() command {
	return command{
		name:  "load",
		short: "Send requests by a schedule and report",
		long: "Sends requests to nodes at a rate, whatever became of earlier ones, or from a fixed count of callers; checks every answer; " +
			"prints progress each second on stderr, and then throughput, latencies and outcomes.",
		data: &loadCommand{env: e},
	}
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	recorder := report.New(report.Options{Start: time.Now(), WindowStart: c.Warmup, WindowEnd: c.For, Bound: c.Bound})
	settings.Observer = recorder
	run, err := load.New(settings)
	if err != nil {
		return &UsageError{Message: err.Error()}
	}
	ctx, stop := interruptible()
	defer stop()
	load.RunWithProgress(ctx, run, c.env.progress)
	result := recorder.Report()
	if err := c.env.print(result, func(w io.Writer) { result.Text(w) }); err != nil {
		return err
	}
	return c.plot(result)
}

// settings makes the settings of the run, without its observer.
func (c *loadCommand) settings() (load.Settings, error) {
	if c.Warmup < 0 || c.Warmup >= c.For {
		return load.Settings{}, &UsageError{Message: "--warmup must be less than --for"}
	}
	accounts, err := readAccounts(c.Accounts)
	if err != nil {
		return load.Settings{}, err
	}
	s := load.Settings{
		Nodes:       c.Nodes,
		Mix:         c.mix(),
		Schedule:    load.Schedule{Rate: c.Rate, Shape: load.Shape(c.Shape), Duration: c.For},
		Callers:     c.Callers,
		Seed:        c.Seed,
		MaxInFlight: c.InFlight,
		Timeout:     c.Timeout,
		Deadline:    c.Deadline,
		MaxRetries:  c.Returns,
	}
	s.Mix.Model = ids.Service(c.Model)
	s.Mix.Plain = ids.Service(c.Plain)
	s.Mix.RunID = documents.NewChange()
	s.Mix.Accounts = accounts
	if !c.NoCheck {
		s.Checker = answers.Checker{}
	}
	return s, nil
}

// readAccounts reads keys with weights.
func readAccounts(values []string) ([]load.Account, error) {
	var out []load.Account
	for _, value := range values {
		key, weight, weighted := strings.Cut(value, ":")
		a := load.Account{Key: key, Weight: 1}
		if weighted {
			n, err := strconv.Atoi(weight)
			if err != nil || n < 1 {
				return nil, &UsageError{Message: "--account: want KEY or KEY:WEIGHT, the weight a number from 1"}
			}
			a.Weight = n
		}
		out = append(out, a)
	}
	return out, nil
}

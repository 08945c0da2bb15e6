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

// loadCommand holds the options of "mimosactl load".
type loadCommand struct {
	env *env
	mixOptions

	Nodes    addresses     `long:"nodes" env:"MIMOSACTL_NODES" required:"yes" value-name:"ADDR" description:"nodes' caller addresses, used in rotation; separate several with commas"`
	Accounts []string      `long:"account" env:"MIMOSACTL_ACCOUNTS" env-delim:"," value-name:"KEY[:WEIGHT]" description:"bearer key of an account and its share of the requests; may be repeated; prefer the environment variable"`
	Model    string        `long:"model" default:"mimosa-drafts" description:"name of the model service"`
	Plain    string        `long:"plain" default:"booking-api" description:"name of the plain service"`
	Rate     float64       `long:"rate" default:"10" description:"requests per second, at the peak"`
	Callers  int           `long:"callers" description:"number of callers that each send the next request when the last one has ended; replaces the rate"`
	For      time.Duration `long:"for" default:"10s" description:"length of the run"`
	Warmup   time.Duration `long:"warmup" default:"2s" description:"initial part of the run that is not measured"`
	Bound    float64       `long:"bound" description:"tokens per second that the hardware allows; the report compares the throughput with it"`
	InFlight int           `long:"max-in-flight" default:"4096" description:"maximum requests in flight; further ones are reported as not sent"`
	Timeout  time.Duration `long:"timeout" default:"60s" description:"timeout of each request"`
	NoCheck  bool          `long:"no-check" description:"don't check answers against the expected answers of the stand-ins"`
}

// load returns the description of the load command.
func (e *env) load() command {
	return command{
		name:  "load",
		short: "Send requests on a schedule and report the results",
		long: "Sends requests to nodes at a given rate, independent of earlier answers, or from a fixed number of callers. Checks every answer, " +
			"prints progress to stderr each second, and then prints throughput, latencies and outcomes.",
		data: &loadCommand{env: e},
	}
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	settings, err := c.loadSettings()
	if err != nil {
		return err
	}
	recorder := report.New(report.Options{Start: time.Now(), WindowStart: c.Warmup, WindowEnd: c.For, Bound: c.Bound})
	settings.Observer = recorder
	run, err := load.New(settings)
	if err != nil {
		return &UsageError{Message: err.Error()}
	}
	ctx, stop := signalContext()
	defer stop()
	load.RunWithProgress(ctx, run, c.env.printProgress)
	result := recorder.Report()
	if err := c.env.print(result, func(w io.Writer) { result.Text(w) }); err != nil {
		return err
	}
	return c.plot(result)
}

// loadSettings returns the settings of the load run, without its observer. The
// error is a *UsageError.
func (c *loadCommand) loadSettings() (load.Settings, error) {
	if c.Warmup < 0 || c.Warmup >= c.For {
		return load.Settings{}, &UsageError{Message: "--warmup must be less than --for"}
	}
	accounts, err := parseAccounts(c.Accounts)
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
		MaxRetries:  c.MaxRetries,
	}
	s.Mix.Model = ids.Service(c.Model)
	s.Mix.Plain = ids.Service(c.Plain)
	s.Mix.RunID = documents.NewChangeID()
	s.Mix.Accounts = accounts
	if !c.NoCheck {
		s.Checker = answers.Checker{}
	}
	return s, nil
}

// parseAccounts parses values of the form KEY or KEY:WEIGHT. The default weight is
// 1. The error is a *UsageError.
func parseAccounts(values []string) ([]load.Account, error) {
	var out []load.Account
	for _, value := range values {
		key, weight, weighted := strings.Cut(value, ":")
		a := load.Account{Key: key, Weight: 1}
		if weighted {
			n, err := strconv.Atoi(weight)
			if err != nil || n < 1 {
				return nil, &UsageError{Message: "--account: expected KEY or KEY:WEIGHT with a weight of at least 1"}
			}
			a.Weight = n
		}
		out = append(out, a)
	}
	return out, nil
}

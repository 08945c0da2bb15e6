package app

import (
	"fmt"
	"time"

	"mimosaarch.example/loadgen/load"
	"mimosaarch.example/loadgen/report"
)

// mixOptions holds the options for the generated requests and their report,
// shared by the load and bench commands.
type mixOptions struct {
	Shape      string        `long:"shape" choice:"constant" choice:"evening" default:"constant" description:"rate over time: constant, or evening: a ramp up, a peak at the full rate and a ramp down"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the random generator"`
	PlainShare float64       `long:"plain-share" default:"0" description:"fraction of requests that call the plain service"`
	WriteShare float64       `long:"write-share" default:"0.5" description:"fraction of plain calls that create a booking"`
	KeyedShare float64       `long:"keyed-share" default:"0" description:"fraction of model requests with an idempotency key"`
	PromptMin  int           `long:"prompt-min" default:"16" description:"minimum words of a prompt"`
	PromptMean float64       `long:"prompt-mean" default:"64" description:"mean words of a prompt; 0 for a uniform distribution"`
	PromptMax  int           `long:"prompt-max" default:"512" description:"maximum words of a prompt"`
	TokensMin  int           `long:"tokens-min" default:"8" description:"minimum tokens of an answer"`
	TokensMean float64       `long:"tokens-mean" default:"32" description:"mean tokens of an answer; 0 for a uniform distribution"`
	TokensMax  int           `long:"tokens-max" default:"128" description:"maximum tokens of an answer"`
	Deadline   time.Duration `long:"deadline" description:"deadline sent with each request, as the remaining time"`
	MaxRetries int           `long:"returns" default:"0" description:"how often a refused request is sent again after the advised delay"`
	Plot       string        `long:"plot" value-name:"FILE" description:"write a plot of delivered tokens/s over time, as .png, .svg or .pdf"`
}

// mix returns the request mix, without services and accounts.
func (o *mixOptions) mix() load.Mix {
	return load.Mix{
		PlainShare:  o.PlainShare,
		WriteShare:  o.WriteShare,
		KeyedShare:  o.KeyedShare,
		PromptWords: load.Sizes{Min: o.PromptMin, Mean: o.PromptMean, Max: o.PromptMax},
		MaxTokens:   load.Sizes{Min: o.TokensMin, Mean: o.TokensMean, Max: o.TokensMax},
	}
}

// plot writes the plot if --plot is set.
func (o *mixOptions) plot(r report.Report) error {
	if o.Plot == "" {
		return nil
	}
	return r.Plot(o.Plot)
}

// printProgress prints the counters of a running load to stderr.
func (e *env) printProgress(p load.Progress) {
	fmt.Fprintf(e.stderr, "%5.1fs  sent %d, in flight %d, complete %d, refused %d, failed %d, wrong %d, not sent %d, tokens %d\n",
		p.Elapsed.Seconds(), p.Sent, p.InFlight, p.Complete, p.Refused, p.Failed, p.Wrong, p.NotSent, p.Tokens)
}

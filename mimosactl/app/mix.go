package app

import (
	"fmt"
	"time"

	"mimosaarch.example/loadgen/load"
	"mimosaarch.example/loadgen/report"
)

// mixOptions say what a load is made of and how it is reported.
type mixOptions struct {
	Shape      string        `long:"shape" choice:"constant" choice:"evening" default:"constant" description:"how the rate changes: evening is a ramp, a peak at the full rate, and a ramp down"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of all that is drawn"`
	PlainShare float64       `long:"plain-share" default:"0" description:"part of requests that call the plain service"`
	WriteShare float64       `long:"write-share" default:"0.5" description:"part of plain calls that book"`
	KeyedShare float64       `long:"keyed-share" default:"0" description:"part of model requests with an idempotency key"`
	PromptMin  int           `long:"prompt-min" default:"16" description:"fewest words of a prompt"`
	PromptMean float64       `long:"prompt-mean" default:"64" description:"mean words of a prompt; 0: evenly spread"`
	PromptMax  int           `long:"prompt-max" default:"512" description:"most words of a prompt"`
	TokensMin  int           `long:"tokens-min" default:"8" description:"fewest tokens of an answer"`
	TokensMean float64       `long:"tokens-mean" default:"32" description:"mean tokens of an answer; 0: evenly spread"`
	TokensMax  int           `long:"tokens-max" default:"128" description:"most tokens of an answer"`
	Deadline   time.Duration `long:"deadline" description:"time remaining that nodes are told"`
	Returns    int           `long:"returns" default:"0" description:"how often a refused caller comes back, when told when to"`
	Plot       string        `long:"plot" value-name:"FILE" description:"write delivered tokens/s over time as .png, .svg or .pdf"`
}

// mix gives the mix without services and accounts.
func (o *mixOptions) mix() load.Mix {
	return load.Mix{
		PlainShare:  o.PlainShare,
		WriteShare:  o.WriteShare,
		KeyedShare:  o.KeyedShare,
		PromptWords: load.Sizes{Min: o.PromptMin, Mean: o.PromptMean, Max: o.PromptMax},
		MaxTokens:   load.Sizes{Min: o.TokensMin, Mean: o.TokensMean, Max: o.TokensMax},
	}
}

// plot writes the plot, if one is wanted.
func (o *mixOptions) plot(r report.Report) error {
	if o.Plot == "" {
		return nil
	}
	return r.Plot(o.Plot)
}

// progress prints how far a load has come, on stderr.
func (e *env) progress(p load.Progress) {
	fmt.Fprintf(e.stderr, "%5.1fs  sent %d, in flight %d, complete %d, refused %d, failed %d, wrong %d, not sent %d, tokens %d\n",
		p.Elapsed.Seconds(), p.Sent, p.InFlight, p.Complete, p.Refused, p.Failed, p.Wrong, p.NotSent, p.Tokens)
}

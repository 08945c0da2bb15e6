// Package engine is a stand-in for a model engine. It implements the protocol of
// package engineapi: it holds a range of layers and generates tokens through a chain
// of stages, at a fixed rate of token steps and without a model. Its control API
// injects faults and returns records of what ran.
package engine

import (
	"cmp"
	"fmt"
	"strings"
)

// Config configures one engine. A zero field takes the default stated for it.
type Config struct {
	// Listen is the address to listen on. Default 127.0.0.1:0.
	Listen string `long:"listen" description:"address to listen on"`
	// AddrFile, if set, is the file that Main writes the listen address to.
	AddrFile string `long:"addr-file" description:"file to write the address to"`
	// ID identifies the engine in chains and reports. Default "engine".
	ID string `long:"id" description:"engine id"`
	// Model is the model held. If empty, requests may name any model.
	Model string `long:"model" description:"model name"`
	// Layers is the number of layers of the model. Default Last+1.
	Layers int `long:"layers" description:"layers of the model"`
	// First and Last are the layers held, inclusive, counted from 0.
	First int `long:"first" description:"first layer held"`
	Last  int `long:"last" description:"last layer held"`
	// Rate is the number of token steps per second at full batch. Default 1000.
	Rate float64 `long:"rate" description:"token steps a second"`
	// Slots limits the requests run at once as head. Default 16.
	Slots int `long:"slots" description:"requests run at once"`
	// Links are the connections to engines of next stages. If any is given, chains
	// that use another connection are refused. If none is, every connection is
	// allowed, without latency or limit.
	Links []Link `long:"link" description:"link to a next stage, as to:latency_us:tokens_per_second"`
	// PromptChunk is the number of prompt tokens processed per step. Default 64.
	PromptChunk int `long:"prompt-chunk" description:"prompt tokens a step"`
	// LagMs is the interval between updates of the load report, in milliseconds.
	// Default 200. A negative value makes every report current.
	LagMs int `long:"lag-ms" description:"pace of the load report"`
	// LingerMs is how long a run continues without a connection, in milliseconds.
	// Default 2000.
	LingerMs int `long:"linger-ms" description:"time a run outlives its connection"`
	// KeepMs is how long an ended stream can be rejoined, in milliseconds. Default
	// 30000.
	KeepMs int `long:"keep-ms" description:"time an ended stream is kept"`
	// KeepTokens is how many of its newest tokens each stream keeps. Default 4096.
	KeepTokens int `long:"keep-tokens" description:"tokens kept of each stream"`
	// KeepStreams limits the ended streams that can be rejoined. Default 1024.
	KeepStreams int `long:"keep-streams" description:"ended streams kept"`
	// KeepRuns limits the run records kept, and likewise the tombstones. Default
	// 16384.
	KeepRuns int `long:"keep-runs" description:"runs remembered"`
	// StageTimeoutMs limits connecting to a next stage, and writing and reading of
	// each call to it, in milliseconds. Default 1000.
	StageTimeoutMs int `long:"stage-timeout-ms" description:"limit of a stage call"`
	// CheckFence makes the engine refuse orders whose fencing token is below the
	// highest one applied.
	CheckFence bool `long:"check-fence" description:"refuse orders with an old fence"`
	// OnCrash is called when a request that matches Control.CrashOn starts, on the
	// goroutine that handles it and before any answer. If nil, the engine closes.
	OnCrash func() `no-flag:"true"`
}

// Link is a connection to engine To, which holds a next stage.
type Link struct {
	To string
	// LatencyUs is the one-way latency of a step, in microseconds.
	LatencyUs int64
	// Rate is the capacity in token steps per second; 0 means no limit.
	Rate float64
}

// LinkSyntaxError reports a --link value that is not to:latency_us:tokens_per_second.
type LinkSyntaxError struct{ Value string }

// Error implements error.
func (e *LinkSyntaxError) Error() string {
	return fmt.Sprintf("link %q: want to:latency_us:tokens_per_second", e.Value)
}

// UnmarshalFlag implements flags.Unmarshaler. The error is a *LinkSyntaxError.
func (l *Link) UnmarshalFlag(value string) error {
	fields := strings.ReplaceAll(value, ":", " ")
	if _, err := fmt.Sscanf(fields, "%s %d %g", &l.To, &l.LatencyUs, &l.Rate); err != nil {
		return &LinkSyntaxError{Value: value}
	}
	return nil
}

// Defaults of Config.
const (
	defaultID             = "engine"
	defaultRate           = 1000
	defaultSlots          = 16
	defaultPromptChunk    = 64
	defaultLagMs          = 200
	defaultLingerMs       = 2000
	defaultKeepMs         = 30000
	defaultKeepTokens     = 4096
	defaultKeepStreams    = 1024
	defaultKeepRuns       = 16384
	defaultStageTimeoutMs = 1000
)

// withDefaults returns c with the defaults in its zero fields.
func (c Config) withDefaults() Config {
	c.ID = cmp.Or(c.ID, defaultID)
	c.Layers = cmp.Or(c.Layers, c.Last+1)
	c.Rate = cmp.Or(c.Rate, defaultRate)
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.PromptChunk = cmp.Or(c.PromptChunk, defaultPromptChunk)
	c.LagMs = cmp.Or(c.LagMs, defaultLagMs)
	c.LingerMs = cmp.Or(c.LingerMs, defaultLingerMs)
	c.KeepMs = cmp.Or(c.KeepMs, defaultKeepMs)
	c.KeepTokens = cmp.Or(c.KeepTokens, defaultKeepTokens)
	c.KeepStreams = cmp.Or(c.KeepStreams, defaultKeepStreams)
	c.KeepRuns = cmp.Or(c.KeepRuns, defaultKeepRuns)
	c.StageTimeoutMs = cmp.Or(c.StageTimeoutMs, defaultStageTimeoutMs)
	return c
}

// Package engine is a stand-in for a model engine: it holds a range of layers,
// serves requests through a chain of stages at a fixed rate of token steps,
// and fails on demand.
package engine

import (
	"cmp"
	"fmt"
	"strings"
)

// Config sets up one engine. Zero fields take the default given.
type Config struct {
	// Listen is the address to listen on. Default 127.0.0.1:0.
	Listen string `long:"listen" description:"address to listen on"`
	// AddrFile, when set, receives the address listened on (Main only).
	AddrFile string `long:"addr-file" description:"file to write the address to"`
	// ID names the engine in chains and reports. Default engine.
	ID string `long:"id" description:"engine id"`
	// Model is the model held; empty accepts any name in a request.
	Model string `long:"model" description:"model name"`
	// Layers is the model's count of layers. Default Last+1.
	Layers int `long:"layers" description:"layers of the model"`
	// First and Last are the layers held, both inclusive, from 0.
	First int `long:"first" description:"first layer held"`
	Last  int `long:"last" description:"last layer held"`
	// Rate is the token steps a second at full batch. Default 1000.
	Rate float64 `long:"rate" description:"token steps a second"`
	// Slots is the most requests run at once as head. Default 16.
	Slots int `long:"slots" description:"requests run at once"`
	// Links lead to engines of next stages. When any is given, a chain that
	// uses another connection is refused; when none is, all are free.
	Links []Link `long:"link" description:"link to a next stage, as to:latency_us:tokens_per_second"`
	// PromptChunk is the prompt tokens one step processes. Default 64.
	PromptChunk int `long:"prompt-chunk" description:"prompt tokens a step"`
	// LagMs is how often the load report is renewed. Default 200; negative
	// means reports without lag.
	LagMs int `long:"lag-ms" description:"pace of the load report"`
	// LingerMs is how long a run goes on without a connection. Default 2000.
	LingerMs int `long:"linger-ms" description:"time a run outlives its connection"`
	// KeepMs is how long an ended stream can be rejoined. Default 30000.
	KeepMs int `long:"keep-ms" description:"time an ended stream is kept"`
	// KeepTokens is the newest tokens kept of each stream. Default 4096.
	KeepTokens int `long:"keep-tokens" description:"tokens kept of each stream"`
	// KeepStreams bounds the ended streams that can be rejoined. Default 1024.
	KeepStreams int `long:"keep-streams" description:"ended streams kept"`
	// KeepRuns bounds the run records and tombstones kept. Default 16384.
	KeepRuns int `long:"keep-runs" description:"runs remembered"`
	// StageTimeoutMs bounds a call to a next stage. Default 1000.
	StageTimeoutMs int `long:"stage-timeout-ms" description:"limit of a stage call"`
	// CheckFence refuses orders whose fence is below the highest seen.
	CheckFence bool `long:"check-fence" description:"refuse orders with an old fence"`
	// OnCrash is called on the request's goroutine, before any answer, when a
	// request that matches Control.CrashOn starts. Nil closes the engine.
	OnCrash func() `no-flag:"true"`
}

// Link is one connection to an engine of a next stage.
type Link struct {
	To string
	// LatencyUs is the one-way time of a step, in microseconds.
	LatencyUs int64
	// Rate is the token steps carried a second; 0 means no limit.
	Rate float64
}

// LinkSyntaxError tells that a --link value could not be read.
type LinkSyntaxError struct{ Value string }

// Error implements error.
func (e *LinkSyntaxError) Error() string {
	return fmt.Sprintf("link %q: want to:latency_us:tokens_per_second", e.Value)
}

// UnmarshalFlag implements flags.Unmarshaler; the error is a *LinkSyntaxError.
func (l *Link) UnmarshalFlag(value string) error {
	fields := strings.ReplaceAll(value, ":", " ")
	if _, err := fmt.Sscanf(fields, "%s %d %g", &l.To, &l.LatencyUs, &l.Rate); err != nil {
		return &LinkSyntaxError{Value: value}
	}
	return nil
}

// Defaults of Config.
const (
	defaultID           = "engine"
	defaultRate         = 1000
	defaultSlots        = 16
	defaultPromptChunk  = 64
	defaultLagMs        = 200
	defaultLingerMs     = 2000
	defaultKeepMs       = 30000
	defaultKeepTokens   = 4096
	defaultKeepStreams  = 1024
	defaultKeepRuns     = 16384
	defaultStageTimeout = 1000
)

// withDefaults fills in the zero fields.
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
	c.StageTimeoutMs = cmp.Or(c.StageTimeoutMs, defaultStageTimeout)
	return c
}

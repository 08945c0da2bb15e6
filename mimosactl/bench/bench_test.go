package bench

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/load"
	"mimosaarch.example/standin/engine"
	standins "mimosaarch.example/standin/fleet"
)

func TestBoundCountsEnginesAndLinks(t *testing.T) {
	cfg := standins.Config{Layers: 2, Engines: []standins.EngineSpec{
		{Engine: engine.Config{ID: "head-0", First: 0, Last: 0, Rate: 100, Links: []engine.Link{{To: "tail-0", Rate: 30}}}},
		{Engine: engine.Config{ID: "head-1", First: 0, Last: 0, Rate: 50, Links: []engine.Link{{To: "tail-1"}}}},
		{Engine: engine.Config{ID: "tail-0", First: 1, Last: 1, Rate: 200}},
		{Engine: engine.Config{ID: "tail-1", First: 1, Last: 1, Rate: 40}},
	}}
	if got := Bound(cfg); got != 70 {
		t.Errorf("bound %v, want 30 over the slow link and 40 through the slow tail", got)
	}
}

func TestRunAnswersEveryRequest(t *testing.T) {
	var last load.Progress
	r, err := Run(context.Background(), Options{
		Nodes:        3,
		Strategy:     fleet.StrategyFlow,
		LoadFraction: 0.2,
		Duration:     600 * time.Millisecond,
		Warmup:       100 * time.Millisecond,
		Scale:        1,
		Mix: load.Mix{
			PlainShare:  0.3,
			WriteShare:  0.5,
			KeyedShare:  0.5,
			PromptWords: load.Sizes{Min: 4, Max: 80},
			MaxTokens:   load.Sizes{Min: 2, Max: 6},
		},
		Seed:       1,
		Log:        zerolog.Nop(),
		OnProgress: func(p load.Progress) { last = p },
	})
	if err != nil {
		t.Fatal(err)
	}
	if r.Report.Sent == 0 || r.Report.Outcomes[outcome.Complete] != r.Report.Sent {
		t.Errorf("outcomes are %v of %d, reasons %v", r.Report.Outcomes, r.Report.Sent, r.Report.Reasons)
	}
	if r.Report.Wrong != 0 || r.Report.NotSent != 0 {
		t.Errorf("%d wrong answers, %d not sent", r.Report.Wrong, r.Report.NotSent)
	}
	if last.Complete != int64(r.Report.Sent) || last.InFlight != 0 {
		t.Errorf("the last progress is %+v", last)
	}
}

func TestInvalidOptions(t *testing.T) {
	good := Options{Nodes: 1, LoadFraction: 1, Scale: 1, Duration: time.Second}
	for option, change := range map[string]func(*Options){
		"nodes":  func(o *Options) { o.Nodes = 0 },
		"load":   func(o *Options) { o.LoadFraction = 0 },
		"scale":  func(o *Options) { o.Scale = 0 },
		"warmup": func(o *Options) { o.Warmup = time.Second },
	} {
		bad := good
		change(&bad)
		_, err := Run(context.Background(), bad)
		if optionErr, ok := errors.AsType[*OptionError](err); !ok || optionErr.Option != option {
			t.Errorf("%s: error is %v", option, err)
		}
	}
}

package bench

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/load"
	"mimosaarch.example/loadgen/report"
	standins "mimosaarch.example/standin/fleet"
)

// runWithFailure runs a short bench with an injected failure and checks that no
// answer is wrong and that the recovery is measured.
func runWithFailure(t *testing.T, fail FailureKind) Result {
	t.Helper()
	r, err := Run(context.Background(), Options{
		Nodes:        3,
		Strategy:     fleet.StrategyFlow,
		LoadFraction: 0.2,
		Duration:     1500 * time.Millisecond,
		Scale:        1,
		Mix:          load.Mix{KeyedShare: 0.5, PromptWords: load.Sizes{Min: 4, Max: 80}, MaxTokens: load.Sizes{Min: 2, Max: 12}},
		Seed:         1,
		MaxRetries:   3,
		Failure:      fail,
		FailAfter:    500 * time.Millisecond,
		Log:          zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if r.Report.Wrong != 0 || r.Report.NotSent != 0 || r.Report.Sent == 0 {
		t.Errorf("%d wrong answers, %d not sent of %d", r.Report.Wrong, r.Report.NotSent, r.Report.Sent)
	}
	recovery := r.Report.Recovery
	if recovery == nil || recovery.FailureSeconds < 0.5 || recovery.TargetRate <= 0 {
		t.Fatalf("recovery is %+v", recovery)
	}
	if recovery.Recovered && recovery.RecoverySeconds < 0.5 {
		t.Errorf("recovery time %v is less than its window", recovery.RecoverySeconds)
	}
	if r.Failure == nil || r.Failure.Name == "" || len(r.Failure.LongestStalls) == 0 {
		t.Errorf("failure is %+v", r.Failure)
	}
	return r
}

func TestEngineFails(t *testing.T) {
	r := runWithFailure(t, FailEngine)
	if r.Failure.RemainingBoundStepsPerSec <= 0 || r.Failure.RemainingBoundStepsPerSec >= r.BoundStepsPerSec {
		t.Errorf("remaining bound %v of %v", r.Failure.RemainingBoundStepsPerSec, r.BoundStepsPerSec)
	}
}

func TestNodeFails(t *testing.T) {
	r := runWithFailure(t, FailNode)
	if r.Failure.Resends == 0 {
		t.Error("no request was resent to another node")
	}
	complete := r.Report.Outcomes[outcome.Complete]
	if complete+r.Report.Recovery.NotComplete != r.Report.Sent {
		t.Errorf("outcomes are %v of %d, %+v", r.Report.Outcomes, r.Report.Sent, r.Report.Recovery)
	}
}

func TestDrainCutsOffNoRequests(t *testing.T) {
	r := runWithFailure(t, FailDrain)
	if r.Failure.StopError != "" || r.Report.Outcomes[outcome.Complete] != r.Report.Sent {
		t.Errorf("outcomes are %v of %d, reasons %v, stop %q", r.Report.Outcomes, r.Report.Sent, r.Report.Reasons, r.Failure.StopError)
	}
}

func TestEngineFailureKillsTheEngine(t *testing.T) {
	f := &fixture{
		options: Options{Nodes: 1, Strategy: fleet.StrategyFlow, Failure: FailEngine, Log: zerolog.Nop()},
		config:  standins.Small(),
	}
	defer f.close()
	if err := f.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	x, err := f.newFailureInjector(report.New(report.Options{Start: time.Now()}), 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer x.close()
	address := f.standins.Engine(x.result.Name).Addr()
	x.injectFailure()
	if conn, err := net.Dial("tcp4", address); err == nil {
		_ = conn.Close()
		t.Errorf("%s still listens", x.result.Name)
	}
}

func TestRemoveMiddleEngine(t *testing.T) {
	cfg := standins.Small()
	name, rest := removeMiddleEngine(cfg)
	if name != "mid-szeged-a-0" || len(rest.Engines) != len(cfg.Engines)-1 || Bound(rest) >= Bound(cfg) {
		t.Errorf("removed %s, bound %v of %v", name, Bound(rest), Bound(cfg))
	}
}

func TestInvalidFailureOptions(t *testing.T) {
	good := Options{Nodes: 2, LoadFraction: 1, Scale: 1, Duration: time.Second, Failure: FailNode, FailAfter: time.Millisecond}
	for option, change := range map[string]func(*Options){
		"fail":    func(o *Options) { o.Failure = "meteor" },
		"fail at": func(o *Options) { o.FailAfter = time.Second },
		"nodes":   func(o *Options) { o.Nodes = 1 },
	} {
		bad := good
		change(&bad)
		_, err := Run(context.Background(), bad)
		if optionErr, ok := errors.AsType[*OptionError](err); !ok || optionErr.Option != option {
			t.Errorf("%s: error is %v", option, err)
		}
	}
}

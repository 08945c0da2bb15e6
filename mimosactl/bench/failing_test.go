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

// failingRun runs a short bench with a failure.
func failingRun(t *testing.T, fail Failure) Result {
	t.Helper()
	r, err := Run(context.Background(), Options{
		Nodes:    3,
		Strategy: fleet.StrategyFlow,
		Load:     0.2,
		For:      1500 * time.Millisecond,
		Scale:    1,
		Mix:      load.Mix{KeyedShare: 0.5, PromptWords: load.Sizes{Min: 4, Max: 80}, MaxTokens: load.Sizes{Min: 2, Max: 12}},
		Seed:     1,
		Returns:  3,
		Fail:     fail,
		FailAt:   500 * time.Millisecond,
		Log:      zerolog.Nop(),
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
	if r.Failed == nil || r.Failed.Name == "" || len(r.Failed.HeldUp) == 0 {
		t.Errorf("failed is %+v", r.Failed)
	}
	return r
}

func TestEngineFails(t *testing.T) {
	r := failingRun(t, FailEngine)
	if r.Failed.BoundSteps <= 0 || r.Failed.BoundSteps >= r.BoundSteps {
		t.Errorf("the rest allows %v of %v", r.Failed.BoundSteps, r.BoundSteps)
	}
}

func TestNodeFails(t *testing.T) {
	r := failingRun(t, FailNode)
	if r.Failed.Repeats == 0 {
		t.Error("no request went on to another node")
	}
	complete := r.Report.Outcomes[outcome.Complete]
	if complete+r.Report.Recovery.NotComplete != r.Report.Sent {
		t.Errorf("outcomes are %v of %d, %+v", r.Report.Outcomes, r.Report.Sent, r.Report.Recovery)
	}
}

func TestPlannedStopCutsNothingOff(t *testing.T) {
	r := failingRun(t, FailDrain)
	if r.Failed.StopError != "" || r.Report.Outcomes[outcome.Complete] != r.Report.Sent {
		t.Errorf("outcomes are %v of %d, reasons %v, stop %q", r.Report.Outcomes, r.Report.Sent, r.Report.Reasons, r.Failed.StopError)
	}
}

func TestFailKillsTheEngine(t *testing.T) {
	f := &fixture{
		options: Options{Nodes: 1, Strategy: fleet.StrategyFlow, Fail: FailEngine, Log: zerolog.Nop()},
		config:  standins.Small(),
	}
	defer f.close()
	if err := f.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	x, err := f.newFailing(report.New(report.Options{Start: time.Now()}), 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer x.close()
	address := f.standins.Engine(x.result.Name).Addr()
	x.fail()
	if conn, err := net.Dial("tcp4", address); err == nil {
		_ = conn.Close()
		t.Errorf("%s still listens", x.result.Name)
	}
}

func TestMiddleEngine(t *testing.T) {
	cfg := standins.Small()
	name, rest := withoutMiddle(cfg)
	if name != "mid-szeged-a-0" || len(rest.Engines) != len(cfg.Engines)-1 || Bound(rest) >= Bound(cfg) {
		t.Errorf("%s is left out, bound %v of %v", name, Bound(rest), Bound(cfg))
	}
}

func TestBadFailures(t *testing.T) {
	good := Options{Nodes: 2, Load: 1, Scale: 1, For: time.Second, Fail: FailNode, FailAt: time.Millisecond}
	for option, change := range map[string]func(*Options){
		"fail":    func(o *Options) { o.Fail = "meteor" },
		"fail at": func(o *Options) { o.FailAt = time.Second },
		"nodes":   func(o *Options) { o.Nodes = 1 },
	} {
		bad := good
		change(&bad)
		_, err := Run(context.Background(), bad)
		if setting, ok := errors.AsType[*SettingError](err); !ok || setting.Option != option {
			t.Errorf("%s: error is %v", option, err)
		}
	}
}

package engine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/engineapi"
)

func TestPacerKeepsItsRate(t *testing.T) {
	p := newPacer(200)
	start := time.Unix(100, 0)
	var end time.Time
	for range 1000 {
		end = p.reserve(start)
	}
	if got := end.Sub(start); got != 5*time.Second {
		t.Errorf("1000 slots at 200 a second took %v", got)
	}
	later := start.Add(time.Minute)
	if got := p.reserve(later).Sub(later); got != 5*time.Millisecond {
		t.Errorf("a slot after idle time took %v", got)
	}
	p.setFactor(0.5)
	next := later.Add(time.Minute)
	if got := p.reserve(next).Sub(next); got != 10*time.Millisecond {
		t.Errorf("a slot at half speed took %v", got)
	}
}

func TestLinkAddsLatencyAndRate(t *testing.T) {
	l := newLinks([]Link{{To: "b", LatencyUs: 300, Rate: 1000}})["b"]
	start := time.Unix(100, 0)
	for i, want := range []time.Duration{1300, 2300} {
		if got, ok := l.reserve(start); !ok || got.Sub(start) != want*time.Microsecond {
			t.Errorf("step %d arrives after %v, %v", i, got.Sub(start), ok)
		}
	}
	l.apply(LinkChange{LatencyMs: 20, Rate: 100})
	want := engineapi.Link{To: "b", LatencyUs: 20000, TokensPerSecond: 100}
	if got := l.report("b"); got != want {
		t.Errorf("report %+v, want %+v", got, want)
	}
}

func TestStepsForOthersAreRefused(t *testing.T) {
	e := startEngine(t, Config{ID: "e", Last: 3})
	for _, call := range []stepCall{{Engine: "other", Last: 3}, {Engine: "e", Last: 2}} {
		if _, err := e.step(call, time.Unix(100, 0)); err == nil || err.Code != engineapi.CodeBadChain || err.Engine != "e" {
			t.Errorf("%+v: error %v", call, err)
		}
	}
}

func TestLoadReportLags(t *testing.T) {
	running := 1
	s := newSampler(func(time.Time) engineapi.LoadReport { return engineapi.LoadReport{Running: running} }, time.Second)
	at := time.Unix(100, 0)
	s.sample(at)
	running = 2
	if got := s.get(at.Add(700 * time.Millisecond)); got.Running != 1 || got.AgeMs != 700 {
		t.Errorf("report %+v, want the sample taken 700 ms before", got)
	}
	s.sample(at.Add(time.Second))
	if got := s.get(at.Add(time.Second)); got.Running != 2 || got.AgeMs != 0 {
		t.Errorf("report %+v, want the new sample", got)
	}
}

func TestLoadReportCountsHeadAndStageWork(t *testing.T) {
	yes := true
	engines, chain := startChain(t, Config{Rate: 1e5, LagMs: -1})
	control(t, engines[0], Control{Corrupt: &Corrupt{Kind: StallStream, Count: 1, At: 2}, Leaving: nil})
	s := chat(t, engines[0], newChatRequest("r", 9, chain))
	for len(s.tokens) < 2 && s.next() {
	}
	control(t, engines[0], Control{Leaving: &yes})
	if got := engines[0].report(time.Now()); got.Running != 1 || !got.Leaving || got.Slots != defaultSlots {
		t.Errorf("head reports %+v", got)
	}
	if got := engines[1].runs.countRunning(time.Now()); got != 1 {
		t.Errorf("mid runs %d requests, want 1", got)
	}
	if got := engines[1].runs.countRunning(time.Now().Add(2 * stageIdleTimeout)); got != 0 {
		t.Errorf("mid runs %d requests after idle time, want 0", got)
	}
}

func TestAbandonedRunIsCancelledAfterLinger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newRun(&engineapi.ChatRequest{Request: "r"}, Config{LingerMs: 2000, KeepTokens: 9}, newRecorder(9, 1), cancel)
		_ = r.newReader(-1, nil).Close()
		time.Sleep(1900 * time.Millisecond)
		_ = r.newReader(-1, nil).Close()
		time.Sleep(1900 * time.Millisecond)
		reader := r.newReader(-1, nil)
		time.Sleep(time.Minute)
		if ctx.Err() != nil {
			t.Fatal("cancelled although a caller reconnected")
		}
		_ = reader.Close()
		time.Sleep(2100 * time.Millisecond)
		if ctx.Err() == nil {
			t.Fatal("not cancelled after its linger time")
		}
	})
}

func TestKeptTokensAreBounded(t *testing.T) {
	r := newRun(&engineapi.ChatRequest{Request: "r"}, Config{KeepTokens: 3}, newRecorder(9, 1), func() {})
	slow := r.newReader(-1, nil)
	for i := range 5 {
		r.emit(tokenEvent(engineapi.Token{Index: i}))
	}
	if r.covers(0) || !r.covers(1) {
		t.Error("want tokens 2 to 4 kept")
	}
	var cut *CutError
	if _, err := slow.Read(make([]byte, 1)); !errors.As(err, &cut) {
		t.Errorf("a reader that fell behind got %v, want its connection cut", err)
	}
}

func TestStreamsAreForgotten(t *testing.T) {
	g := newRegistry(Config{Slots: 9, KeepStreams: 2, KeepMs: 60000, KeepRuns: 9, KeepTokens: 1}, newRecorder(9, 1))
	for _, name := range []string{"a", "b", "c"} {
		r, _ := g.start(&engineapi.ChatRequest{Request: name}, func() {})
		g.release(r)
	}
	if g.get("a") != nil || g.get("c") == nil {
		t.Error("want only the two newest ended streams kept")
	}
	g.sweep(time.Now().Add(2 * time.Minute))
	if g.get("c") != nil {
		t.Error("stream kept beyond its time")
	}
}

// indices returns the token indices of events.
func indices(events []event) []int {
	out := []int{}
	for _, ev := range events {
		out = append(out, ev.token.Index)
	}
	return out
}

func TestCorruption(t *testing.T) {
	steps := []engineapi.Step{{Engine: "a", First: 0, Last: 1}, {Engine: "b", First: 2, Last: 3}}
	tests := []struct {
		kind    CorruptKind
		indices []int
		layers  int
	}{
		{SkipLayer, []int{0, 1, 2, 3}, 3},
		{RepeatLayer, []int{0, 1, 2, 3}, 6},
		{SkipToken, []int{0, 1, 3}, 4},
		{RepeatToken, []int{0, 1, 2, 2, 3}, 4},
		{Reorder, []int{0, 1, 3, 2}, 4},
		{Nonsense, []int{0, 1, 2, 3}, 4},
	}
	for _, tt := range tests {
		t.Run(string(tt.kind), func(t *testing.T) {
			f := newFaults()
			f.set(Control{Corrupt: &Corrupt{Kind: tt.kind, Count: 1, At: 2}})
			c := f.nextCorruption(4)
			var events []event
			worst, readable := 4, 0
			for i := range 4 {
				events = append(events, c.apply(engineapi.Token{Index: i, Steps: steps}, i)...)
			}
			for _, ev := range events {
				if n, exact := countLayers(ev.token.Steps, 4); !exact {
					worst = n
				}
				if string(ev.data) == string(tokenEvent(ev.token).data) {
					readable++
				}
			}
			if diff := cmp.Diff(tt.indices, indices(events)); diff != "" {
				t.Error(diff)
			}
			if worst != tt.layers {
				t.Errorf("%d layers cited, want %d", worst, tt.layers)
			}
			if want := len(events); (readable != want) != (tt.kind == Nonsense) {
				t.Errorf("%d of %d events readable", readable, want)
			}
			if f.nextCorruption(4) != nil {
				t.Error("a second stream is corrupted")
			}
		})
	}
}

package load

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/client"
)

// startNode serves a handler in place of a node and returns its address.
func startNode(t *testing.T, handle fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = fasthttp.Serve(listener, handle) }()
	return listener.Addr().String()
}

// streamTokens returns a handler that streams tokens, and the end marker if
// complete.
func streamTokens(complete bool, tokens ...string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			for _, token := range tokens {
				_, _ = w.WriteString(`data: {"choices":[{"delta":{"content":"` + token + `"}}]}` + "\n\n")
			}
			if complete {
				_, _ = w.WriteString("data: [DONE]\n\n")
			}
		})
	}
}

// refuse answers that the request was not run and may be retried after 1 ms.
func refuse(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	ctx.SetBodyString(`{"error":{"outcome":"not_run","reason":"queue_full","retry_after_ms":1}}`)
}

// recorder keeps the samples that it observes.
type recorder struct {
	mu      sync.Mutex
	samples []Sample
	// observed receives a value for each sample; nil sends none.
	observed chan struct{}
}

// Observe implements Observer.
func (r *recorder) Observe(s *Sample) {
	r.mu.Lock()
	r.samples = append(r.samples, *s)
	r.mu.Unlock()
	if r.observed != nil {
		r.observed <- struct{}{}
	}
}

// fixedText is a Checker that expects the same text of every model request.
type fixedText string

// Chat implements Checker.
func (f fixedText) Chat(_ []engineapi.Message, _ int, text string, complete bool) bool {
	if complete {
		return text == string(f)
	}
	return strings.HasPrefix(string(f), text)
}

// Plain implements Checker.
func (f fixedText) Plain(client.PlainCall, int, []byte) bool { return true }

// sendOne sends one model request, with retries, to a node that answers with
// handle. It returns the request's sample.
func sendOne(t *testing.T, maxRetries int, handle fasthttp.RequestHandler) Sample {
	t.Helper()
	seen := &recorder{}
	run, err := New(Settings{
		Nodes:      []string{startNode(t, handle)},
		Mix:        Mix{Model: "drafts", MaxTokens: Sizes{Min: 2, Max: 2}},
		Schedule:   Schedule{Rate: 1, Duration: time.Second},
		Timeout:    5 * time.Second,
		MaxRetries: maxRetries,
		Checker:    fixedText("a b "),
		Observer:   seen,
	})
	if err != nil {
		t.Fatal(err)
	}
	run.send(context.Background(), newSource(run.settings.Mix, 1).next(), time.Now())
	if len(seen.samples) != 1 {
		t.Fatalf("%d samples of one request", len(seen.samples))
	}
	return seen.samples[0]
}

func TestAnswersAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		handle   fasthttp.RequestHandler
		outcome  outcome.Outcome
		reason   outcome.Reason
		wrong    bool
		complete bool
	}{
		"whole":              {streamTokens(true, "a ", "b "), outcome.Complete, "", false, true},
		"wrong text":         {streamTokens(true, "a ", "x "), outcome.Complete, "", true, false},
		"cut, said complete": {streamTokens(true, "a "), outcome.Complete, "", true, false},
		"cut":                {streamTokens(false, "a "), outcome.Unknown, CutOff, false, false},
		"cut and wrong":      {streamTokens(false, "x "), outcome.Unknown, CutOff, true, false},
		"refused":            {refuse, outcome.NotRun, outcome.QueueFull, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := sendOne(t, 0, c.handle)
			if s.Outcome != c.outcome || s.Reason != c.reason || s.Wrong != c.wrong || s.Complete() != c.complete {
				t.Errorf("outcome %q, reason %q, wrong %v, complete %v; want %+v", s.Outcome, s.Reason, s.Wrong, s.Complete(), c)
			}
		})
	}
}

func TestRefusedRequestIsRetried(t *testing.T) {
	var calls int
	var mu sync.Mutex
	refuseTwice := func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		defer mu.Unlock()
		calls++
		if calls <= 2 {
			refuse(ctx)
			return
		}
		streamTokens(true, "a ", "b ")(ctx)
	}
	if s := sendOne(t, 5, refuseTwice); !s.Complete() || s.Retries != 2 || len(s.Tokens) != 2 {
		t.Errorf("sample is %+v, want complete after 2 retries", s)
	}
	if s := sendOne(t, 1, refuse); s.Outcome != outcome.NotRun || s.Retries != 1 {
		t.Errorf("sample is %+v, want not run after 1 retry", s)
	}
}

func TestOpenLoopGoesOnWhenNodesHang(t *testing.T) {
	release := make(chan struct{})
	hang := func(ctx *fasthttp.RequestCtx) {
		<-release
		streamTokens(true, "a ", "b ")(ctx)
	}
	seen := &recorder{observed: make(chan struct{}, 1000)}
	run, err := New(Settings{
		Nodes:       []string{startNode(t, hang)},
		Mix:         Mix{Model: "drafts"},
		Schedule:    Schedule{Rate: 1000, Duration: 100 * time.Millisecond},
		Seed:        1,
		MaxInFlight: 3,
		Observer:    seen,
	})
	if err != nil {
		t.Fatal(err)
	}
	due := len(allArrivals(run.settings.Schedule, 1))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run.Do(context.Background())
	}()
	for range due - 3 {
		<-seen.observed
	}
	if p := run.Progress(); p.NotSent != int64(due-3) || p.InFlight != 3 {
		t.Errorf("progress is %+v, want 3 in flight and %d not sent", p, due-3)
	}
	close(release)
	<-ended
	if p := run.Progress(); p.Complete != 3 || p.InFlight != 0 {
		t.Errorf("progress is %+v, want 3 complete", p)
	}
}

func TestClosedLoopKeepsItsCallers(t *testing.T) {
	const callers = 4
	var mu sync.Mutex
	inFlight, most, calls := 0, 0, 0
	full := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	countAndRefuse := func(c *fasthttp.RequestCtx) {
		mu.Lock()
		inFlight++
		calls++
		most = max(most, inFlight)
		if calls == callers {
			close(full)
		}
		if calls == 100 {
			cancel()
		}
		mu.Unlock()
		<-full
		refuse(c)
		mu.Lock()
		inFlight--
		mu.Unlock()
	}
	seen := &recorder{}
	run, err := New(Settings{
		Nodes:    []string{startNode(t, countAndRefuse)},
		Mix:      Mix{Model: "drafts"},
		Schedule: Schedule{Duration: time.Hour},
		Callers:  callers,
		Observer: seen,
	})
	if err != nil {
		t.Fatal(err)
	}
	run.Do(ctx)
	mu.Lock()
	defer mu.Unlock()
	if most != callers {
		t.Errorf("%d requests at once, want %d", most, callers)
	}
	// Requests that the cancellation of ctx cut off may not have reached the
	// node.
	sent := len(seen.samples)
	if p := run.Progress(); p.InFlight != 0 || p.Sent != int64(sent) || sent < calls || sent >= calls+callers {
		t.Errorf("%d samples of %d calls, progress %+v", sent, calls, p)
	}
}

func TestBadSettings(t *testing.T) {
	good := Settings{Nodes: []string{"127.0.0.1:1"}, Schedule: Schedule{Rate: 1, Duration: 1}, Observer: &recorder{}}
	for name, change := range map[string]func(*Settings){
		"nodes":    func(s *Settings) { s.Nodes = nil },
		"for":      func(s *Settings) { s.Schedule.Duration = 0 },
		"rate":     func(s *Settings) { s.Schedule.Rate = 0 },
		"observer": func(s *Settings) { s.Observer = nil },
	} {
		bad := good
		change(&bad)
		_, err := New(bad)
		if setting, ok := errors.AsType[*SettingError](err); !ok || setting.Setting != name {
			t.Errorf("%s: error is %v", name, err)
		}
	}
}

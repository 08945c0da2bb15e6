package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/routing"
)

// names are headers of a protocol that no deployment has.
var names = Headers{
	RequestID: "Q-Id", DeadlineMs: "Q-Left", Key: "Q-Key", Account: "Q-Account", ExpectUpstream: "Q-Expect",
	NotRun: "Q-Not-Run", FaultyStage: "Q-Fault", Stages: "Q-Stages", Priority: "Q-Rank", TokenCounts: "Q-Tokens",
	LengthHint: "Q-Hint", LastEventID: "Q-Last", Load: "Q-Load",
}

// patience bounds waits for conditions.
const patience = 10 * time.Second

// script answers one request on an upstream's connection; it reports whether
// the connection goes on.
type script func(conn net.Conn, req *fasthttp.Request) bool

// fake is an upstream.
type fake struct {
	directory.Upstream
	listener net.Listener
	mu       sync.Mutex
	seen     []*fasthttp.Request
	conns    int
	// gone is sent to when a caller's connection ends under a script.
	gone chan struct{}
}

// newFake starts an upstream of a service.
func newFake(t *testing.T, id, service string, answer script) *fake {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{listener: l, gone: make(chan struct{}, 16)}
	f.Upstream = directory.Upstream{ID: ids.Life{Upstream: ids.Upstream(id)}, Service: ids.Service(service), Address: l.Addr().String(), Zone: "z", Slots: 4, Revision: 1}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns++
			f.mu.Unlock()
			go f.serve(conn, answer)
		}
	}()
	return f
}

func (f *fake) serve(conn net.Conn, answer script) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req := &fasthttp.Request{}
		if req.Read(r) != nil {
			return
		}
		f.mu.Lock()
		f.seen = append(f.seen, req)
		f.mu.Unlock()
		if !answer(conn, req) {
			return
		}
	}
}

// requests gives what arrived.
func (f *fake) requests() []*fasthttp.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*fasthttp.Request(nil), f.seen...)
}

// reply writes a whole answer to a request.
func reply(conn net.Conn, req *fasthttp.Request, status int, body string, headers ...string) bool {
	out := fmt.Sprintf("HTTP/1.1 %d X\r\nQ-Id: %s\r\nQ-Seal: seal-%s\r\nContent-Length: %d\r\n", status, req.Header.Peek("Q-Id"), body, len(body))
	for _, h := range headers {
		out += h + "\r\n"
	}
	_, err := conn.Write([]byte(out + "\r\n" + body))
	return err == nil
}

// ok answers with a body.
func ok(body string) script {
	return func(conn net.Conn, req *fasthttp.Request) bool { return reply(conn, req, 200, body) }
}

// eventsFrom streams events from one id to another, whole or not.
func eventsFrom(conn net.Conn, req *fasthttp.Request, from, to int, whole bool) bool {
	out := fmt.Sprintf("HTTP/1.1 200 OK\r\nQ-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Peek("Q-Id"))
	for id := from; id <= to; id++ {
		event := fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
		out += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	if whole {
		out += "0\r\n\r\n"
	}
	_, err := conn.Write([]byte(out))
	return err == nil && whole
}

// after gives the id after the last event that a request names, 1 for none.
func after(req *fasthttp.Request) int {
	last := 0
	if _, err := fmt.Sscan(string(req.Header.Peek("Q-Last")), &last); err != nil {
		return 1
	}
	return last + 1
}

// calls are the engines' own calls.
type calls struct {
	mu   sync.Mutex
	dead map[ids.Life]bool
	// born are the starts that upstreams report.
	born map[ids.Upstream]int64
	// stalled are the stages that first stages name for their requests.
	stalled  map[ids.Life]map[ids.Request]string
	refused  map[ids.Life]bool
	rerouted []string
	refuse   error
	onRoute  func()
}

// Probe implements Engines.
func (c *calls) Probe(_ context.Context, u *directory.Upstream) (layered.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused[u.ID] {
		return layered.Report{}, &upconn.DialError{Refused: true, Cause: syscall.ECONNREFUSED}
	}
	if c.dead[u.ID] {
		return layered.Report{}, &CallerGoneError{Cause: context.DeadlineExceeded}
	}
	return layered.Report{Born: c.born[u.ID.Upstream], Pace: 1, KVTotal: 100, Stalled: c.stalled[u.ID]}, nil
}

// Reroute implements Engines.
func (c *calls) Reroute(_ context.Context, request string, path chain.Chain) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rerouted = append(c.rerouted, request+" "+path.String())
	if c.refuse == nil && c.onRoute != nil {
		c.onRoute()
	}
	return c.refuse
}

// counts implement Metrics.
type counts struct {
	mu sync.Mutex
	n  map[string]int64
}

func (c *counts) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[name] += n
}

func (c *counts) ObserveDuration(string, time.Duration) {}

func (c *counts) Timer(string) func(time.Duration) { return func(time.Duration) {} }

func (c *counts) get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}

// rig is a Server before fakes.
type rig struct {
	*Server
	address string
	counts  *counts
	calls   *calls
	table   atomic.Pointer[routing.Table]
	mu      sync.Mutex
	dir     *directory.Directory
	told    []quarantine.Verdict
	known   chan struct{}
}

// note is told of verdicts.
func (r *rig) note(v quarantine.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, v)
}

// verdicts gives those told so far.
func (r *rig) verdicts() []quarantine.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.told)
}

// testModel has ten layers.
var testModel = &layered.Model{
	Layers: 10, LayerMB: 1, KVTokenBytes: 1, StepMs: 1, PrefillTokensPerMs: 100, StepsPerPass: 1, MeanPromptTokens: 10, MeanOutputTokens: 10,
	Cards: map[string]layered.Card{"card": {MemoryMB: 1000, StepFactor: 1, PrefillFactor: 1}},
}

// testConfig has a route of each kind.
func testConfig() routing.Config {
	split := func(s string) []routing.Split { return []routing.Split{{Service: ids.Service(s), Weight: 1}} }
	return routing.Config{
		Version: 7,
		Routes: []routing.Route{
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: routing.Idempotent, Splits: split("plain"), MaxAttempts: 2, Timeout: 2 * time.Second, LatencyObjective: time.Second},
			{Name: "unsafe", Host: "h", PathPrefix: "/unsafe/", Kind: routing.NonIdempotent, Splits: split("plain"), MaxAttempts: 1, Timeout: 2 * time.Second},
			{Name: "hurry", Host: "h", PathPrefix: "/hurry/", Kind: routing.NonIdempotent, Splits: split("plain"), MaxAttempts: 1, Timeout: 100 * time.Millisecond},
			{Name: "open", Host: "h", PathPrefix: "/open/", Kind: routing.Idempotent, Splits: split("plain"), AuthExempt: true, Timeout: time.Second},
			{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: routing.Streaming, Resumable: true, Splits: split("model"), MaxAttempts: 2, Timeout: 10 * time.Second, LatencyObjective: 250 * time.Millisecond, PauseObjective: 200 * time.Millisecond},
			{Name: "plainstream", Host: "h", PathPrefix: "/plainstream/", Kind: routing.Streaming, Splits: split("plain"), Timeout: 10 * time.Second},
			{Name: "once", Host: "h", PathPrefix: "/once/", Kind: routing.Streaming, Splits: split("model"), MaxAttempts: 2, Timeout: 10 * time.Second},
		},
		Services: []routing.Service{{Name: "plain"}, {Name: "model", Model: testModel}},
		Accounts: []routing.Account{{Name: "acme", Keys: []string{"key"}}},
	}
}

// newRig starts a Server before fakes.
func newRig(t *testing.T, fakes ...*fake) *rig {
	t.Helper()
	r := newStartingRig(t, fakes...)
	close(r.known)
	return r
}

// newStartingRig is newRig for a node that does not know the fakes yet.
func newStartingRig(t *testing.T, fakes ...*fake) *rig {
	t.Helper()
	table, err := routing.Build(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{counts: &counts{n: make(map[string]int64)}, calls: &calls{dead: make(map[ids.Life]bool), refused: make(map[ids.Life]bool)}, dir: directory.New(), known: make(chan struct{})}
	r.table.Store(table)
	for _, f := range fakes {
		r.dir.Put(f.Upstream)
	}
	r.Server = New(Options{
		Headers: names, Zone: "z", Engines: r.calls, Now: boottime.Now, Log: zerolog.Nop(), Metrics: r.counts, Seed: 1, OnVerdict: r.note, Ready: r.known,
		Budget: Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		Table:  r.table.Load,
		View: func() *directory.View {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.dir.View()
		},
		OnRestart: func(life ids.Life) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.dir.Restarted(life)
		},
	})
	r.SetNodes(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
	})
	go func() { _ = r.Serve(ctx, l) }()
	return r
}

// caller is a connection of a caller.
type caller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

// dial connects a caller.
func (r *rig) dial(t *testing.T) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return &caller{t: t, conn: conn, r: bufio.NewReader(conn)}
}

// send writes a request.
func (c *caller) send(method, path, id, body string, headers ...string) {
	c.t.Helper()
	out := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nQ-Id: %s\r\nQ-Key: key\r\nQ-Left: 5000\r\n", method, path, id)
	for _, h := range headers {
		out += h + "\r\n"
	}
	if method != "GET" {
		out += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.conn.Write([]byte(out + "\r\n" + body)); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads an answer; whole tells whether its body ended as it should.
func (c *caller) answer() (resp *fasthttp.Response, whole bool) {
	c.t.Helper()
	resp = &fasthttp.Response{}
	err := resp.Read(c.r)
	return resp, err == nil
}

// ask sends a request on a connection of its own and reads the answer.
func (r *rig) ask(t *testing.T, method, path, id, body string, headers ...string) (*fasthttp.Response, bool) {
	t.Helper()
	c := r.dial(t)
	c.send(method, path, id, body, headers...)
	return c.answer()
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

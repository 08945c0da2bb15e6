package plain

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/standin/internal/cmd"
	"mimosaarch.example/standin/internal/httpd"
)

// Paths of the service and of its control calls.
const (
	BookingsPath = "/bookings"
	SlotsPath    = "/slots"
	ControlPath  = "/control"
	RunsPath     = "/control/runs"
)

// NotStartedHeader, set to "true" on an answer, says that the call was refused
// before it started.
const NotStartedHeader = "Mimosa-Not-Started"

// maxBodies bounds the bodies told apart in Runs; further ones count together
// under OtherBodies.
const maxBodies = 1 << 16

// OtherBodies is the key of Runs for bodies beyond the bound.
const OtherBodies = "(others)"

// Receipt answers a booking.
type Receipt struct {
	Receipt  string `json:"receipt"`
	Upstream string `json:"upstream"`
	// Executions is how often this body has been executed, this time included.
	Executions int `json:"executions"`
}

// Slots answers a call for the timetable.
type Slots struct {
	Upstream string   `json:"upstream"`
	Slots    []string `json:"slots"`
}

// Echo answers a call of any other path.
type Echo struct {
	Upstream string `json:"upstream"`
	Method   string `json:"method"`
	Path     string `json:"path"`
}

// Runs tells what was executed: calls of each method and, for those with a
// body, how often each body.
type Runs struct {
	Methods    map[string]int `json:"methods"`
	Executions map[string]int `json:"executions"`
}

// Plain is one running stand-in. All methods may be called from any goroutine.
type Plain struct {
	id     string
	server *httpd.Server
	faults *faults

	mu       sync.Mutex
	methods  map[string]int
	bodies   map[string]int
	receipts int
}

// defaultID names the upstream when its settings don't.
const defaultID = "plain"

// Start starts a stand-in. The error tells that the address could not be
// listened on.
func Start(cfg Config) (*Plain, error) {
	server, err := httpd.Listen(cfg.Listen)
	if err != nil {
		return nil, err
	}
	p := &Plain{
		id:      cfg.ID,
		server:  server,
		faults:  newFaults(),
		methods: make(map[string]int),
		bodies:  make(map[string]int),
	}
	if p.id == "" {
		p.id = defaultID
	}
	server.Serve(p.handle)
	return p, nil
}

// Addr is the address listened on.
func (p *Plain) Addr() string { return p.server.Addr() }

// Close stops the stand-in and closes its connections.
func (p *Plain) Close() { p.server.Close() }

// Control changes how calls are answered; absent fields stay as they are.
func (p *Plain) Control(c Control) { p.faults.set(c) }

// Runs tells what was executed so far.
func (p *Plain) Runs() Runs {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Runs{Methods: clone(p.methods), Executions: clone(p.bodies)}
}

// clone copies a map of counts.
func clone(counts map[string]int) map[string]int {
	out := make(map[string]int, len(counts))
	for key, n := range counts {
		out[key] = n
	}
	return out
}

// handle answers one call.
func (p *Plain) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == ControlPath && ctx.IsPost():
		var c Control
		if httpd.ReadJSON(ctx, &c) {
			p.Control(c)
		}
	case path == RunsPath && ctx.IsGet():
		httpd.WriteJSON(ctx, fasthttp.StatusOK, p.Runs())
	default:
		p.serve(ctx, path)
	}
}

// serve carries out one call of the service under the faults in force.
func (p *Plain) serve(ctx *fasthttp.RequestCtx, path string) {
	fault := p.faults.next()
	if fault.slow > 0 && p.wait(time.After(fault.slow), nil) {
		httpd.Drop(ctx)
		return
	}
	switch fault.kind {
	case refuse:
		ctx.Response.Header.Set(NotStartedHeader, "true")
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case dropBefore:
		httpd.Drop(ctx)
		return
	case hang:
		p.wait(nil, fault.freed)
		httpd.Drop(ctx)
		return
	}
	p.execute(ctx, path)
	switch fault.kind {
	case dropAfter:
		ctx.Response.Reset()
		httpd.Drop(ctx)
	case hangAfter:
		p.wait(nil, fault.freed)
		ctx.Response.Reset()
		httpd.Drop(ctx)
	}
}

// wait returns when either channel (nil: never) is ready or the stand-in
// closes; ended tells that it closed.
func (p *Plain) wait(timer <-chan time.Time, freed <-chan struct{}) (ended bool) {
	select {
	case <-timer:
		return false
	case <-freed:
		return false
	case <-p.server.Done():
		return true
	}
}

// execute runs a call and counts it.
func (p *Plain) execute(ctx *fasthttp.RequestCtx, path string) {
	receipt, executions := p.count(string(ctx.Method()), string(ctx.PostBody()))
	switch {
	case path == BookingsPath && ctx.IsPost():
		httpd.WriteJSON(ctx, fasthttp.StatusCreated, Receipt{
			Receipt:    p.id + "-" + strconv.Itoa(receipt),
			Upstream:   p.id,
			Executions: executions,
		})
	case path == SlotsPath && ctx.IsGet():
		httpd.WriteJSON(ctx, fasthttp.StatusOK, Slots{Upstream: p.id, Slots: timetable})
	default:
		httpd.WriteJSON(ctx, fasthttp.StatusOK, Echo{Upstream: p.id, Method: string(ctx.Method()), Path: path})
	}
}

// timetable is the fixed list of slots.
var timetable = []string{"17:00", "17:10", "17:20", "17:30"}

// count records an execution and gives its number among all calls and among
// those with its body.
func (p *Plain) count(method, body string) (receipt, executions int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.methods[method]++
	p.receipts++
	if body == "" {
		return p.receipts, 0
	}
	if _, known := p.bodies[body]; !known && len(p.bodies) >= maxBodies {
		body = OtherBodies
	}
	p.bodies[body]++
	return p.receipts, p.bodies[body]
}

// Main runs a stand-in as a command until SIGTERM; args are those after the
// program's name.
func Main(args []string) int {
	var cfg Config
	start := func() (*Plain, error) { return Start(cfg) }
	files := func(s *Plain) []cmd.AddrFile {
		return []cmd.AddrFile{{Name: cfg.AddrFile, Addr: s.Addr()}}
	}
	return cmd.Main("plain", &cfg, args, start, files)
}

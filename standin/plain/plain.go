package plain

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/standin/internal/cmd"
	"mimosaarch.example/standin/internal/httpd"
)

// Paths of the service and of its control API.
const (
	BookingsPath = "/bookings"
	SlotsPath    = "/slots"
	ControlPath  = "/control"
	RunsPath     = "/control/runs"
)

// NotStartedHeader is a response header; "true" means that the call was refused before
// it started, so that it is safe to retry.
const NotStartedHeader = "Mimosa-Not-Started"

// maxBodies limits the request bodies that Runs counts separately; further ones are
// counted together under OtherBodies.
const maxBodies = 1 << 16

// OtherBodies is the key in Runs.Executions for all bodies beyond the limit.
const OtherBodies = "(others)"

// Receipt is the response to a booking. Receipt is "ID-n", where ID is that of the
// upstream and n counts its executed calls.
type Receipt struct {
	Receipt  string `json:"receipt"`
	Upstream string `json:"upstream"`
	// Executions is how often this body has been executed, including this call.
	Executions int `json:"executions"`
}

// Slots is the response to GET SlotsPath: the times that can be booked.
type Slots struct {
	Upstream string   `json:"upstream"`
	Slots    []string `json:"slots"`
}

// Echo is the response to a call of any other path.
type Echo struct {
	Upstream string `json:"upstream"`
	Method   string `json:"method"`
	Path     string `json:"path"`
}

// Runs counts the executed calls: in Methods by HTTP method and, for those with a
// body, in Executions by body.
type Runs struct {
	Methods    map[string]int `json:"methods"`
	Executions map[string]int `json:"executions"`
}

// Plain is a running stand-in for a plain upstream. It is safe for concurrent use.
type Plain struct {
	id     string
	server *httpd.Server
	faults *faults

	mu       sync.Mutex
	methods  map[string]int
	bodies   map[string]int
	receipts int
}

// defaultID is the ID of an upstream without one in its Config.
const defaultID = "plain"

// Start starts a stand-in. The error is an *httpd.ListenError.
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

// Addr returns the listen address, with its actual port.
func (p *Plain) Addr() string { return p.server.Addr() }

// Close stops the stand-in and closes its connections.
func (p *Plain) Close() { p.server.Close() }

// Control injects or removes faults; absent fields leave their fault unchanged.
func (p *Plain) Control(c Control) { p.faults.set(c) }

// Runs returns the counts of the calls executed so far.
func (p *Plain) Runs() Runs {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Runs{Methods: clone(p.methods), Executions: clone(p.bodies)}
}

// clone returns a copy of a map of counts, never nil.
func clone(counts map[string]int) map[string]int {
	out := make(map[string]int, len(counts))
	for key, n := range counts {
		out[key] = n
	}
	return out
}

// handle routes a call to the control API or to the service.
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

// serve serves one call of the service, subject to the injected faults.
func (p *Plain) serve(ctx *fasthttp.RequestCtx, path string) {
	fault := p.faults.next()
	if fault.delay > 0 && p.wait(time.After(fault.delay), nil) {
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

// wait blocks until timer or freed is ready, where nil never is, or until the stand-in
// closes. closed reports the latter.
func (p *Plain) wait(timer <-chan time.Time, freed <-chan struct{}) (closed bool) {
	select {
	case <-timer:
		return false
	case <-freed:
		return false
	case <-p.server.Done():
		return true
	}
}

// execute counts a call and answers it.
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

// timetable is the list of slots; bookings do not change it.
var timetable = []string{"17:00", "17:10", "17:20", "17:30"}

// count records an execution. It returns the number of calls executed so far, and of
// those with the same body; the latter is zero for an empty body.
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

// Main runs a stand-in as a command until SIGTERM or SIGINT and returns the exit code.
// args are the arguments after the program name.
func Main(args []string) int {
	var cfg Config
	start := func() (*Plain, error) { return Start(cfg) }
	files := func(s *Plain) []cmd.AddrFile {
		return []cmd.AddrFile{{Name: cfg.AddrFile, Addr: s.Addr()}}
	}
	return cmd.Main("plain", &cfg, args, start, files)
}

package platform

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/standin/internal/cmd"
	"mimosaarch.example/standin/internal/httpd"
)

// Platform is one running stand-in. All methods may be called from any
// goroutine.
type Platform struct {
	server *httpd.Server
	store  *store
	vms    *vmList
	faults *faults
	stats  counters
}

// Stats counts the calls carried out since the start.
type Stats struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Conflicts int64 `json:"conflicts"`
	// Dropped calls had no effect and no answer.
	Dropped int64 `json:"dropped"`
	// Lost calls had their effect and no answer.
	Lost int64 `json:"lost"`
}

// counters are the live figures of Stats.
type counters struct {
	reads, writes, watches, conflicts, dropped, lost atomic.Int64
}

// Start starts a stand-in. The error tells that the address could not be
// listened on.
func Start(cfg Config) (*Platform, error) {
	server, err := httpd.Listen(cfg.Listen)
	if err != nil {
		return nil, err
	}
	p := &Platform{server: server, store: newStore(), vms: &vmList{}, faults: newFaults()}
	p.vms.set(VMsControl{})
	server.Serve(p.handle)
	return p, nil
}

// Addr is the address listened on.
func (p *Platform) Addr() string { return p.server.Addr() }

// Close stops the stand-in and closes its connections; what it held is lost.
func (p *Platform) Close() { p.server.Close() }

// Control changes how calls are answered. An unknown mode is ignored and
// reported false.
func (p *Platform) Control(c Control) bool {
	if !c.valid() {
		return false
	}
	p.faults.set(c)
	return true
}

// SetVMs replaces the list of VMs; the slice must not be changed afterwards.
func (p *Platform) SetVMs(c VMsControl) { p.vms.set(c) }

// VMs gives the list of VMs in force.
func (p *Platform) VMs() platformapi.VMList { return p.vms.get() }

// Object gives an object, past any mode; false when there is none.
func (p *Platform) Object(key string) (platformapi.Object, bool) {
	object, res := p.store.get(key)
	return object, res == found
}

// Put writes an object without a condition, past any mode, and gives its
// version. The value must not be changed afterwards.
func (p *Platform) Put(key string, value []byte) int64 {
	object, _ := p.store.put(key, value, noCondition)
	return object.Version
}

// Stats gives the counts so far.
func (p *Platform) Stats() Stats {
	return Stats{
		Reads:     p.stats.reads.Load(),
		Writes:    p.stats.writes.Load(),
		Watches:   p.stats.watches.Load(),
		Conflicts: p.stats.conflicts.Load(),
		Dropped:   p.stats.dropped.Load(),
		Lost:      p.stats.lost.Load(),
	}
}

// handleControl answers one control call.
func (p *Platform) handleControl(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == ControlPath && ctx.IsPost():
		var c Control
		if !httpd.ReadJSON(ctx, &c) {
			return
		}
		if !p.Control(c) {
			httpd.WriteBadRequest(ctx, "mode: unknown")
		}
	case path == VMsControlPath && ctx.IsPut():
		var c VMsControl
		if httpd.ReadJSON(ctx, &c) {
			p.SetVMs(c)
		}
	case path == StatsPath && ctx.IsGet():
		httpd.WriteJSON(ctx, fasthttp.StatusOK, p.Stats())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// Main runs a stand-in as a command until SIGTERM; args are those after the
// program's name.
func Main(args []string) int {
	var cfg Config
	start := func() (*Platform, error) { return Start(cfg) }
	files := func(s *Platform) []cmd.AddrFile {
		return []cmd.AddrFile{{Name: cfg.AddrFile, Addr: s.Addr()}}
	}
	return cmd.Main("platform", &cfg, args, start, files)
}

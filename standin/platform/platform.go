package platform

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/standin/internal/cmd"
	"mimosaarch.example/standin/internal/httpd"
)

// Platform is a running stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	server *httpd.Server
	store  *store
	vms    *vmList
	faults *faults
	stats  counters
}

// Stats counts the calls since the start, without those to the control API. Conflicts
// counts the writes whose condition did not hold.
type Stats struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Conflicts int64 `json:"conflicts"`
	// Dropped counts the calls that were neither executed nor answered.
	Dropped int64 `json:"dropped"`
	// Lost counts the calls that were executed but not answered.
	Lost int64 `json:"lost"`
}

// counters holds the counts of Stats.
type counters struct {
	reads, writes, watches, conflicts, dropped, lost atomic.Int64
}

// Start starts a stand-in with an empty store and an empty list of VMs at revision 1.
// The error is an *httpd.ListenError.
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

// Addr returns the listen address, with its actual port.
func (p *Platform) Addr() string { return p.server.Addr() }

// Close stops the stand-in and closes its connections. Its objects are not persisted.
func (p *Platform) Close() { p.server.Close() }

// Control sets the mode. It returns false and changes nothing if the mode is unknown.
func (p *Platform) Control(c Control) bool {
	if !c.valid() {
		return false
	}
	p.faults.set(c)
	return true
}

// SetVMs replaces the published list of VMs after the lag of c. The caller must not
// modify c.VMs afterwards.
func (p *Platform) SetVMs(c VMsControl) { p.vms.set(c) }

// VMs returns the published list of VMs.
func (p *Platform) VMs() platformapi.VMList { return p.vms.get() }

// Object returns an object regardless of the mode, and false if it does not exist.
func (p *Platform) Object(key string) (platformapi.Object, bool) {
	object, res := p.store.get(key)
	return object, res == succeeded
}

// Put writes an object unconditionally, regardless of the mode, and returns its
// version. The caller must not modify value afterwards.
func (p *Platform) Put(key string, value []byte) int64 {
	object, _ := p.store.put(key, value, noCondition)
	return object.Version
}

// Stats returns the current counts.
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

// handleControl serves the control API; path begins with ControlPath.
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

// Main runs a stand-in as a command until SIGTERM or SIGINT and returns the exit code.
// args are the arguments after the program name.
func Main(args []string) int {
	var cfg Config
	start := func() (*Platform, error) { return Start(cfg) }
	files := func(s *Platform) []cmd.AddrFile {
		return []cmd.AddrFile{{Name: cfg.AddrFile, Addr: s.Addr()}}
	}
	return cmd.Main("platform", &cfg, args, start, files)
}

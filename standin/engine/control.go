package engine

import (
	"github.com/valyala/fasthttp"

	"mimosaarch.example/standin/internal/httpd"
)

// Paths of the control API.
const (
	ControlPath = "/control"
	RunsPath    = "/control/runs"
	OrdersPath  = "/control/orders"
)

// Runs is the reply to GET RunsPath. Runs holds one record per request, oldest first.
type Runs struct {
	Engine string `json:"engine"`
	Epoch  string `json:"epoch"`
	Runs   []Run  `json:"runs"`
}

// Control injects or removes faults. If c names an unknown link it changes nothing
// and returns an *UnknownLinkError.
func (e *Engine) Control(c Control) error {
	if c.Link != nil {
		l, ok := e.links[c.Link.To]
		if !ok {
			return &UnknownLinkError{To: c.Link.To}
		}
		l.apply(*c.Link)
	}
	if c.Slow != nil {
		e.pacer.setFactor(*c.Slow)
	}
	e.faults.set(c)
	return nil
}

// Runs returns the records of the newest Config.KeepRuns requests run on this
// engine, as head or as a later stage, oldest first.
func (e *Engine) Runs() []Run { return e.recorder.snapshot() }

// handleControl serves the control API; path begins with ControlPath.
func (e *Engine) handleControl(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == ControlPath && ctx.IsPost():
		var c Control
		if !httpd.ReadJSON(ctx, &c) {
			return
		}
		if err := e.Control(c); err != nil {
			httpd.WriteBadRequest(ctx, err.Error())
		}
	case path == RunsPath && ctx.IsGet():
		httpd.WriteJSON(ctx, fasthttp.StatusOK, Runs{Engine: e.cfg.ID, Epoch: e.epoch, Runs: e.Runs()})
	case path == OrdersPath && ctx.IsGet():
		httpd.WriteJSON(ctx, fasthttp.StatusOK, e.Orders())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

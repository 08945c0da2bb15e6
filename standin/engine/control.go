package engine

import (
	"github.com/valyala/fasthttp"

	"mimosaarch.example/standin/internal/httpd"
)

// Paths of the control calls.
const (
	ControlPath = "/control"
	RunsPath    = "/control/runs"
	OrdersPath  = "/control/orders"
)

// Runs is the reply to a call for the records, oldest first.
type Runs struct {
	Engine string `json:"engine"`
	Epoch  string `json:"epoch"`
	Runs   []Run  `json:"runs"`
}

// Control changes how the engine works. The error is a *LinkError; nothing is
// changed then.
func (e *Engine) Control(c Control) error {
	if c.Link != nil {
		l, ok := e.links[c.Link.To]
		if !ok {
			return &UnknownLinkError{To: c.Link.To}
		}
		l.change(*c.Link)
	}
	if c.Slow != nil {
		e.pacer.setFactor(*c.Slow)
	}
	e.faults.set(c)
	return nil
}

// Runs gives the records of the requests run here, oldest first.
func (e *Engine) Runs() []Run { return e.book.all() }

// handleControl answers one control call.
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

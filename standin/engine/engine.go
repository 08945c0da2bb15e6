package engine

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/standin/internal/httpd"
)

// epochBytes is the length of an epoch's random name, in bytes.
const epochBytes = 8

// Engine is one running stand-in. All methods may be called from any goroutine.
type Engine struct {
	cfg    Config
	epoch  string
	server *httpd.Server
	faults *faults
	pacer  *pacer
	links  map[string]*link
	stages *stageClients
	runs   *registry
	book   *book
	load   *sampler

	mu sync.Mutex
	// held is what the engine holds; orders change it.
	held engineapi.Order
	// fence is the highest seen in an order.
	fence  int64
	orders []OrderRecord
}

// Start starts an engine. The error tells that the address could not be
// listened on.
func Start(cfg Config) (*Engine, error) {
	cfg = cfg.withDefaults()
	server, err := httpd.Listen(cfg.Listen)
	if err != nil {
		return nil, err
	}
	book := newBook(cfg.KeepRuns, cfg.Layers)
	e := &Engine{
		cfg:    cfg,
		epoch:  newEpoch(),
		server: server,
		faults: newFaults(),
		pacer:  newPacer(cfg.Rate),
		links:  newLinks(cfg.Links),
		stages: newStageClients(millis(cfg.StageTimeoutMs), server.Done()),
		runs:   newRegistry(cfg, book),
		book:   book,
		held:   engineapi.Order{Model: cfg.Model, First: cfg.First, Last: cfg.Last},
	}
	e.load = newSampler(e.report, millis(cfg.LagMs))
	go e.load.run(server.Done())
	server.Serve(e.handle)
	return e, nil
}

// millis makes a duration of a setting in milliseconds.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// newEpoch makes a random name for this process life.
func newEpoch() string {
	raw := make([]byte, epochBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Addr is the address listened on.
func (e *Engine) Addr() string { return e.server.Addr() }

// ID names the engine.
func (e *Engine) ID() string { return e.cfg.ID }

// Epoch names this life of the engine.
func (e *Engine) Epoch() string { return e.epoch }

// Close stops the engine at once, as a dying process would: connections are
// closed and runs end.
func (e *Engine) Close() {
	e.server.Close()
	e.runs.closeAll()
}

// handle answers one call.
func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(engineapi.EpochHeader, e.epoch)
	path := string(ctx.Path())
	request, isStream := strings.CutPrefix(path, engineapi.StreamsPath)
	switch {
	case path == stepPath && ctx.IsPost():
		e.handleSteps(ctx)
	case path == engineapi.LoadPath && ctx.IsGet():
		httpd.WriteJSON(ctx, fasthttp.StatusOK, e.load.get(time.Now()))
	case path == engineapi.ChatPath && ctx.IsPost():
		e.handleChat(ctx)
	case isStream && ctx.IsGet():
		e.handleRejoin(ctx, request)
	case isStream && ctx.IsDelete():
		e.handleCancel(ctx, request)
	case path == engineapi.OrdersPath && ctx.IsPost():
		e.handleOrder(ctx)
	case strings.HasPrefix(path, ControlPath):
		e.handleControl(ctx, path)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

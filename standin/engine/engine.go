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

// epochBytes is the number of random bytes in an epoch.
const epochBytes = 8

// Engine is a running stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	cfg      Config
	epoch    string
	server   *httpd.Server
	faults   *faults
	pacer    *pacer
	links    map[string]*link
	stages   *stageClients
	runs     *registry
	recorder *recorder
	load     *sampler

	mu sync.Mutex
	// current is the last applied order, or the model and layers of cfg before any.
	current engineapi.Order
	// fence is the highest fencing token of an applied order.
	fence  int64
	orders []OrderRecord
}

// Start starts an engine. The error is an *httpd.ListenError.
func Start(cfg Config) (*Engine, error) {
	cfg = cfg.withDefaults()
	server, err := httpd.Listen(cfg.Listen)
	if err != nil {
		return nil, err
	}
	recorder := newRecorder(cfg.KeepRuns, cfg.Layers)
	e := &Engine{
		cfg:      cfg,
		epoch:    newEpoch(),
		server:   server,
		faults:   newFaults(),
		pacer:    newPacer(cfg.Rate),
		links:    newLinks(cfg.Links),
		stages:   newStageClients(millis(cfg.StageTimeoutMs), server.Done()),
		runs:     newRegistry(cfg, recorder),
		recorder: recorder,
		current:  engineapi.Order{Model: cfg.Model, First: cfg.First, Last: cfg.Last},
	}
	e.load = newSampler(e.report, millis(cfg.LagMs))
	go e.load.run(server.Done())
	server.Serve(e.handle)
	return e, nil
}

// millis returns n milliseconds as a duration.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// newEpoch returns a random epoch, in hexadecimal.
func newEpoch() string {
	raw := make([]byte, epochBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Addr returns the listen address, with its actual port.
func (e *Engine) Addr() string { return e.server.Addr() }

// ID returns the ID of the engine from its Config.
func (e *Engine) ID() string { return e.cfg.ID }

// Epoch returns the random ID of this run of the engine. It changes with every start.
func (e *Engine) Epoch() string { return e.epoch }

// Close stops the engine abruptly, like a killed process: it closes the connections
// without a last response and stops the runs.
func (e *Engine) Close() {
	e.server.Close()
	e.runs.closeAll()
}

// handle routes a call to its handler and sets the epoch header of the response.
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

package engine

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/standin/internal/httpd"
)

// busyRetryMs is the retry delay advised in a refusal with CodeBusy.
const busyRetryMs = 100

// statusOf returns the HTTP status for the code of a refusal.
func statusOf(code string) int {
	switch code {
	case engineapi.CodeBusy:
		return fasthttp.StatusTooManyRequests
	case engineapi.CodeLeaving:
		return fasthttp.StatusServiceUnavailable
	case engineapi.CodeTombstoned, engineapi.CodeStaleFence:
		return fasthttp.StatusConflict
	case engineapi.CodeNotFound:
		return fasthttp.StatusNotFound
	default:
		return fasthttp.StatusBadRequest
	}
}

// refuse answers a call with a Refusal; retryMs of zero means no advice.
func refuse(ctx *fasthttp.RequestCtx, code, message string, retryMs int64) {
	httpd.WriteJSON(ctx, statusOf(code), engineapi.Refusal{Code: code, Message: message, RetryAfterMs: retryMs})
}

// handleChat serves POST ChatPath: it starts an attempt and streams its events, or
// refuses it, or crashes the engine if the prompt contains the text of
// Control.CrashOn.
func (e *Engine) handleChat(ctx *fasthttp.RequestCtx) {
	var req engineapi.ChatRequest
	if !httpd.ReadJSON(ctx, &req) {
		return
	}
	if code, message := e.checkRequest(&req); code != "" {
		refuse(ctx, code, message, 0)
		return
	}
	if e.faults.refuseNext() {
		refuse(ctx, engineapi.CodeBusy, "", busyRetryMs)
		return
	}
	r, code := e.start(&req)
	if code == engineapi.CodeBusy {
		refuse(ctx, code, "", busyRetryMs)
		return
	}
	if code != "" {
		refuse(ctx, code, "", 0)
		return
	}
	if e.faults.crashesOn(&req) {
		e.crash()
		httpd.Drop(ctx)
		return
	}
	e.stream(ctx, r, r.firstIndex-1)
}

// checkRequest validates a request. It returns the code and message to refuse it
// with; the code is empty if the request may start.
func (e *Engine) checkRequest(req *engineapi.ChatRequest) (code, message string) {
	current := e.CurrentOrder()
	switch {
	case e.faults.isLeaving():
		return engineapi.CodeLeaving, ""
	case req.Request == "":
		return engineapi.CodeBadRequest, "request: empty"
	case req.MaxTokens <= 0:
		return engineapi.CodeBadRequest, "max_tokens: not above zero"
	case len(req.Messages) == 0:
		return engineapi.CodeBadRequest, "messages: empty"
	case current.Model != "" && req.Model != current.Model:
		return engineapi.CodeBadRequest, "model: not held"
	}
	if message := e.checkChain(req.Chain); message != "" {
		return engineapi.CodeBadChain, message
	}
	return "", ""
}

// checkChain validates a chain: it must begin with this engine, cover every layer of
// the model once, in order, and use an existing link to the second stage. It returns
// a message that names the fault, or the empty string.
func (e *Engine) checkChain(chain []engineapi.Stage) string {
	if len(chain) == 0 {
		return "chain: empty"
	}
	if chain[0].Engine != e.cfg.ID || !e.holds(chain[0].First, chain[0].Last) {
		return "chain: its head is not this engine"
	}
	next := 0
	for _, s := range chain {
		if s.First != next || s.Last < s.First {
			return "chain: does not tile the layers"
		}
		next = s.Last + 1
	}
	if next != e.cfg.Layers {
		return "chain: does not tile the layers"
	}
	if len(chain) > 1 && !e.canReach(chain[1].Engine) {
		return "chain: no link to its second stage"
	}
	return ""
}

// start takes a slot for an attempt and executes it in the background. It returns
// the refusal code instead if nothing was started.
func (e *Engine) start(req *engineapi.ChatRequest) (*run, string) {
	ctx, cancel := runContext(req)
	r, code := e.runs.start(req, cancel)
	if code != "" {
		cancel()
		return nil, code
	}
	go e.execute(ctx, r, req, e.faults.nextCorruption(req.MaxTokens-r.firstIndex))
	return r, ""
}

// runContext returns the context of a run, which ends at the request's deadline
// if it has one.
func runContext(req *engineapi.ChatRequest) (context.Context, context.CancelFunc) {
	if req.DeadlineMs > 0 {
		return context.WithTimeout(context.Background(), time.Duration(req.DeadlineMs)*time.Millisecond)
	}
	return context.WithCancel(context.Background())
}

// crash calls Config.OnCrash, or closes the engine if that is nil.
func (e *Engine) crash() {
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
		return
	}
	e.Close()
}

// stream answers with the events of a run whose token index is above after.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, r *run, after int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(engineapi.AttemptHeader, strconv.Itoa(r.attempt))
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(r.newReader(after, e.server.Done()), -1)
}

// handleRejoin serves GET on a stream: it replays the kept tokens of a run after the
// index in the LastEventID header, then streams the new ones.
func (e *Engine) handleRejoin(ctx *fasthttp.RequestCtx, request string) {
	after := -1
	if header := ctx.Request.Header.Peek(engineapi.LastEventID); len(header) > 0 {
		n, err := strconv.Atoi(string(header))
		if err != nil {
			refuse(ctx, engineapi.CodeBadRequest, engineapi.LastEventID+": not an index", 0)
			return
		}
		after = n
	}
	r := e.runs.get(request)
	if r == nil {
		refuse(ctx, engineapi.CodeNotFound, "", 0)
		return
	}
	if !r.covers(after) {
		refuse(ctx, engineapi.CodeNotFound, "the tokens asked for are not kept", 0)
		return
	}
	e.stream(ctx, r, after)
}

// handleCancel serves DELETE on a stream: it stops the run of a request, or records
// a tombstone so that the request cannot start later. With the header CancelIf it
// leaves a request that has started as it is.
func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx, request string) {
	reply := engineapi.CancelReply{State: engineapi.CancelNotStarted, Epoch: e.epoch}
	switch condition := string(ctx.Request.Header.Peek(engineapi.CancelIf)); condition {
	case "":
	case engineapi.CancelNotStarted:
		if !e.runs.tombstoneUnstarted(request) {
			reply.State = engineapi.CancelStarted
		}
		httpd.WriteJSON(ctx, fasthttp.StatusOK, reply)
		return
	default:
		refuse(ctx, engineapi.CodeBadRequest, engineapi.CancelIf+": not a known condition", 0)
		return
	}
	if r := e.runs.getOrTombstone(request); r != nil {
		before, tokens := r.stop()
		reply.Tokens = tokens
		reply.State = engineapi.CancelStopped
		if before == StateFinished {
			reply.State = engineapi.CancelFinished
		}
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, reply)
}

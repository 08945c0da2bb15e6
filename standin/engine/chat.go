package engine

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/standin/internal/httpd"
)

// busyRetryMs is the advice given with CodeBusy.
const busyRetryMs = 100

// statusOf gives the HTTP status of a refusal.
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

// refuse answers a call that is not carried out.
func refuse(ctx *fasthttp.RequestCtx, code, message string, retryMs int64) {
	httpd.WriteJSON(ctx, statusOf(code), engineapi.Refusal{Code: code, Message: message, RetryAfterMs: retryMs})
}

// handleChat starts an attempt and streams it.
func (e *Engine) handleChat(ctx *fasthttp.RequestCtx) {
	var req engineapi.ChatRequest
	if !httpd.ReadJSON(ctx, &req) {
		return
	}
	if code, message := e.check(&req); code != "" {
		refuse(ctx, code, message, 0)
		return
	}
	if e.faults.refuses() {
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
	if e.faults.crashes(&req) {
		e.crash()
		httpd.Drop(ctx)
		return
	}
	e.stream(ctx, r, r.base-1)
}

// check gives the code and message of the refusal of a request, empty when it
// may start.
func (e *Engine) check(req *engineapi.ChatRequest) (code, message string) {
	held := e.CurrentOrder()
	switch {
	case e.faults.isLeaving():
		return engineapi.CodeLeaving, ""
	case req.Request == "":
		return engineapi.CodeBadRequest, "request: empty"
	case req.MaxTokens <= 0:
		return engineapi.CodeBadRequest, "max_tokens: not above zero"
	case len(req.Messages) == 0:
		return engineapi.CodeBadRequest, "messages: empty"
	case held.Model != "" && req.Model != held.Model:
		return engineapi.CodeBadRequest, "model: not held"
	}
	if message := e.checkChain(req.Chain); message != "" {
		return engineapi.CodeBadChain, message
	}
	return "", ""
}

// checkChain tells what is wrong with a chain, empty when nothing is.
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
	if len(chain) > 1 && !e.linked(chain[1].Engine) {
		return "chain: no link to its second stage"
	}
	return ""
}

// start takes a slot for an attempt and drives it; with a code, nothing was
// started.
func (e *Engine) start(req *engineapi.ChatRequest) (*run, string) {
	ctx, cancel := runContext(req)
	r, code := e.runs.start(req, cancel)
	if code != "" {
		cancel()
		return nil, code
	}
	go e.drive(ctx, r, req, e.faults.nextCorruption(req.MaxTokens-r.base))
	return r, ""
}

// runContext makes the context of a run, which ends at the request's deadline
// if it has one.
func runContext(req *engineapi.ChatRequest) (context.Context, context.CancelFunc) {
	if req.DeadlineMs > 0 {
		return context.WithTimeout(context.Background(), time.Duration(req.DeadlineMs)*time.Millisecond)
	}
	return context.WithCancel(context.Background())
}

// crash ends the engine as its settings say.
func (e *Engine) crash() {
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
		return
	}
	e.Close()
}

// stream answers with a run's events after an index.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, r *run, after int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(engineapi.AttemptHeader, strconv.Itoa(r.attempt))
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(r.follow(after, e.server.Done()), -1)
}

// handleRejoin streams what a run produced, and produces, after the caller's
// last event.
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

// handleCancel stops a run, or makes sure it will not start.
func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx, request string) {
	reply := engineapi.CancelReply{State: engineapi.CancelNotStarted, Epoch: e.epoch}
	if r := e.runs.bury(request); r != nil {
		before, tokens := r.stop()
		reply.Tokens = tokens
		reply.State = engineapi.CancelStopped
		if before == StateFinished {
			reply.State = engineapi.CancelFinished
		}
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, reply)
}

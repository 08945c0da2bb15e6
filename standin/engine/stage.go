package engine

import (
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/standin/internal/httpd"
)

// stepPath takes the head's calls for steps; it is the stand-in's own.
const stepPath = "/v1/stage/step"

// stepCall asks one stage for one step of a request.
type stepCall struct {
	Engine  string `json:"engine"`
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	First   int    `json:"first"`
	Last    int    `json:"last"`
	// Next is the engine of the following stage; empty after the last.
	Next string `json:"next,omitempty"`
	// Final marks the request's last step.
	Final bool `json:"final,omitempty"`
}

// stepReply answers one step. When Code is empty, the step's result reaches
// the next stage WaitUs microseconds from now.
type stepReply struct {
	WaitUs int64  `json:"wait_us"`
	Code   string `json:"code,omitempty"`
	// Engine is at fault when Code is set.
	Engine string `json:"engine,omitempty"`
}

// stepBatch holds the steps of several requests in one call.
type stepBatch struct {
	Steps []stepCall `json:"steps"`
}

// stepReplies answers a stepBatch in its order.
type stepReplies struct {
	Replies []stepReply `json:"replies"`
}

// stepError tells that a step failed, and which engine is at fault.
type stepError struct {
	Code, Engine, Message string
}

// Error implements error.
func (e *stepError) Error() string { return e.Engine + ": " + e.Code + " " + e.Message }

// handleSteps runs the steps of a batch.
func (e *Engine) handleSteps(ctx *fasthttp.RequestCtx) {
	var batch stepBatch
	if !httpd.ReadJSON(ctx, &batch) {
		return
	}
	if !e.faults.awaitRunning(e.server.Done()) {
		httpd.Drop(ctx)
		return
	}
	now := time.Now()
	replies := make([]stepReply, len(batch.Steps))
	for i, call := range batch.Steps {
		ready, err := e.step(call, now)
		if err != nil {
			replies[i] = stepReply{Code: err.Code, Engine: err.Engine}
			continue
		}
		replies[i] = stepReply{WaitUs: ready.Sub(now).Microseconds()}
		e.runs.touch(call, now)
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, stepReplies{Replies: replies})
}

// step reserves this engine's part of one step and gives when its result
// reaches the next stage.
func (e *Engine) step(call stepCall, now time.Time) (time.Time, *stepError) {
	if call.Engine != e.cfg.ID || !e.holds(call.First, call.Last) || !e.linked(call.Next) {
		return now, &stepError{Code: engineapi.CodeBadChain, Engine: e.cfg.ID}
	}
	if e.faults.stepFails() {
		return now, &stepError{Code: engineapi.CodeStageFailed, Engine: e.cfg.ID}
	}
	ready := e.pacer.reserve(now)
	e.book.step(call.Request)
	l, ok := e.links[call.Next]
	if !ok {
		return ready, nil
	}
	arrives, ok := l.reserve(ready)
	if !ok {
		return now, &stepError{Code: engineapi.CodeLinkFailed, Engine: call.Next}
	}
	return arrives, nil
}

// holds reports whether the engine holds exactly these layers.
func (e *Engine) holds(first, last int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return first == e.held.First && last == e.held.Last
}

package engine

import (
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/standin/internal/httpd"
)

// stepPath is where the head of a chain posts batches of steps to a later stage. It
// is internal to the stand-ins and not part of engineapi.
const stepPath = "/v1/stage/step"

// stepCall asks an engine to run one step of a request on its layers First to Last.
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

// stepReply answers one step. If Code is empty, the result of the step reaches the
// next stage WaitUs microseconds after the reply.
type stepReply struct {
	WaitUs int64  `json:"wait_us"`
	Code   string `json:"code,omitempty"`
	// Engine is the ID of the engine at fault if Code is set.
	Engine string `json:"engine,omitempty"`
}

// stepBatch is the body of a call to stepPath: steps of any number of requests.
type stepBatch struct {
	Steps []stepCall `json:"steps"`
}

// stepReplies answers a stepBatch, with the replies in the order of its steps.
type stepReplies struct {
	Replies []stepReply `json:"replies"`
}

// stepError reports a failed step: the engineapi code, the ID of the engine at fault
// (empty after a cancel) and an optional message.
type stepError struct {
	Code, Engine, Message string
}

// Error implements error.
func (e *stepError) Error() string { return e.Engine + ": " + e.Code + " " + e.Message }

// handleSteps serves POST stepPath. While the engine is stalled it waits, and it
// drops the connection if the engine closes meanwhile.
func (e *Engine) handleSteps(ctx *fasthttp.RequestCtx) {
	var batch stepBatch
	if !httpd.ReadJSON(ctx, &batch) {
		return
	}
	if !e.faults.waitWhileStalled(e.server.Done()) {
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
		e.runs.noteStageStep(call, now)
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, stepReplies{Replies: replies})
}

// step reserves time for one step on this engine and on the link to the next stage.
// It returns when the result reaches that stage.
func (e *Engine) step(call stepCall, now time.Time) (time.Time, *stepError) {
	if call.Engine != e.cfg.ID || !e.holds(call.First, call.Last) || !e.canReach(call.Next) {
		return now, &stepError{Code: engineapi.CodeBadChain, Engine: e.cfg.ID}
	}
	if e.faults.failNextStep() {
		return now, &stepError{Code: engineapi.CodeStageFailed, Engine: e.cfg.ID}
	}
	ready := e.pacer.reserve(now)
	e.recorder.stepRun(call.Request)
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

// holds reports whether the engine holds exactly the layers first to last, inclusive.
func (e *Engine) holds(first, last int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return first == e.current.First && last == e.current.Last
}

package engine

import (
	"context"
	"time"

	"mimosaarch.example/core/engineapi"
)

// drive runs a request to its end: the prompt, then token by token.
func (e *Engine) drive(ctx context.Context, r *run, req *engineapi.ChatRequest, corrupt *corruption) {
	defer e.runs.release(r)
	defer r.cancel()
	if err := e.prompt(ctx, r, req); err != nil {
		fail(r, err)
		return
	}
	prompt := hashPrompt(req.Messages)
	for index := r.base; index < req.MaxTokens; index++ {
		steps, err := e.pass(ctx, req, index == req.MaxTokens-1)
		if err != nil {
			fail(r, err)
			return
		}
		token := engineapi.Token{
			Attempt: req.Attempt,
			Index:   index,
			Text:    tokenText(prompt, index),
			Steps:   steps,
		}
		for _, ev := range corrupt.apply(token, index-r.base) {
			if ev.stalls {
				<-ctx.Done()
				fail(r, &stepError{Code: engineapi.CodeCancelled})
				return
			}
			r.emit(ev)
		}
	}
	finish(r, req)
}

// prompt runs the prompt's steps.
func (e *Engine) prompt(ctx context.Context, r *run, req *engineapi.ChatRequest) *stepError {
	if r.base >= req.MaxTokens {
		return nil
	}
	chunks := max(1, (promptTokens(req)+e.cfg.PromptChunk-1)/e.cfg.PromptChunk)
	for range chunks {
		if _, err := e.pass(ctx, req, false); err != nil {
			return err
		}
	}
	return nil
}

// pass runs one step through every stage of the chain.
func (e *Engine) pass(ctx context.Context, req *engineapi.ChatRequest, final bool) ([]engineapi.Step, *stepError) {
	steps := make([]engineapi.Step, 0, len(req.Chain))
	for i, stage := range req.Chain {
		call := stepCall{
			Engine:  stage.Engine,
			Request: req.Request,
			Attempt: req.Attempt,
			First:   stage.First,
			Last:    stage.Last,
			Final:   final,
		}
		if i+1 < len(req.Chain) {
			call.Next = req.Chain[i+1].Engine
		}
		ready, err := e.stageStep(ctx, i, stage, call)
		if err != nil {
			return nil, err
		}
		if err := sleepUntil(ctx, ready); err != nil {
			return nil, err
		}
		steps = append(steps, engineapi.Step{Engine: stage.Engine, First: stage.First, Last: stage.Last})
	}
	return steps, nil
}

// stageStep runs one stage of a step, the head's own or a next one's, and
// gives when its result reaches the stage after it.
func (e *Engine) stageStep(ctx context.Context, i int, stage engineapi.Stage, call stepCall) (time.Time, *stepError) {
	if i > 0 {
		wait, err := e.stages.get(stage.Address).step(ctx, stage.Engine, call)
		return time.Now().Add(wait), err
	}
	if !e.faults.awaitRunning(ctx.Done()) {
		return time.Time{}, &stepError{Code: engineapi.CodeCancelled}
	}
	return e.step(call, time.Now())
}

// sleepUntil waits for a time; the error tells that ctx ended first.
func sleepUntil(ctx context.Context, t time.Time) *stepError {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &stepError{Code: engineapi.CodeCancelled}
	}
}

// fail ends a run with an error event.
func fail(r *run, err *stepError) {
	state := StateFailed
	if err.Code == engineapi.CodeCancelled {
		state = StateCancelled
	}
	r.end(state, errorEvent(engineapi.StreamError{
		Attempt: r.attempt,
		Code:    err.Code,
		Engine:  err.Engine,
		Message: err.Message,
	}))
}

// finish ends a run with its end marker.
func finish(r *run, req *engineapi.ChatRequest) {
	r.end(StateFinished, doneEvent(engineapi.Done{
		Attempt: r.attempt,
		Tokens:  max(r.base, req.MaxTokens),
		Finish:  engineapi.FinishLength,
	}))
}

package engine

import (
	"context"
	"time"

	"mimosaarch.example/core/engineapi"
)

// execute runs an attempt to its end, first the prompt and then one token after
// another, with the given corruption of its stream. It releases the slot of the run
// when it returns.
func (e *Engine) execute(ctx context.Context, r *run, req *engineapi.ChatRequest, corrupt *corruption) {
	defer e.runs.release(r)
	defer r.cancel()
	if err := e.runPrompt(ctx, r, req); err != nil {
		fail(r, err)
		return
	}
	promptHash := hashPrompt(req.Messages)
	for index := r.firstIndex; index < req.MaxTokens; index++ {
		steps, err := e.runStep(ctx, req, index == req.MaxTokens-1)
		if err != nil {
			fail(r, err)
			return
		}
		token := engineapi.Token{
			Attempt: req.Attempt,
			Index:   index,
			Text:    tokenText(promptHash, index),
			Steps:   steps,
		}
		for _, ev := range corrupt.apply(token, index-r.firstIndex) {
			if ev.stallBefore {
				<-ctx.Done()
				fail(r, &stepError{Code: engineapi.CodeCancelled})
				return
			}
			r.emit(ev)
		}
	}
	finish(r, req)
}

// runPrompt runs one step per Config.PromptChunk prompt tokens, at least one. It runs
// none if the delivered tokens already complete the answer.
func (e *Engine) runPrompt(ctx context.Context, r *run, req *engineapi.ChatRequest) *stepError {
	if r.firstIndex >= req.MaxTokens {
		return nil
	}
	chunks := max(1, (promptTokens(req)+e.cfg.PromptChunk-1)/e.cfg.PromptChunk)
	for range chunks {
		if _, err := e.runStep(ctx, req, false); err != nil {
			return err
		}
	}
	return nil
}

// runStep runs one step through every stage of the chain and returns the layers
// that were run. final marks the last step of the request.
func (e *Engine) runStep(ctx context.Context, req *engineapi.ChatRequest, final bool) ([]engineapi.Step, *stepError) {
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
		ready, err := e.runStage(ctx, i, stage, call)
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

// runStage runs the part of a step on the i-th stage of the chain: on this engine if
// i is zero, else by a call to the engine of that stage. It returns when the result
// reaches the following stage.
func (e *Engine) runStage(ctx context.Context, i int, stage engineapi.Stage, call stepCall) (time.Time, *stepError) {
	if i > 0 {
		wait, err := e.stages.get(stage.Address).step(ctx, stage.Engine, call)
		return time.Now().Add(wait), err
	}
	if !e.faults.waitWhileStalled(ctx.Done()) {
		return time.Time{}, &stepError{Code: engineapi.CodeCancelled}
	}
	return e.step(call, time.Now())
}

// sleepUntil waits until t. It returns a stepError with CodeCancelled if ctx ends
// first.
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

// fail ends a run with an error event. The state of the run becomes StateCancelled
// for CodeCancelled, else StateFailed.
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

// finish ends a run with the done event.
func finish(r *run, req *engineapi.ChatRequest) {
	r.end(StateFinished, doneEvent(engineapi.Done{
		Attempt: r.attempt,
		Tokens:  max(r.firstIndex, req.MaxTokens),
		Finish:  engineapi.FinishLength,
	}))
}

package caller

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// Headers of answers.
const (
	// OutcomeHeader is what became of the request; a stream's head has none.
	OutcomeHeader = "Mimosa-Outcome"
	// RequestHeader names the request.
	RequestHeader = "Mimosa-Request"
)

// Objects of the chat-completions convention.
const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	roleAssistant    = "assistant"
)

// jsonType is the content type of JSON.
const jsonType = "application/json"

// delta is the new part of a streamed message.
type delta struct {
	Content *string `json:"content,omitempty"`
}

// chunkChoice is the one choice of a chunk.
type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// note tells, in a whole answer, what became of the request.
type note struct {
	Outcome outcome.Outcome `json:"outcome"`
	Request ids.Request     `json:"request"`
	Tokens  int             `json:"tokens"`
}

// chunk is one event of a streamed answer; the last one has a note.
type chunk struct {
	ID      ids.Request   `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Mimosa  *note         `json:"mimosa,omitempty"`
}

// choice is the one choice of a completion.
type choice struct {
	Index        int               `json:"index"`
	Message      engineapi.Message `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// usage counts the tokens generated.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// completion is a whole answer that is not streamed.
type completion struct {
	ID      ids.Request `json:"id"`
	Object  string      `json:"object"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   usage       `json:"usage"`
	Mimosa  note        `json:"mimosa"`
}

// newChunk makes a chunk without content.
func newChunk(c *call.Call) *chunk {
	return &chunk{ID: c.ID, Object: objectChunk, Model: c.Chat.Model, Choices: make([]chunkChoice, 1)}
}

// lastChunk makes the chunk that ends a whole answer.
func lastChunk(c *call.Call) *chunk {
	last := newChunk(c)
	finish := finishReason(c)
	last.Choices[0].FinishReason = &finish
	n := newNote(c)
	last.Mimosa = &n
	return last
}

// newNote makes the note of a whole answer.
func newNote(c *call.Call) note {
	return note{Outcome: outcome.Complete, Request: c.ID, Tokens: c.TokenCount()}
}

// finishReason is why the model stopped.
func finishReason(c *call.Call) string {
	if reason := c.FinishReason(); reason != "" {
		return reason
	}
	return engineapi.FinishStop
}

// writeCompletion writes a whole chat answer.
func writeCompletion(ctx *fasthttp.RequestCtx, c *call.Call, text string) {
	message := engineapi.Message{Role: roleAssistant, Content: text}
	writeJSON(ctx, fasthttp.StatusOK, &completion{
		ID:      c.ID,
		Object:  objectCompletion,
		Model:   c.Chat.Model,
		Choices: []choice{{Message: message, FinishReason: finishReason(c)}},
		Usage:   usage{CompletionTokens: c.TokenCount()},
		Mimosa:  newNote(c),
	})
	setOutcome(ctx, c.ID, outcome.Complete)
}

// writePlain writes a plain service's whole answer as it came.
func writePlain(ctx *fasthttp.RequestCtx, c *call.Call) {
	a := c.Answer()
	if a == nil {
		writeError(ctx, c.ID, &outcome.Error{Outcome: outcome.Unknown, Reason: outcome.UpstreamInvalid, Detail: "no answer came"})
		return
	}
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.SetStatusCode(a.Status)
	for _, pair := range a.Header {
		ctx.Response.Header.Add(pair[0], pair[1])
	}
	ctx.SetBody(a.Body)
	setOutcome(ctx, c.ID, outcome.Complete)
}

// writeJSON writes v with a status.
func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = fasthttp.StatusInternalServerError, nil
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(jsonType)
	ctx.SetBody(data)
}

// setOutcome sets the headers that every whole answer has.
func setOutcome(ctx *fasthttp.RequestCtx, id ids.Request, o outcome.Outcome) {
	ctx.Response.Header.Set(OutcomeHeader, string(o))
	ctx.Response.Header.Set(RequestHeader, string(id))
}

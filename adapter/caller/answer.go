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
	// OutcomeHeader holds the outcome of the request. A streamed answer does
	// not have it, because its head is sent before the outcome is known.
	OutcomeHeader = "Mimosa-Outcome"
	// RequestHeader holds the ID of the request.
	RequestHeader = "Mimosa-Request"
)

// Object types and roles of the chat-completions API.
const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	roleAssistant    = "assistant"
)

// jsonType is the media type of JSON.
const jsonType = "application/json"

// delta is the new content in a chunk.
type delta struct {
	Content *string `json:"content,omitempty"`
}

// chunkChoice is the only choice of a chunk.
type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// summary reports the outcome of a complete answer. It extends the
// chat-completions API.
type summary struct {
	Outcome outcome.Outcome `json:"outcome"`
	Request ids.Request     `json:"request"`
	Tokens  int             `json:"tokens"`
}

// chunk is one event of a streamed answer. Only the final chunk has a summary.
type chunk struct {
	ID      ids.Request   `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Mimosa  *summary      `json:"mimosa,omitempty"`
}

// choice is the only choice of a completion.
type choice struct {
	Index        int               `json:"index"`
	Message      engineapi.Message `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// usage holds the number of generated tokens.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// completion is the body of a chat answer that is not streamed.
type completion struct {
	ID      ids.Request `json:"id"`
	Object  string      `json:"object"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   usage       `json:"usage"`
	Mimosa  summary     `json:"mimosa"`
}

// newChunk returns a chunk without content.
func newChunk(c *call.Call) *chunk {
	return &chunk{ID: c.ID, Object: objectChunk, Model: c.Chat.Model, Choices: make([]chunkChoice, 1)}
}

// newFinalChunk returns the chunk that ends a complete streamed answer.
func newFinalChunk(c *call.Call) *chunk {
	last := newChunk(c)
	finish := finishReason(c)
	last.Choices[0].FinishReason = &finish
	n := newSummary(c)
	last.Mimosa = &n
	return last
}

// newSummary returns the summary of a complete answer.
func newSummary(c *call.Call) summary {
	return summary{Outcome: outcome.Complete, Request: c.ID, Tokens: c.TokenCount()}
}

// finishReason returns the finish reason of the model, by default
// engineapi.FinishStop.
func finishReason(c *call.Call) string {
	if reason := c.FinishReason(); reason != "" {
		return reason
	}
	return engineapi.FinishStop
}

// writeCompletion writes a complete chat answer with the given text.
func writeCompletion(ctx *fasthttp.RequestCtx, c *call.Call, text string) {
	message := engineapi.Message{Role: roleAssistant, Content: text}
	writeJSON(ctx, fasthttp.StatusOK, &completion{
		ID:      c.ID,
		Object:  objectCompletion,
		Model:   c.Chat.Model,
		Choices: []choice{{Message: message, FinishReason: finishReason(c)}},
		Usage:   usage{CompletionTokens: c.TokenCount()},
		Mimosa:  newSummary(c),
	})
	setOutcome(ctx, c.ID, outcome.Complete)
}

// writePlain writes the answer of a plain service unchanged, or an error if
// there is none or no memory for it.
func (x *exchange) writePlain(ctx *fasthttp.RequestCtx) {
	a := x.call.Answer()
	if a == nil {
		writeError(ctx, x.id, &outcome.Error{Outcome: outcome.Unknown, Reason: outcome.UpstreamInvalid, Detail: "no answer came"})
		return
	}
	if x.conn.deliver(len(a.Body)) != nil {
		writeError(ctx, x.id, &outcome.Error{Outcome: outcome.Unknown, Reason: outcome.NodeFull, Detail: "the node has no memory left for the answer"})
		return
	}
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.SetStatusCode(a.Status)
	for _, pair := range a.Header {
		ctx.Response.Header.Add(pair[0], pair[1])
	}
	ctx.SetBody(a.Body)
	setOutcome(ctx, x.id, outcome.Complete)
}

// writeJSON writes v as JSON with a status. If v cannot be encoded, it writes
// status 500 and no body.
func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = fasthttp.StatusInternalServerError, nil
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(jsonType)
	ctx.SetBody(data)
}

// setOutcome sets the headers of every answer that is not streamed.
func setOutcome(ctx *fasthttp.RequestCtx, id ids.Request, o outcome.Outcome) {
	ctx.Response.Header.Set(OutcomeHeader, string(o))
	ctx.Response.Header.Set(RequestHeader, string(id))
}

package caller

import (
	"bufio"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
)

// doneMarker is the data of the last event of a complete stream.
const doneMarker = "[DONE]"

// stream writes a streamed answer. It runs in the goroutine in which fasthttp
// writes the body. That goroutine outlives the request handler, so it must not
// use the RequestCtx.
type stream struct {
	*exchange
	// first is the first token; hasFirst is false if the call ended without
	// one.
	first    engineapi.Token
	hasFirst bool
}

// start sets the status and headers and lets fasthttp call run for the body.
func (s *stream) start(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusOK)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.Header.Set(RequestHeader, string(s.id))
	ctx.SetBodyStreamWriter(s.run)
}

// run writes tokens until the call ends or the caller is gone.
func (s *stream) run(w *bufio.Writer) {
	defer s.probeTicker.Stop()
	t, result := s.first, waitToken
	if !s.hasFirst {
		result = waitCallEnded
	}
	for result == waitToken {
		if s.writeToken(w, t) != nil {
			s.reportCallerGone()
			return
		}
		t, result = s.wait()
	}
	if result == waitCallEnded && s.writeEnd(w) != nil && s.call.Err() == nil {
		s.reportCallerGone()
	}
}

// writeToken writes and flushes the chunk of one token.
func (s *stream) writeToken(w *bufio.Writer, t engineapi.Token) error {
	chunk := newChunk(s.call)
	chunk.Choices[0].Delta.Content = &t.Text
	if _, err := w.WriteString("id: " + strconv.Itoa(t.Index) + "\n"); err != nil {
		return err
	}
	if err := writeData(w, chunk); err != nil {
		return err
	}
	return w.Flush()
}

// writeEnd writes the end of the stream: the final chunk and the done marker,
// or the error without a done marker.
func (s *stream) writeEnd(w *bufio.Writer) error {
	if err := s.call.Err(); err != nil {
		return s.writeFailure(w, err)
	}
	if err := writeData(w, newFinalChunk(s.call)); err != nil {
		return err
	}
	if _, err := w.WriteString("data: " + doneMarker + "\n\n"); err != nil {
		return err
	}
	return w.Flush()
}

// writeFailure writes an error as the last event of a stream.
func (s *stream) writeFailure(w *bufio.Writer, err *outcome.Error) error {
	if err := writeData(w, newErrorBody(s.id, err)); err != nil {
		return err
	}
	return w.Flush()
}

// writeData writes one event with v as JSON.
func writeData(w *bufio.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := w.WriteString("data: "); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	_, err = w.WriteString("\n\n")
	return err
}

package caller

import (
	"bufio"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
)

// doneData ends a whole stream.
const doneData = "[DONE]"

// stream writes a streamed answer. Its goroutine is fasthttp's for the body,
// which outlives the handler and so does not touch the RequestCtx.
type stream struct {
	*exchange
	first engineapi.Token
	began bool
}

// start sends the head; the rest follows in the body's goroutine.
func (s *stream) start(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusOK)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.Header.Set(RequestHeader, string(s.id))
	ctx.SetBodyStreamWriter(s.run)
}

// run writes tokens until the call ends or the caller is gone.
func (s *stream) run(w *bufio.Writer) {
	defer s.probe.Stop()
	t, what := s.first, nextToken
	if !s.began {
		what = nextEnd
	}
	for what == nextToken {
		if s.token(w, t) != nil {
			s.gone()
			return
		}
		t, what = s.wait()
	}
	if what == nextEnd && s.end(w) != nil && s.call.Err() == nil {
		s.gone()
	}
}

// token writes one token's chunk and sends it off.
func (s *stream) token(w *bufio.Writer, t engineapi.Token) error {
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

// end writes what closes the stream: the end marker of a whole answer, else
// the error, which has no [DONE] after it.
func (s *stream) end(w *bufio.Writer) error {
	if err := s.call.Err(); err != nil {
		return s.fail(w, err)
	}
	if err := writeData(w, lastChunk(s.call)); err != nil {
		return err
	}
	if _, err := w.WriteString("data: " + doneData + "\n\n"); err != nil {
		return err
	}
	return w.Flush()
}

// fail writes a failure midstream.
func (s *stream) fail(w *bufio.Writer, err *outcome.Error) error {
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

package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// readChat reads a streamed answer or an error body, and ends the exchange.
func (x *exchange) readChat(onToken func(int, string)) (Result, error) {
	result := Result{
		Status:  x.resp.StatusCode(),
		Outcome: outcome.Unknown,
		Request: ids.Request(x.resp.Header.Peek(requestHeader)),
	}
	if result.Status != fasthttp.StatusOK || x.resp.BodyStream() == nil {
		body, err := x.body()
		x.end(err == nil)
		if err != nil {
			return result, &TransportError{Cause: err}
		}
		result.setError(body)
		return result, nil
	}
	err := result.readStream(x.resp.BodyStream(), onToken)
	x.end(err == nil && x.drain())
	return result, err
}

// readPlain reads a plain service's answer or an error body, and ends the
// exchange. An answer that names no outcome, in its header or its body, has the
// outcome unknown.
func (x *exchange) readPlain() (Result, error) {
	result := Result{
		Status:  x.resp.StatusCode(),
		Outcome: outcome.Outcome(x.resp.Header.Peek(outcomeHeader)),
		Request: ids.Request(x.resp.Header.Peek(requestHeader)),
	}
	body, err := x.body()
	x.end(err == nil)
	if err != nil {
		result.Outcome = outcome.Unknown
		return result, &TransportError{Cause: err}
	}
	result.Body = body
	if result.Outcome == "" {
		result.Outcome = outcome.Unknown
	}
	if result.Outcome != outcome.Complete {
		result.setError(body)
	}
	return result, nil
}

// errorBody is the JSON body of a refused or failed request.
type errorBody struct {
	Error *struct {
		Outcome      outcome.Outcome `json:"outcome"`
		Reason       outcome.Reason  `json:"reason"`
		Message      string          `json:"message"`
		RequestID    ids.Request     `json:"request_id"`
		RetryAfterMs int64           `json:"retry_after_ms"`
	} `json:"error"`
}

// setError copies the fields of an error body to the result. A body that can't
// be parsed leaves the result unchanged.
func (r *Result) setError(body []byte) {
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Error == nil {
		return
	}
	r.Outcome = e.Error.Outcome
	r.Reason = e.Error.Reason
	r.Message = e.Error.Message
	if e.Error.RequestID != "" {
		r.Request = e.Error.RequestID
	}
	r.RetryAfter = time.Duration(e.Error.RetryAfterMs) * time.Millisecond
}

// chunkBody is the JSON data of one server-sent event of a streamed answer.
type chunkBody struct {
	errorBody
	Choices []struct {
		Delta struct {
			Content *string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Mimosa *struct {
		Outcome outcome.Outcome `json:"outcome"`
		Tokens  int             `json:"tokens"`
	} `json:"mimosa"`
}

// CutOffError reports that a stream ended without its end marker.
type CutOffError struct {
	// Tokens is the number of tokens received before the end.
	Tokens int
	// Cause is the read error of the connection; nil when the body ended
	// without one.
	Cause error
}

// Error implements error.
func (e *CutOffError) Error() string {
	text := "the stream ended after " + strconv.Itoa(e.Tokens) + " tokens without an end marker"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (e *CutOffError) Unwrap() error { return e.Cause }

// readStream reads server-sent events until the end marker, an error event or
// the end of the body. The last is a *TransportError with a *CutOffError.
func (r *Result) readStream(body io.Reader, onToken func(int, string)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	var text bytes.Buffer
	defer func() { r.Text = text.String() }()
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte(dataField))
		if !ok {
			continue
		}
		if string(data) == doneData {
			r.Outcome = outcome.Complete
			return nil
		}
		if r.handleEvent(data, &text, onToken) {
			return nil
		}
	}
	return &TransportError{Cause: &CutOffError{Tokens: r.Tokens, Cause: lines.Err()}}
}

// handleEvent adds one event's tokens to the result. It reports whether the
// event was an error, after which no more events follow. An event that can't
// be parsed is ignored.
func (r *Result) handleEvent(data []byte, text *bytes.Buffer, onToken func(int, string)) bool {
	var chunk chunkBody
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false
	}
	if chunk.Error != nil {
		r.setError(data)
		return true
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content == nil {
			continue
		}
		text.WriteString(*choice.Delta.Content)
		if onToken != nil {
			onToken(r.Tokens, *choice.Delta.Content)
		}
		r.Tokens++
	}
	return false
}

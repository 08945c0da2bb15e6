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

// chat reads a streamed answer, or a refusal, and ends the exchange.
func (x *exchange) chat(onToken func(int, string)) (Result, error) {
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
		result.refused(body)
		return result, nil
	}
	err := result.readStream(x.resp.BodyStream(), onToken)
	x.end(err == nil && x.drain())
	return result, err
}

// plain reads a plain service's answer, or a refusal, and ends the exchange.
func (x *exchange) plain() (Result, error) {
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
		result.refused(body)
	}
	return result, nil
}

// errorBody is the body of a refusal or failure.
type errorBody struct {
	Error *struct {
		Outcome      outcome.Outcome `json:"outcome"`
		Reason       outcome.Reason  `json:"reason"`
		Message      string          `json:"message"`
		RequestID    ids.Request     `json:"request_id"`
		RetryAfterMs int64           `json:"retry_after_ms"`
	} `json:"error"`
}

// refused takes in the body of a refusal or failure; one that does not parse
// leaves the outcome unknown.
func (r *Result) refused(body []byte) {
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

// chunkBody is one event of a streamed answer.
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

// CutOffError tells that a stream ended without its end marker.
type CutOffError struct {
	// Tokens came before.
	Tokens int
	// Cause is the failure of the connection; nil when the body just ended.
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

// Unwrap gives the cause.
func (e *CutOffError) Unwrap() error { return e.Cause }

// readStream reads events until the end marker or a failure.
func (r *Result) readStream(body io.Reader, onToken func(int, string)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
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
		if r.event(data, &text, onToken) {
			return nil
		}
	}
	return &TransportError{Cause: &CutOffError{Tokens: r.Tokens, Cause: lines.Err()}}
}

// event takes in one event; it reports whether it was a failure, the last.
func (r *Result) event(data []byte, text *bytes.Buffer, onToken func(int, string)) bool {
	var chunk chunkBody
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false
	}
	if chunk.Error != nil {
		r.refused(data)
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

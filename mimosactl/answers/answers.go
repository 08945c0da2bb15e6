// Package answers knows what the stand-ins answer, so that a run of load
// against them can check every answer.
package answers

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/loadgen/client"
	"mimosaarch.example/standin/engine"
	"mimosaarch.example/standin/plain"
)

// Checker implements load.Checker for the stand-ins. Any goroutine may use it.
type Checker struct{}

// Chat implements load.Checker: an answer is the known text for its prompt,
// and what came of a cut one is the start of it.
func (Checker) Chat(messages []engineapi.Message, maxTokens int, text string, whole bool) bool {
	want := engine.Answer(messages, maxTokens)
	if whole {
		return text == want
	}
	return strings.HasPrefix(want, text)
}

// Plain implements load.Checker: a booking has a receipt and was executed
// once; a reading has an answer.
func (Checker) Plain(call client.PlainCall, status int, body []byte) bool {
	if call.Method != fasthttp.MethodPost {
		return status == fasthttp.StatusOK
	}
	var receipt plain.Receipt
	if err := json.Unmarshal(body, &receipt); err != nil {
		return false
	}
	return status == fasthttp.StatusCreated && receipt.Receipt != "" && receipt.Executions == 1
}

// Package answers computes the expected answers of the stand-in engines and
// plain services, so that a load run against them can verify every answer.
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

// Checker implements load.Checker for the stand-ins. It is safe for concurrent
// use.
type Checker struct{}

// Chat implements load.Checker. A complete answer must equal the stand-in's text
// for the prompt; an incomplete one must be a prefix of it.
func (Checker) Chat(messages []engineapi.Message, maxTokens int, text string, complete bool) bool {
	want := engine.Answer(messages, maxTokens)
	if complete {
		return text == want
	}
	return strings.HasPrefix(want, text)
}

// Plain implements load.Checker. A POST, which creates a booking, must return
// 201, a receipt and an execution count of 1. Any other method must return 200.
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

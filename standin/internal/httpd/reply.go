package httpd

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"
)

// BadRequest is the body of an answer to a call that could not be read.
type BadRequest struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// codeBadRequest is the code of BadRequest.
const codeBadRequest = "bad_request"

// WriteJSON answers with a status and a value's WriteJSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = fasthttp.StatusInternalServerError
		body = nil
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ReadJSON decodes the call's JSON body into value. When it can't, it answers 400
// and reports false.
func ReadJSON(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.PostBody(), value); err != nil {
		WriteBadRequest(ctx, err.Error())
		return false
	}
	return true
}

// WriteBadRequest answers 400.
func WriteBadRequest(ctx *fasthttp.RequestCtx, message string) {
	WriteJSON(ctx, fasthttp.StatusBadRequest, BadRequest{Code: codeBadRequest, Message: message})
}

// Drop closes the call's connection without an answer.
func Drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

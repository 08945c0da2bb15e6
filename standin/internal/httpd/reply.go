package httpd

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"
)

// BadRequest is the body of a response with status 400. Code is "bad_request".
type BadRequest struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// codeBadRequest is the value of BadRequest.Code.
const codeBadRequest = "bad_request"

// WriteJSON answers with a status and the JSON of value, or with status 500 and no
// body if value cannot be encoded.
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

// ReadJSON decodes the JSON body of the call into value, a pointer. If that fails, it
// answers 400 and returns false.
func ReadJSON(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.PostBody(), value); err != nil {
		WriteBadRequest(ctx, err.Error())
		return false
	}
	return true
}

// WriteBadRequest answers with status 400 and a BadRequest body.
func WriteBadRequest(ctx *fasthttp.RequestCtx, message string) {
	WriteJSON(ctx, fasthttp.StatusBadRequest, BadRequest{Code: codeBadRequest, Message: message})
}

// Drop closes the connection of the call without a response.
func Drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

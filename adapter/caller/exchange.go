package caller

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// exchange is one request and its answer.
type exchange struct {
	server *Server
	id     ids.Request
	// body is the body of the request.
	body []byte
	// call is nil until the request has been parsed.
	call *call.Call
	// conn is nil if the connection was not accepted by a listener of this
	// package.
	conn        *conn
	probeTicker *time.Ticker
}

// waitResult is the kind of event that ended a wait.
type waitResult int

const (
	waitToken waitResult = iota
	waitCallEnded
	waitCallerGone
)

// answer waits for the admitted call and writes its answer.
func (x *exchange) answer(ctx *fasthttp.RequestCtx) {
	x.probeTicker = time.NewTicker(x.server.options.ProbeInterval)
	if x.call.Chat != nil && x.call.Stream {
		x.answerStream(ctx)
		return
	}
	defer x.probeTicker.Stop()
	x.answerWhole(ctx)
}

// answerWhole collects the tokens and writes an answer that is not streamed.
func (x *exchange) answerWhole(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for {
		t, result := x.wait()
		switch result {
		case waitToken:
			text.WriteString(t.Text)
		case waitCallerGone:
			ctx.SetConnectionClose()
			return
		case waitCallEnded:
			x.writeWhole(ctx, text.String())
			return
		}
	}
}

// writeWhole writes the answer of a call that has ended.
func (x *exchange) writeWhole(ctx *fasthttp.RequestCtx, text string) {
	if err := x.call.Err(); err != nil {
		writeError(ctx, x.id, err)
		return
	}
	if x.call.Chat != nil {
		writeCompletion(ctx, x.call, text)
		return
	}
	x.writePlain(ctx)
}

// answerStream waits for the first token or the end of the call, which decides
// the HTTP status. It leaves the rest to the goroutine of the stream.
func (x *exchange) answerStream(ctx *fasthttp.RequestCtx) {
	first, result := x.wait()
	if result == waitToken || result == waitCallEnded && x.call.Err() == nil {
		s := &stream{exchange: x, first: first, hasFirst: result == waitToken}
		s.start(ctx)
		return
	}
	x.probeTicker.Stop()
	if result == waitCallerGone {
		ctx.SetConnectionClose()
		return
	}
	writeError(ctx, x.id, x.call.Err())
}

// wait returns the next token, or reports that the call has ended and all its
// tokens were taken, or that the caller is gone. In the last case it has also
// notified the Admitter.
func (x *exchange) wait() (engineapi.Token, waitResult) {
	for {
		select {
		case t := <-x.call.Tokens():
			return t, waitToken
		case <-x.call.Done():
			return x.remaining()
		case <-x.probeTicker.C:
			if x.conn != nil && x.conn.isCallerGone() {
				x.reportCallerGone()
				return engineapi.Token{}, waitCallerGone
			}
		}
	}
}

// remaining returns the next token still buffered after the end of the call, or
// waitCallEnded.
func (x *exchange) remaining() (engineapi.Token, waitResult) {
	select {
	case t := <-x.call.Tokens():
		return t, waitToken
	default:
		return engineapi.Token{}, waitCallEnded
	}
}

// reportCallerGone notifies the call and the Admitter that the caller is gone.
// No exchange calls it twice, because each one ends after it.
func (x *exchange) reportCallerGone() {
	x.server.options.Log.Debug().Str("request", string(x.id)).Str("reason", string(outcome.CallerGone)).Msg("caller gone")
	x.call.MarkCallerGone()
	x.server.options.Admitter.CallerGone(x.id)
}

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
	// call is nil until the request was found good.
	call *call.Call
	// conn is nil when the connection was not made by our listener.
	conn  *conn
	probe *time.Ticker
}

// next is what a wait ended with.
type next int

const (
	nextToken next = iota
	nextEnd
	nextGone
)

// answer waits for the admitted call and writes its answer.
func (x *exchange) answer(ctx *fasthttp.RequestCtx) {
	x.probe = time.NewTicker(x.server.options.ProbeInterval)
	if x.call.Chat != nil && x.call.Stream {
		x.answerStream(ctx)
		return
	}
	defer x.probe.Stop()
	x.answerWhole(ctx)
}

// answerWhole writes an answer that is not streamed.
func (x *exchange) answerWhole(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for {
		t, what := x.wait()
		switch what {
		case nextToken:
			text.WriteString(t.Text)
		case nextGone:
			ctx.SetConnectionClose()
			return
		case nextEnd:
			x.writeWhole(ctx, text.String())
			return
		}
	}
}

// writeWhole writes the answer of a call that ended.
func (x *exchange) writeWhole(ctx *fasthttp.RequestCtx, text string) {
	if err := x.call.Err(); err != nil {
		writeError(ctx, x.id, err)
		return
	}
	if x.call.Chat != nil {
		writeCompletion(ctx, x.call, text)
		return
	}
	writePlain(ctx, x.call)
}

// answerStream waits for the first token or the end, since the status goes
// out first, and leaves the rest to the stream's goroutine.
func (x *exchange) answerStream(ctx *fasthttp.RequestCtx) {
	first, what := x.wait()
	if what == nextToken || what == nextEnd && x.call.Err() == nil {
		s := &stream{exchange: x, first: first, began: what == nextToken}
		s.start(ctx)
		return
	}
	x.probe.Stop()
	if what == nextGone {
		ctx.SetConnectionClose()
		return
	}
	writeError(ctx, x.id, x.call.Err())
}

// wait gives the next token, or tells that the call ended, all its tokens
// taken, or that the caller went away, of which the Admitter is then told.
func (x *exchange) wait() (engineapi.Token, next) {
	for {
		select {
		case t := <-x.call.Tokens():
			return t, nextToken
		case <-x.call.Done():
			return x.rest()
		case <-x.probe.C:
			if x.conn != nil && x.conn.gone() {
				x.gone()
				return engineapi.Token{}, nextGone
			}
		}
	}
}

// rest gives the tokens still waiting after the end, one a call.
func (x *exchange) rest() (engineapi.Token, next) {
	select {
	case t := <-x.call.Tokens():
		return t, nextToken
	default:
		return engineapi.Token{}, nextEnd
	}
}

// gone tells the Admitter that the caller went away; each exchange ends with it.
func (x *exchange) gone() {
	x.server.options.Log.Debug().Str("request", string(x.id)).Str("reason", string(outcome.CallerGone)).Msg("caller gone")
	x.call.MarkCallerGone()
	x.server.options.Admitter.CallerGone(x.id)
}

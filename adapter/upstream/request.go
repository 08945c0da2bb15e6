package upstream

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/topology"
)

// Headers sent to plain services.
const (
	// RequestHeader names the request.
	RequestHeader = "Mimosa-Request"
	// TimeoutHeader is the time until the request's deadline, in milliseconds.
	TimeoutHeader = "Mimosa-Timeout-Ms"
)

// userAgent names the sender.
const userAgent = "mimosad"

// jsonType and eventType are content types.
const (
	jsonType  = "application/json"
	eventType = "text/event-stream"
)

// request makes the HTTP request of the attempt.
func (a *attempt) request() (*fasthttp.Request, *failure) {
	if f := a.checkSend(); f != nil {
		return nil, f
	}
	switch {
	case !a.send.Model:
		return a.plainRequest(), nil
	case a.send.Resume != nil:
		return a.resumeRequest(), nil
	default:
		return a.chatRequest()
	}
}

// checkSend refuses a send that does not fit its call.
func (a *attempt) checkSend() *failure {
	switch {
	case len(a.send.Chain) == 0:
		return &failure{reason: outcome.NoUpstream, detail: "the chain is empty"}
	case a.send.Model && a.call.Chat == nil, !a.send.Model && a.call.Plain == nil:
		return &failure{reason: outcome.BadRequest, detail: "the call is of the other kind"}
	case !a.send.Model && a.send.Resume != nil:
		return &failure{reason: outcome.BadRequest, detail: "a plain call has no stream to rejoin"}
	default:
		return nil
	}
}

// newRequest makes a request without a body.
func newRequest(method, address, uri string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.Header.SetHost(address)
	req.Header.SetRequestURI(uri)
	req.Header.SetUserAgent(userAgent)
	req.Header.SetConnectionClose()
	return req
}

// chatRequest starts a model attempt; it goes on after the delivered tokens.
func (a *attempt) chatRequest() (*fasthttp.Request, *failure) {
	chat := *a.call.Chat
	chat.Stream = true
	chat.Request = string(a.send.ID)
	chat.Attempt = int(a.send.Attempt)
	chat.Chain = stages(a.send.Chain)
	chat.Delivered = a.call.Delivered()
	chat.DeadlineMs = milliseconds(a.send.Remaining)
	body, err := json.Marshal(&chat)
	if err != nil {
		return nil, fail(outcome.BadRequest, err)
	}
	req := newRequest(fasthttp.MethodPost, a.head().Address, engineapi.ChatPath)
	req.Header.SetContentType(jsonType)
	req.Header.Set(fasthttp.HeaderAccept, eventType)
	req.Header.Set(engineapi.AttemptHeader, strconv.Itoa(chat.Attempt))
	req.SetBodyRaw(body)
	return req, nil
}

// resumeRequest rejoins a running stream after the tokens delivered.
func (a *attempt) resumeRequest() *fasthttp.Request {
	req := newRequest(fasthttp.MethodGet, a.head().Address, streamPath(a.send.Resume.Request))
	req.Header.Set(fasthttp.HeaderAccept, eventType)
	req.Header.Set(engineapi.LastEventID, strconv.Itoa(a.call.TokenCount()-1))
	return req
}

// plainRequest passes a plain call on.
func (a *attempt) plainRequest() *fasthttp.Request {
	p := a.call.Plain
	req := newRequest(p.Method, a.head().Address, plainURI(p.Path, p.Query))
	for _, pair := range p.Header {
		req.Header.Add(pair[0], pair[1])
	}
	req.Header.Set(RequestHeader, string(a.send.ID))
	req.Header.Set(engineapi.AttemptHeader, strconv.Itoa(int(a.send.Attempt)))
	if ms := milliseconds(a.send.Remaining); ms > 0 {
		req.Header.Set(TimeoutHeader, strconv.FormatInt(ms, 10))
	}
	req.SetBodyRaw(p.Body)
	return req
}

// streamPath names a request's stream at its engine.
func streamPath(request ids.Request) string {
	return engineapi.StreamsPath + url.PathEscape(string(request))
}

// plainURI encodes a decoded path and appends the query as it is.
func plainURI(path, query string) string {
	uri := (&url.URL{Path: path}).EscapedPath()
	if query != "" {
		uri += "?" + query
	}
	return uri
}

// stages gives the chain in the engines' protocol.
func stages(chain topology.Chain) []engineapi.Stage {
	out := make([]engineapi.Stage, 0, len(chain))
	for _, e := range chain {
		out = append(out, engineapi.Stage{Engine: string(e.ID), Address: e.Address, First: e.First, Last: e.Last})
	}
	return out
}

// milliseconds rounds up; zero or less means no deadline and gives 0.
func milliseconds(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

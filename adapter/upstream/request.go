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
	// RequestHeader carries the ID of the request.
	RequestHeader = "Mimosa-Request"
	// TimeoutHeader carries the time left until the deadline of the request, in
	// milliseconds.
	TimeoutHeader = "Mimosa-Timeout-Ms"
)

// userAgent is sent as the User-Agent of every request.
const userAgent = "mimosad"

// Content types of requests and responses.
const (
	jsonType  = "application/json"
	eventType = "text/event-stream"
)

// request returns the HTTP request of the attempt.
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

// checkSend returns a failure if the router.Send does not match the call.
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

// newRequest returns a request without a body that asks the upstream to close the
// connection afterwards.
func newRequest(method, address, uri string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.Header.SetHost(address)
	req.Header.SetRequestURI(uri)
	req.Header.SetUserAgent(userAgent)
	req.Header.SetConnectionClose()
	return req
}

// chatRequest returns the request that starts a model attempt. The engine continues
// after the tokens already delivered.
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
		return nil, newFailure(outcome.BadRequest, err)
	}
	req := newRequest(fasthttp.MethodPost, a.target().Address, engineapi.ChatPath)
	req.Header.SetContentType(jsonType)
	req.Header.Set(fasthttp.HeaderAccept, eventType)
	req.Header.Set(engineapi.AttemptHeader, strconv.Itoa(chat.Attempt))
	req.SetBodyRaw(body)
	return req, nil
}

// resumeRequest returns the request that rejoins a running stream after the tokens
// already delivered.
func (a *attempt) resumeRequest() *fasthttp.Request {
	req := newRequest(fasthttp.MethodGet, a.target().Address, streamPath(a.send.Resume.Request))
	req.Header.Set(fasthttp.HeaderAccept, eventType)
	req.Header.Set(engineapi.LastEventID, strconv.Itoa(a.call.TokenCount()-1))
	return req
}

// plainRequest returns the request for a plain service, with the method, path,
// query, headers and body of the call.
func (a *attempt) plainRequest() *fasthttp.Request {
	p := a.call.Plain
	req := newRequest(p.Method, a.target().Address, plainURI(p.Path, p.Query))
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

// streamPath returns the path of a request's stream in the engine protocol.
func streamPath(request ids.Request) string {
	return engineapi.StreamsPath + url.PathEscape(string(request))
}

// plainURI escapes a decoded path and appends the query unchanged.
func plainURI(path, query string) string {
	uri := (&url.URL{Path: path}).EscapedPath()
	if query != "" {
		uri += "?" + query
	}
	return uri
}

// stages converts a chain to the engine protocol.
func stages(chain topology.Chain) []engineapi.Stage {
	out := make([]engineapi.Stage, 0, len(chain))
	for _, e := range chain {
		out = append(out, engineapi.Stage{Engine: string(e.ID), Address: e.Address, First: e.First, Last: e.Last})
	}
	return out
}

// milliseconds converts a duration to milliseconds, rounded up. It returns 0, which
// means no deadline, if d is not positive.
func milliseconds(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

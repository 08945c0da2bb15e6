package upstream

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
)

// NotStartedHeader, set to "true" by a plain service on a 503 or 429, says
// that the call was not started and never will be.
const NotStartedHeader = "Mimosa-Not-Started"

// answerHeaders are the names of a plain answer's headers that pass to the caller.
var answerHeaders = []string{
	fasthttp.HeaderContentType,
	fasthttp.HeaderContentEncoding,
	fasthttp.HeaderContentLanguage,
	fasthttp.HeaderContentDisposition,
	fasthttp.HeaderCacheControl,
	fasthttp.HeaderETag,
	fasthttp.HeaderLastModified,
	fasthttp.HeaderLocation,
	fasthttp.HeaderAllow,
	fasthttp.HeaderRetryAfter,
	fasthttp.HeaderVary,
}

// plain reads a plain service's answer. Any status but a refusal is a whole
// answer, passed to the caller as it is.
func (a *attempt) plain(l *link, resp *fasthttp.Response) *failure {
	if resp.StatusCode() < fasthttp.StatusOK {
		return &failure{reason: outcome.UpstreamInvalid, detail: "status " + strconv.Itoa(resp.StatusCode())}
	}
	if notStarted(resp) {
		return a.plainRefusal(l, resp)
	}
	a.start("")
	body, err := readBody(l, resp, a.runner.options.MaxBodyBytes)
	if err != nil {
		return fail(bodyReason(l, err), err)
	}
	a.call.SetAnswer(call.PlainAnswer{Status: resp.StatusCode(), Header: passedHeaders(resp), Body: body})
	a.reached(outcome.Finished)
	return nil
}

// notStarted reports whether the service positively refused before starting.
func notStarted(resp *fasthttp.Response) bool {
	switch resp.StatusCode() {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return string(resp.Header.Peek(NotStartedHeader)) == "true"
	default:
		return false
	}
}

// plainRefusal reads what a refusal says; its head alone is proof. 429 means
// busy, as does CodeBusy.
func (a *attempt) plainRefusal(l *link, resp *fasthttp.Response) *failure {
	a.refuse()
	var refusal engineapi.Refusal
	body, err := readBody(l, resp, a.runner.options.MaxBodyBytes)
	if err == nil {
		err = json.Unmarshal(body, &refusal)
	}
	if err != nil || refusal.Code == "" {
		refusal = engineapi.Refusal{Code: "status " + strconv.Itoa(resp.StatusCode())}
	}
	f := refusalFailure(refusal, resp)
	if resp.StatusCode() == fasthttp.StatusTooManyRequests {
		f.reason = outcome.UpstreamBusy
	}
	return f
}

// passedHeaders copies the headers that pass to the caller.
func passedHeaders(resp *fasthttp.Response) [][2]string {
	var out [][2]string
	for _, name := range answerHeaders {
		for _, value := range resp.Header.PeekAll(name) {
			if len(value) > 0 {
				out = append(out, [2]string{name, string(value)})
			}
		}
	}
	return out
}

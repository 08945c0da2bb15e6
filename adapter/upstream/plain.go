package upstream

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
)

// NotStartedHeader is a response header of plain services. The value "true" on a
// 503 or 429 means that the service has not started the call and never will.
const NotStartedHeader = "Mimosa-Not-Started"

// forwardedHeaderNames are the response headers of a plain service that are passed
// to the caller.
var forwardedHeaderNames = []string{
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

// readPlainResponse reads the response of a plain service. Unless it is a refusal,
// it is passed to the caller whatever its status.
func (a *attempt) readPlainResponse(conn *stallConn, resp *fasthttp.Response) *failure {
	if resp.StatusCode() < fasthttp.StatusOK {
		return &failure{reason: outcome.UpstreamInvalid, detail: "status " + strconv.Itoa(resp.StatusCode())}
	}
	if notStarted(resp) {
		return a.readPlainRefusal(conn, resp)
	}
	a.markStarted("")
	body, err := readBody(conn, resp, a.runner.options.MaxBodyBytes)
	if err != nil {
		return newFailure(bodyFailureReason(conn, err), err)
	}
	a.call.SetAnswer(call.PlainAnswer{Status: resp.StatusCode(), Header: forwardedHeaders(resp), Body: body})
	a.advance(outcome.Finished)
	return nil
}

// notStarted reports whether the service refused the call before starting it.
func notStarted(resp *fasthttp.Response) bool {
	switch resp.StatusCode() {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return string(resp.Header.Peek(NotStartedHeader)) == "true"
	default:
		return false
	}
}

// readPlainRefusal reads the details of a refusal. The headers alone prove the
// refusal, so an unreadable body does not matter. Status 429 means busy, as
// CodeBusy does.
func (a *attempt) readPlainRefusal(conn *stallConn, resp *fasthttp.Response) *failure {
	a.markRefused()
	var refusal engineapi.Refusal
	body, err := readBody(conn, resp, a.runner.options.MaxBodyBytes)
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

// forwardedHeaders returns the headers of a response that are passed to the caller.
func forwardedHeaders(resp *fasthttp.Response) [][2]string {
	var out [][2]string
	for _, name := range forwardedHeaderNames {
		for _, value := range resp.Header.PeekAll(name) {
			if len(value) > 0 {
				out = append(out, [2]string{name, string(value)})
			}
		}
	}
	return out
}

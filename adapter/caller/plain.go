package caller

import (
	"strings"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// passedHeaders are the headers of a plain call that are passed to the
// upstream. The bearer key is not passed. Neither is the idempotency key,
// because it is scoped to a client account, which the upstream does not know.
var passedHeaders = []string{
	fasthttp.HeaderContentType,
	fasthttp.HeaderContentEncoding,
	fasthttp.HeaderAccept,
	fasthttp.HeaderAcceptEncoding,
	fasthttp.HeaderAcceptLanguage,
	fasthttp.HeaderIfMatch,
	fasthttp.HeaderIfNoneMatch,
	fasthttp.HeaderIfModifiedSince,
	fasthttp.HeaderIfUnmodifiedSince,
}

// parsePlain parses a request to a plain service into x.call and arrived.
func (x *exchange) parsePlain(ctx *fasthttp.RequestCtx, arrived *router.RequestArrived, service, path string) *outcome.Error {
	query := string(ctx.URI().QueryString())
	if err := validateTarget(ctx, service, path, query); err != nil {
		return err
	}
	method := string(ctx.Method())
	x.call = call.New(x.id, x.server.options.Call)
	x.call.Plain = &call.PlainCall{
		Method: method,
		Path:   path,
		Query:  query,
		Header: copyPassedHeaders(ctx),
		Body:   x.body,
	}
	arrived.Service = ids.Service(service)
	arrived.Method = method
	arrived.Path = path
	arrived.Fingerprint = fingerprint(ctx, x.body, arrived.Service, path)
	return nil
}

// validateTarget refuses methods and targets that cannot be passed to the
// upstream unchanged.
func validateTarget(ctx *fasthttp.RequestCtx, service, path, query string) *outcome.Error {
	original := strings.ToLower(string(ctx.URI().PathOriginal()))
	switch {
	case ctx.IsConnect() || ctx.IsTrace():
		return badRequest("method: not passed on")
	case len(service) > maxServiceNameBytes:
		return badRequest("service: the name is too long")
	case strings.Contains(original, "%2f"):
		return badRequest("path: an encoded slash is not passed on")
	case strings.ContainsFunc(path, isControl):
		return badRequest("path: control character")
	case query != "" && !isPrintable(query):
		return badRequest("query: not encoded")
	default:
		return nil
	}
}

// isControl reports whether r is an ASCII control character.
func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// copyPassedHeaders returns the headers of a request that are passed to the
// upstream.
func copyPassedHeaders(ctx *fasthttp.RequestCtx) [][2]string {
	var out [][2]string
	for _, name := range passedHeaders {
		for _, value := range ctx.Request.Header.PeekAll(name) {
			if len(value) > 0 {
				out = append(out, [2]string{name, string(value)})
			}
		}
	}
	return out
}

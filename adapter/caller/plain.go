package caller

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// passedHeaders are the names of a plain call's headers that pass to the
// upstream. The bearer key does not, nor does the idempotency key: it is
// scoped to a client account, which the upstream does not know.
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

// readPlain makes the call of a plain service.
func (x *exchange) readPlain(ctx *fasthttp.RequestCtx, arrive *router.RequestArrived, service, path string) *outcome.Error {
	query := string(ctx.URI().QueryString())
	if err := checkTarget(ctx, service, path, query); err != nil {
		return err
	}
	method := string(ctx.Method())
	x.call = call.New(x.id, x.server.options.Call)
	x.call.Plain = &call.PlainCall{
		Method: method,
		Path:   path,
		Query:  query,
		Header: passed(ctx),
		Body:   bytes.Clone(ctx.PostBody()),
	}
	arrive.Service = ids.Service(service)
	arrive.Method = method
	arrive.Path = path
	arrive.Fingerprint = fingerprint(ctx, arrive.Service, path)
	return nil
}

// checkTarget refuses what can't be passed on as the caller meant it.
func checkTarget(ctx *fasthttp.RequestCtx, service, path, query string) *outcome.Error {
	original := strings.ToLower(string(ctx.URI().PathOriginal()))
	switch {
	case ctx.IsConnect() || ctx.IsTrace():
		return badRequest("method: not passed on")
	case len(service) > maxService:
		return badRequest("service: the name is too long")
	case strings.Contains(original, "%2f"):
		return badRequest("path: an encoded slash is not passed on")
	case strings.ContainsFunc(path, isControl):
		return badRequest("path: control character")
	case query != "" && !printable(query):
		return badRequest("query: not encoded")
	default:
		return nil
	}
}

// isControl reports whether r is an ASCII control character.
func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// passed copies the headers that pass to the upstream.
func passed(ctx *fasthttp.RequestCtx) [][2]string {
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

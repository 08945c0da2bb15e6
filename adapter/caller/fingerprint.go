package caller

import (
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/quarantine"
)

// fingerprint tells a request from others and is the same for its repeats.
func fingerprint(ctx *fasthttp.RequestCtx, service ids.Service, path string) string {
	return string(quarantine.FingerprintOf([]byte(service), ctx.Method(), []byte(path), ctx.URI().QueryString(), ctx.PostBody()))
}

package caller

import (
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/quarantine"
)

// fingerprint returns a hash that identifies the content of a request and is
// the same for its repetitions.
func fingerprint(ctx *fasthttp.RequestCtx, body []byte, service ids.Service, path string) string {
	return string(quarantine.FingerprintOf([]byte(service), ctx.Method(), []byte(path), ctx.URI().QueryString(), body))
}

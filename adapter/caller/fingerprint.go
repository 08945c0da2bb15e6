package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
)

// fingerprint is the hex SHA-256 over service, method, path, query and body,
// each preceded by its length.
func fingerprint(ctx *fasthttp.RequestCtx, service ids.Service, path string) string {
	h := sha256.New()
	parts := [][]byte{[]byte(service), ctx.Method(), []byte(path), ctx.URI().QueryString(), ctx.PostBody()}
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

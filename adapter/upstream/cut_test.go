package upstream

import (
	"fmt"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// cutHeads are heads of responses by their form.
var cutHeads = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n",
	"chunks":        streamHead,
	"no length":     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
	"after interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
	"no content":    "HTTP/1.1 204 X\r\nEtag: \"1\"\r\n\r\n",
	"not started":   "HTTP/1.1 503 X\r\nMimosa-Not-Started: true\r\nContent-Length: 0\r\n\r\n",
	"refusal":       "HTTP/1.1 503 X\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\r\n",
}

// respondCut returns a script that writes a text, and then resets the connection if reset is true.
func respondCut(text string, reset bool) script {
	return func(conn net.Conn, _ *fasthttp.Request) {
		_, _ = conn.Write([]byte(text))
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// Guards against an answer, a refusal or a second send although the upstream ended the connection
// within the head of its response.
func TestAttemptWhoseResponseEndsWithinItsHeadMayHaveRun(t *testing.T) {
	kinds := map[string]func(address string) (router.Send, *call.Call){
		"plain": func(address string) (router.Send, *call.Call) {
			return plainSend(address), plainCall("POST", "/bookings", "{}")
		},
		"model": func(address string) (router.Send, *call.Call) { return modelSend(address), chatCall() },
	}
	for kind, start := range kinds {
		for name, head := range cutHeads {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset %v", kind, name, reset), func(t *testing.T) {
					t.Parallel()
					for n := range len(head) {
						f := newFake(t, respondCut(head[:n], reset))
						send, c := start(f.address)
						e := runOne(t, t.Context(), New(Options{}), send, c, &sink{})
						failIf(t, e.Phase != outcome.MaybeSent || e.Reason != outcome.UpstreamLost, "cut at byte %d: end %+v", n, e)
						failIf(t, c.Answer() != nil || c.TokenCount() != 0, "cut at byte %d: answer %+v, %d tokens", n, c.Answer(), c.TokenCount())
						if conns, requests := f.counts(); conns != 1 || requests != 1 {
							t.Fatalf("cut at byte %d: %d connections, %d requests", n, conns, requests)
						}
					}
				})
			}
		}
	}
}

package orders

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/httphead/headtest"
	"mimosaarch.example/decide/order"
)

// Guards against an order whose result counts as known although the head of the response is
// malformed.
func TestOrderWhoseResponseHasAMalformedHeadIsLost(t *testing.T) {
	for _, body := range []string{`{"engine":"e1","applied":true}`, `{"engine":"e1","applied":false}`, `{"code":"stale_fence"}`} {
		for name, response := range headtest.Malformed(fmt.Sprintf("Content-Length: %d\r\n", len(body)), body) {
			t.Run(body+"/"+name, func(t *testing.T) {
				t.Parallel()
				address := serveText(t, response)
				if got := Send(t.Context(), address, order.Send{Engine: "e1"}); got != order.Lost {
					t.Errorf("result %v", got)
				}
			})
		}
	}
}

// serveText starts an engine that answers a request with a text, and returns its address.
func serveText(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var req fasthttp.Request
		if req.Read(bufio.NewReader(conn)) == nil {
			_, _ = conn.Write([]byte(text))
		}
	}()
	return l.Addr().String()
}

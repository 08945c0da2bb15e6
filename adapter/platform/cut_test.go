package platform

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// cutResponses are responses to a write, whole.
var cutResponses = map[string]string{
	"length":        fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(objectBody), objectBody),
	"chunks":        fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(objectBody), objectBody),
	"no length":     "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + objectBody,
	"after interim": fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(objectBody), objectBody),
}

// serveCut starts a platform that answers each request with a text and ends the connection, by a
// reset if reset is true. The channel receives a value for each request.
func serveCut(t *testing.T, text string, reset bool) (*Client, <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	seen := make(chan struct{}, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			if req.Read(bufio.NewReader(conn)) == nil {
				seen <- struct{}{}
				_, _ = conn.Write([]byte(text))
			}
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return newClient(t, l.Addr().String()), seen
}

// Guards against a write that counts as done, as rejected or as not sent, or is sent again,
// although the platform ended the connection within its response.
func TestWriteWhoseResponseIsCutMayHaveTakenEffect(t *testing.T) {
	for name, whole := range cutResponses {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				for n := range len(whole) {
					c, seen := serveCut(t, whole[:n], reset)
					_, err := c.Put(t.Context(), "config/profile/a b", []byte("x"), 6)
					if !MayHaveTakenEffect(err) {
						t.Errorf("cut at byte %d: error %v", n, err)
					}
					if <-seen; len(seen) > 0 {
						t.Errorf("cut at byte %d: sent again", n)
					}
				}
			})
		}
	}
}

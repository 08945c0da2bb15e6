package upconn

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// cutResponses are responses by their form.
var cutResponses = map[string]string{
	"length":               "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 12\r\nKeep-Alive: timeout=9\r\n\r\nabcdefghijkl",
	"length first":         "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
	"chunks":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: r\r\n\r\na\r\nabcdefghij\r\n2\r\nkl\r\n0\r\n\r\n",
	"no length":            "HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\nabcdefghijkl",
	"no length, no header": "HTTP/1.1 200 OK\r\n\r\nabcdefghijkl",
	"no content":           "HTTP/1.1 204 No Content\r\nX-Id: r\r\n\r\n",
	"refusal":              "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
	"after interim":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Id: r\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
	"line feeds":           "HTTP/1.1 200 OK\nX-Id: r\nContent-Length: 12\n\nabcdefghijkl",
	"folded header":        "HTTP/1.1 200 OK\r\nX-Id: r\r\n s\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
	"chunks, trailers":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc;x=y\r\nabcdefghijkl\r\n0\r\nX-Id: r\r\n\r\n",
	"larger than a read":   "HTTP/1.1 200 OK\r\nX-Pad: " + strings.Repeat("p", 300) + "\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
}

// keptResponse lets the connection be kept.
const keptResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// writeCut writes a text, at once or in steps of one byte, and ends the connection.
func writeCut(c net.Conn, s string, steps, reset bool) {
	if steps {
		for i := range len(s) {
			_, _ = io.WriteString(c, s[i:i+1])
		}
	} else {
		_, _ = io.WriteString(c, s)
	}
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// Guards against a response that is taken for whole although the upstream ended the connection
// within its head or its body.
func TestResponseCutAtAnyByteIsAnError(t *testing.T) {
	for name, whole := range cutResponses {
		for _, reset := range []bool{false, true} {
			for _, steps := range []bool{false, true} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/reset %v/in steps %v/kept %v", name, reset, steps, kept), func(t *testing.T) {
						t.Parallel()
						end := len(whole)
						if strings.HasPrefix(name, "no length") && !reset {
							// An orderly end of the connection is the end of the body.
							end = strings.Index(whole, "\r\n\r\n") + 4
						}
						for n := range end {
							checkCut(t, whole[:n], steps, reset, kept)
						}
					})
				}
			}
		}
	}
}

// checkCut fails the test if a response that is cut is read without an error.
func checkCut(t *testing.T, cut string, steps, reset, kept bool) {
	t.Helper()
	target := serve(t, func(c net.Conn) {
		var request [1]byte
		if kept {
			_, _ = c.Read(request[:])
			_, _ = io.WriteString(c, keptResponse)
		}
		_, _ = c.Read(request[:])
		writeCut(c, cut, steps, reset)
	})
	p := NewPool(time.Now, DialDirect, nil)
	conn := connect(t, p, target, waitLong)
	if kept {
		if _, err := exchange(conn); err != nil {
			t.Fatal(err)
		}
		p.Put(conn, 0)
		if conn = connect(t, p, target, waitLong); !conn.Reused() {
			t.Fatal("the connection was not kept")
		}
	}
	if body, err := exchange(conn); err == nil {
		t.Errorf("cut at byte %d: body %q without an error", len(cut), body)
	}
}

// exchange sends a byte in place of a request and reads the response.
func exchange(conn *Conn) ([]byte, error) {
	if err := conn.Write([]byte{'?'}, time.Second); err != nil {
		return nil, err
	}
	resp, err := conn.ReadResponse("GET")
	if err != nil {
		return nil, err
	}
	return resp.Body()
}

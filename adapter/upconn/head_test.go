package upconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/httphead"
)

// Guards against a head that the parser ends at another byte than the check.
func FuzzParserEndsHeadsWhereTheCheckDoes(f *testing.F) {
	for _, response := range cutResponses {
		f.Add([]byte(response))
	}
	f.Add([]byte("HTTP/1.1 200 OK\nX: y\n\r\nZ: w\r\n\r\n"))
	f.Add([]byte("\r\nHTTP/1.1 200 OK\r\nX: y\r\n\n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		checked := bufio.NewReader(bytes.NewReader(in))
		if httphead.Await(checked) != nil {
			return
		}
		// Informational responses have been consumed.
		final, err := io.ReadAll(checked)
		if err != nil {
			t.Fatal(err)
		}
		end := bytes.Index(final, []byte("\r\n\r\n"))
		for end >= 0 && len(bytes.TrimRight(final[:end], "\r\n")) == 0 {
			// Empty lines before the status line.
			next := bytes.Index(final[end+2:], []byte("\r\n\r\n"))
			if next < 0 {
				t.Fatalf("no end of the head in %q", final)
			}
			end += 2 + next
		}
		var head fasthttp.ResponseHeader
		parsed := bufio.NewReader(bytes.NewReader(final))
		if head.Read(parsed) != nil {
			return
		}
		rest, err := io.ReadAll(parsed)
		if err != nil {
			t.Fatal(err)
		}
		if want := final[end+4:]; !bytes.Equal(rest, want) {
			t.Errorf("after the head of %q the parser leaves %q, want %q", final, rest, want)
		}
	})
}

// repeater is a connection that delivers the same bytes for each read.
type repeater struct {
	net.Conn
	text []byte
}

// Read implements net.Conn.
func (r repeater) Read(p []byte) (int, error) { return copy(p, r.text), nil }

// SetReadDeadline implements net.Conn.
func (r repeater) SetReadDeadline(time.Time) error { return nil }

func BenchmarkReadResponse(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nExample-Id: 9c41d07be2a35f68\r\nX-Example-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"X-Example-Load: 3,0,8\r\nX-Example-Versions: 12\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n"
	c := &Conn{conn: repeater{text: []byte(head)}, now: time.Now}
	c.SetWaitFunc(func(time.Duration) (time.Duration, error) { return time.Second, nil })
	c.r = bufio.NewReaderSize(c, readBufferBytes)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.ReadResponse("GET"); err != nil {
			b.Fatal(err)
		}
	}
}

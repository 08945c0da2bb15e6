package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/routing"
)

const (
	// uploadBytes is more than the kernel buffers between a node and an upstream that reads
	// nothing.
	uploadBytes = 8 << 20
	// smallBufferBytes is the receive buffer of an upstream that reads no upload.
	smallBufferBytes = 4 << 10
	// earlyAnswerDelay is the time in which the upload fills the buffers.
	earlyAnswerDelay = 20 * time.Millisecond
)

// earlyHandler answers a request of which an upstream has read only the head.
type earlyHandler func(conn *net.TCPConn, head *fasthttp.RequestHeader)

// newEarlyUpstream starts an upstream that answers before it has read the upload.
func newEarlyUpstream(t *testing.T, id, service string, answer earlyHandler) *fakeUpstream {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		failed := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBufferBytes)
		})
		return errors.Join(failed, err)
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startFakeUpstream(t, l, id, service, func(f *fakeUpstream, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		req := &fasthttp.Request{}
		// The rest of the request stays in the kernel's buffers.
		if req.Header.Read(bufio.NewReaderSize(oneByteReader{conn}, smallBufferBytes)) != nil {
			return
		}
		f.record(req)
		time.Sleep(earlyAnswerDelay)
		answer(conn.(*net.TCPConn), &req.Header)
	})
}

// oneByteReader reads single bytes, so that a parser reads no further than it has to.
type oneByteReader struct{ r io.Reader }

// Read implements io.Reader.
func (o oneByteReader) Read(p []byte) (int, error) { return o.r.Read(p[:min(len(p), 1)]) }

// respondEarly returns an earlyHandler that writes a text, with the verb %s for the request's ID,
// and then ends the connection.
func respondEarly(text string, end func(*net.TCPConn)) earlyHandler {
	return func(conn *net.TCPConn, head *fasthttp.RequestHeader) {
		if _, err := io.WriteString(conn, strings.ReplaceAll(text, "%s", string(head.Peek("Q-Id")))); err == nil {
			end(conn)
		}
	}
}

// resetAfter returns a function that resets a connection after a time.
func resetAfter(d time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		time.Sleep(d)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// closeUnread closes a connection in whose receive buffer bytes are left, which resets it.
func closeUnread(conn *net.TCPConn) { _ = conn.Close() }

// endThenReset ends the bytes of a connection in order, and then resets it.
func endThenReset(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	resetAfter(0)(conn)
}

// readThenReset reads a part of the upload and then resets the connection.
func readThenReset(conn *net.TCPConn) {
	_, _ = io.CopyN(io.Discard, conn, uploadBytes/2)
	resetAfter(0)(conn)
}

// readOn ends the bytes of a connection in order and reads the whole upload.
func readOn(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// readLater ends the bytes of a connection in order and reads nothing until it is closed.
func readLater(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	time.Sleep(time.Second)
}

// earlyEnds are the ways in which an upstream gives up a request whose upload it does not want.
var earlyEnds = map[string]func(*net.TCPConn){
	"reset at once":                  resetAfter(0),
	"reset after 3 ms":               resetAfter(3 * time.Millisecond),
	"reset after 200 ms":             resetAfter(200 * time.Millisecond),
	"reset after a part was read":    readThenReset,
	"closed with unread bytes":       closeUnread,
	"ended in order, and then reset": endThenReset,
}

// partialAnswers are parts of answers without a length.
var partialAnswers = map[string]string{
	"HTTP/1.1":   "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\n\r\npart",
	"HTTP/1.0":   "HTTP/1.0 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\n\r\npart",
	"empty part": "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\n\r\n",
}

// newUploadServer is newTestServer for bodies of uploadBytes.
func newUploadServer(t *testing.T, fakes ...*fakeUpstream) *testServer {
	t.Helper()
	r := newTestServer(t, fakes...)
	config := testConfig()
	config.Limits.MaxBodyBytes = 2 * uploadBytes
	table, err := routing.Build(config)
	if err != nil {
		t.Fatal(err)
	}
	r.table.Store(table)
	return r
}

// upload is the body of a long request.
var upload = strings.Repeat("u", uploadBytes)

// Guards against a part of an answer without a length that is passed on as the whole, because the
// write of the upload was told of the reset.
func TestPartOfAnAnswerBesideAResetUploadIsNotPassedOn(t *testing.T) {
	for name, end := range earlyEnds {
		for part, text := range partialAnswers {
			t.Run(name+"/"+part, func(t *testing.T) {
				u := newEarlyUpstream(t, "u1", "plain", respondEarly(text, end))
				r := newUploadServer(t, u)
				const requests = 6
				for i := range requests {
					resp, complete := r.ask(t, "POST", "/unsafe/x", fmt.Sprint("r", i), upload)
					if !complete || resp.StatusCode() != 502 {
						t.Errorf("request %d: response %d %q, complete %v, want 502", i, resp.StatusCode(), resp.Body(), complete)
					}
				}
				if n := len(u.requests()); n != requests {
					t.Errorf("%d sends of %d requests that may run once", n, requests)
				}
			})
		}
	}
}

// Guards against an idempotent request that ends with a part of an answer although another upstream
// has a whole one.
func TestIdempotentUploadThatIsResetIsSentElsewhere(t *testing.T) {
	for name, end := range earlyEnds {
		t.Run(name, func(t *testing.T) {
			bad := newEarlyUpstream(t, "u1", "plain", respondEarly(partialAnswers["HTTP/1.1"], end))
			good := newFakeUpstream(t, "u2", "plain", okReply("good"))
			good.Zone = "far"
			r := newUploadServer(t, bad, good)
			for i := range 6 {
				resp, complete := r.ask(t, "POST", "/safe/x", fmt.Sprint("r", i), upload)
				if !complete || resp.StatusCode() != 200 || string(resp.Body()) != "good" {
					t.Errorf("response %d %q, complete %v, want the second upstream's", resp.StatusCode(), resp.Body(), complete)
				}
			}
		})
	}
}

// earlyEvents answers with the events after the last one that a request names, up to a number,
// without a length.
func earlyEvents(to int, end func(*net.TCPConn)) earlyHandler {
	return func(conn *net.TCPConn, head *fasthttp.RequestHeader) {
		req := &fasthttp.Request{}
		head.CopyTo(&req.Header)
		text := "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"
		for id := nextEventID(req); id <= to; id++ {
			text += fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
		}
		respondEarly(text, end)(conn, head)
	}
}

// newEarlyEngine is newEarlyUpstream for an engine with all layers.
func newEarlyEngine(t *testing.T, id string, answer earlyHandler) *fakeUpstream {
	t.Helper()
	f := newEarlyUpstream(t, id, "model", answer)
	f.Card = "card"
	f.Layers = layered.Range{From: 0, To: 10}
	return f
}

// Guards against a stream without a length that ends like a whole one, also when it was resumed,
// because the write of the upload was told of the reset.
func TestStreamBesideAResetUploadResumesElsewhere(t *testing.T) {
	for name, end := range earlyEnds {
		t.Run(name, func(t *testing.T) {
			first := newEarlyEngine(t, "a", earlyEvents(2, end))
			second := newEarlyEngine(t, "b", earlyEvents(4, end))
			third := fakeEngine(t, "c", 0, 10, wholeStream(6))
			second.Zone, third.Zone = "far", "farther"
			r := newUploadServer(t, first, second, third)
			resp, complete := r.ask(t, "POST", "/stream/x", "r1", upload)
			if !complete {
				t.Errorf("response %d %q is incomplete", resp.StatusCode(), resp.Body())
			}
			wantEvents(t, resp.Body(), 1, 6)
		})
	}
}

// Guards against a stream that must not be sent again and ends like a whole one.
func TestStreamThatRunsOnceIsCutOffWithItsUpload(t *testing.T) {
	for name, end := range earlyEnds {
		t.Run(name, func(t *testing.T) {
			r := newUploadServer(t, newEarlyEngine(t, "a", earlyEvents(2, end)))
			if resp, complete := r.ask(t, "POST", "/once/x", "r1", upload); complete {
				t.Errorf("response %d %q counts as complete", resp.StatusCode(), resp.Body())
			}
		})
	}
}

// Guards against a whole answer that is lost because its upload is not written yet or is reset.
func TestWholeAnswerBesideAnUploadIsPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\n"
	for name, c := range map[string]struct {
		text string
		end  func(*net.TCPConn)
	}{
		"no length, reads on":              {head + "\r\nwhole", readOn},
		"no length, reads later":           {head + "\r\nwhole", readLater},
		"HTTP/1.0, reads on":               {"HTTP/1.0 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\n\r\nwhole", readOn},
		"length, then a reset":             {head + "Content-Length: 5\r\n\r\nwhole", resetAfter(50 * time.Millisecond)},
		"chunks, then a reset":             {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", resetAfter(50 * time.Millisecond)},
		"length, then unread bytes remain": {head + "Content-Length: 5\r\n\r\nwhole", func(conn *net.TCPConn) { time.Sleep(50 * time.Millisecond); closeUnread(conn) }},
		"chunks, reads on":                 {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", readOn},
	} {
		t.Run(name, func(t *testing.T) {
			r := newUploadServer(t, newEarlyUpstream(t, "u1", "plain", respondEarly(c.text, c.end)))
			for i := range 3 {
				resp, complete := r.ask(t, "POST", "/unsafe/x", fmt.Sprint("r", i), upload)
				if !complete || resp.StatusCode() != 200 || string(resp.Body()) != "whole" {
					t.Errorf("request %d: response %d %q, complete %v", i, resp.StatusCode(), resp.Body(), complete)
				}
			}
		})
	}
}

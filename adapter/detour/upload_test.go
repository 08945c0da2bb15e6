package detour

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/directory"
)

// uploadBytes is more than the kernel buffers on the way through a peer.
const uploadBytes = 32 << 20

// newAnsweringUpstream starts an upstream that reads one byte of each request, answers it and then
// ends the connection with a function.
func newAnsweringUpstream(t *testing.T, answer string, end func(*net.TCPConn)) *testUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.ReadFull(conn, make([]byte, 1))
				time.Sleep(20 * time.Millisecond)
				if _, err := io.WriteString(conn, answer); err == nil {
					end(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	u := &testUpstream{listener: l}
	u.Upstream = directory.Upstream{ID: ids.Instance{Upstream: "u"}, Service: "s", Address: l.Addr().String(), Revision: revision.Of(1)}
	return u
}

// reset resets a connection.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// uploadThrough uploads through a peer and reads the response.
func uploadThrough(t *testing.T, dial upconn.DialFunc, u *testUpstream) ([]byte, error) {
	t.Helper()
	conn, err := upconn.NewPool(boottime.Now, dial, nil).Get(t.Context(), u.target())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetWaitFunc(func(time.Duration) (time.Duration, error) { return waitTimeout, nil })
	conn.StartWrite([][]byte{make([]byte, uploadBytes)}, waitTimeout)
	resp, err := conn.ReadResponse("POST")
	if err != nil {
		return nil, err
	}
	return resp.Body()
}

// Guards against a part of a response without a length that is whole for the node that asked,
// because the peer's write of the upload was told of the reset.
func TestResponseThroughAPeerIsCutOffByAResetOfTheUpload(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":                          reset,
		"closed with unread bytes":       func(conn *net.TCPConn) { _ = conn.Close() },
		"ended in order, and then reset": func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			u := newAnsweringUpstream(t, "HTTP/1.1 200 OK\r\n\r\npart", end)
			a, b := newTestNode(t, "a", u), newTestNode(t, "b", u)
			a.setPeers(b)
			a.cut(syscall.EHOSTUNREACH)
			for range 10 {
				if body, err := uploadThrough(t, a.dialer.Dial, u); err == nil {
					t.Errorf("body %q without an error", body)
				}
			}
		})
	}
}

// Guards against a whole response that is lost because the peer closes the connection of the upload.
func TestWholeResponseThroughAPeerBesideAnUpload(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		end  func(*net.TCPConn)
	}{
		"no length, reads on":    {"", func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) }},
		"no length, reads later": {"", func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(time.Second) }},
		"length, then a reset":   {"Content-Length: 5\r\n", func(conn *net.TCPConn) { time.Sleep(50 * time.Millisecond); reset(conn) }},
	} {
		t.Run(name, func(t *testing.T) {
			u := newAnsweringUpstream(t, "HTTP/1.1 200 OK\r\n"+c.head+"\r\nwhole", c.end)
			a, b := newTestNode(t, "a", u), newTestNode(t, "b", u)
			a.setPeers(b)
			a.cut(syscall.EHOSTUNREACH)
			for range 5 {
				if body, err := uploadThrough(t, a.dialer.Dial, u); err != nil || string(body) != "whole" {
					t.Errorf("body %q, %v", body, err)
				}
			}
		})
	}
}

// Guards against the end that a peer of the earlier release reports although its upload was reset.
func TestEndThatAPeerDoesNotCheckIsNoEndOfAnUnwrittenUpload(t *testing.T) {
	framed := []byte("\x00\x17HTTP/1.1 200 OK\r\n\r\npart\x00\x00")
	u := newTestUpstream(t, "u")
	dial := func(answer openAnswer) upconn.DialFunc {
		return func(ctx context.Context, target upconn.Target) (upconn.NetConn, error) {
			conn, _, err := open(ctx, scriptedPeer(t, answer, framed), target, time.Minute)
			return conn, err
		}
	}
	if body, err := uploadThrough(t, dial(openAnswer{Result: connected, Framed: true}), u); err == nil {
		t.Errorf("body %q without an error", body)
	}
	if body, err := uploadThrough(t, dial(openAnswer{Result: connected, Framed: true, EndChecked: true}), u); err != nil || string(body) != "part" {
		t.Errorf("body %q, %v", body, err)
	}
}

// Guards against a whole response that is lost because the peer resets its connection after the last
// frame, and a peek at the connection is told of that.
func TestResetAfterTheLastFrameIsNoReset(t *testing.T) {
	framed := []byte("\x00\x18HTTP/1.1 200 OK\r\n\r\nwhole\x00\x00")
	conn, err := upconn.NewPool(boottime.Now, func(ctx context.Context, target upconn.Target) (upconn.NetConn, error) {
		through, _, err := open(ctx, scriptedPeer(t, openAnswer{Result: connected, Framed: true, EndChecked: true}, framed), target, time.Minute)
		return through, err
	}, nil).Get(t.Context(), newTestUpstream(t, "u").target())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetWaitFunc(func(time.Duration) (time.Duration, error) { return waitTimeout, nil })
	eventually(t, "a write to the peer fails", func() bool { return conn.Write([]byte("request"), waitTimeout) != nil })
	if conn.IsQuiet() {
		t.Fatal("the connection of a peer that has closed it is quiet")
	}
	resp, err := conn.ReadResponse("POST")
	if err != nil {
		t.Fatal(err)
	}
	if body, err := resp.Body(); err != nil || string(body) != "whole" {
		t.Errorf("body %q, %v", body, err)
	}
}

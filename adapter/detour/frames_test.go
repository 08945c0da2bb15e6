package detour

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
)

// peerProcessEnv names the variable with the address of the upstream of a peer that runs in a
// process of its own.
const peerProcessEnv = "DETOUR_TEST_UPSTREAM"

// TestPeerProcess is the peer of TestResponseThroughAKilledPeerIsNotComplete.
func TestPeerProcess(t *testing.T) {
	address := os.Getenv(peerProcessEnv)
	if address == "" {
		return
	}
	d := directory.New()
	d.Put(time.Time{}, directory.Upstream{ID: ids.Instance{Upstream: "u"}, Service: "s", Address: address})
	s := &Server{Dial: upconn.DialDirect, LinksLost: func() bool { return false }, View: d.View, Log: zerolog.Nop(), Count: func(string, int64) {}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	others := s.Listen(l)
	fmt.Println(l.Addr())
	_, _ = others.Accept() // until the process is killed
}

// Guards against a response without a length that looks complete because the process of the peer
// through which it comes was killed.
func TestResponseThroughAKilledPeerIsNotComplete(t *testing.T) {
	u := newTestUpstream(t, "u")
	peer := exec.Command(os.Args[0], "-test.run=^TestPeerProcess$")
	peer.Env = append(os.Environ(), peerProcessEnv+"="+u.Address)
	out, err := peer.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := peer.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Wait() })
	t.Cleanup(func() { _ = peer.Process.Kill() })
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	conn, _, err := open(t.Context(), strings.TrimSpace(address), u.target(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	expectEcho(t, conn)
	if err := peer.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); n > 0 || errors.Is(err, io.EOF) || err == nil {
		t.Errorf("%d bytes, error %v, want the error of a connection that was cut off", n, err)
	}
}

// scriptedPeer starts a peer that answers with a message and then writes bytes. It returns its
// address.
func scriptedPeer(t *testing.T, answer openAnswer, bytes []byte) string {
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
		r := newReader(conn)
		var req openRequest
		if _, err := r.Discard(1); err != nil || codec.ReadObject(r, &req) != nil {
			return
		}
		if codec.WriteObject(conn, answer) == nil {
			_, _ = conn.Write(bytes)
		}
	}()
	return l.Addr().String()
}

// readThrough reads all bytes that come through a scriptedPeer.
func readThrough(t *testing.T, answer openAnswer, bytes []byte) (string, error) {
	t.Helper()
	conn, _, err := open(t.Context(), scriptedPeer(t, answer, bytes), upconn.Target{}, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	got, err := io.ReadAll(conn)
	return string(got), err
}

func TestFramesCutAtAnyByteAreNoEnd(t *testing.T) {
	var framed bytes.Buffer
	w := &frameWriter{w: &framed}
	for _, part := range []string{"abc", "", "d"} {
		if _, err := io.WriteString(w, part); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.end(); err != nil {
		t.Fatal(err)
	}
	whole := framed.Bytes()
	answer := openAnswer{Result: connected, Framed: true}
	if got, err := readThrough(t, answer, whole); got != "abcd" || err != nil {
		t.Errorf("whole: %q, %v", got, err)
	}
	for n := range whole {
		if got, err := readThrough(t, answer, whole[:n]); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut at byte %d: %q, %v", n, got, err)
		}
	}
}

func TestLargeWritesTakeSeveralFrames(t *testing.T) {
	var framed bytes.Buffer
	want := bytes.Repeat([]byte("0123456789"), maxFrameBytes/4)
	w := &frameWriter{w: &framed}
	if n, err := w.Write(want); n != len(want) || err != nil {
		t.Fatal(n, err)
	}
	if err := w.end(); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(&frameReader{r: &framed}); !bytes.Equal(got, want) || err != nil {
		t.Errorf("%d bytes of %d, %v", len(got), len(want), err)
	}
}

// Guards against bytes that are lost or misread after a wait that ended in the middle of a frame.
func TestFramesAreReadOnAfterTimeouts(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		for _, b := range []byte("\x00\x02ab\x00\x01c\x00\x00") {
			time.Sleep(2 * time.Millisecond)
			_, _ = far.Write([]byte{b})
		}
	}()
	r := &frameReader{r: near}
	var got []byte
	for timeouts := 0; ; {
		if err := near.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		var p [8]byte
		n, err := r.Read(p[:])
		got = append(got, p[:n]...)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			timeouts++
		case errors.Is(err, io.EOF):
			if string(got) != "abc" || timeouts == 0 {
				t.Errorf("%q after %d timeouts", got, timeouts)
			}
			return
		case err != nil:
			t.Fatal(err)
		}
	}
}

// Guards against nodes of an earlier release, which neither ask for frames nor send them.
func TestNodesOfTheEarlierReleaseGetAndSendPlainBytes(t *testing.T) {
	if got, err := readThrough(t, openAnswer{Result: connected}, []byte("plain")); got != "plain" || err != nil {
		t.Errorf("from an earlier node: %q, %v", got, err)
	}
	u := newTestUpstream(t, "u")
	b := newTestNode(t, "b", u)
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	c := &detourConn{TCPConn: conn.(*net.TCPConn)}
	answer, err := c.request(openRequest{Upstream: u.ID.Upstream, Address: u.Address, TTLMs: waitTimeout.Milliseconds()})
	if err != nil || answer.Result != connected || answer.Framed {
		t.Fatal(answer, err)
	}
	c.upstream = c.r
	expectEcho(t, c)
}

package hostclient

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/httphead"
)

// testServer answers requests with texts and counts requests and connections.
type testServer struct {
	listener        net.Listener
	requests, conns atomic.Int64
}

// serve starts a server that answers the n-th request of each connection with the n-th text and
// then closes the connection. An empty text is no answer.
func serve(t *testing.T, texts ...string) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.answer(conn, texts)
		}
	}()
	return s
}

func (s *testServer) answer(conn net.Conn, texts []string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for _, text := range texts {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		s.requests.Add(1)
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
	}
	_, _ = r.ReadByte() // the client closes first
}

// get makes one call.
func (s *testServer) get(client *fasthttp.HostClient, method string) (*fasthttp.Response, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + client.Addr + "/")
	return resp, client.DoTimeout(req, resp, time.Second)
}

// client returns a client of the server.
func (s *testServer) client() *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: s.listener.Addr().String(), Transport: Transport{}, MaxResponseBodySize: 16}
}

func TestResponsesShareAConnection(t *testing.T) {
	const whole = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	s := serve(t, whole, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", whole)
	c := s.client()
	for i, method := range []string{"GET", "HEAD", "GET"} {
		resp, err := s.get(c, method)
		if err != nil || resp.StatusCode() != 200 || (method == "GET") != (string(resp.Body()) == "ok") {
			t.Fatalf("call %d: status %d, body %q, %v", i, resp.StatusCode(), resp.Body(), err)
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// Guards against a connection that is used again although other bytes follow its response.
func TestConnectionThatIsNotForResponsesIsClosed(t *testing.T) {
	for text, body := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n":   "ok",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok": "ok",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":                            "",
	} {
		s := serve(t, text, text)
		c := s.client()
		for range 2 {
			if resp, err := s.get(c, "GET"); err != nil || string(resp.Body()) != body {
				t.Fatalf("body %q, %v", resp.Body(), err)
			}
		}
		if n := s.conns.Load(); n != 2 {
			t.Errorf("%q: %d connections, want 2", text, n)
		}
	}
}

// Guards against a malformed response that is believed, or asked for again.
func TestMalformedOrLargeResponseIsAskedForOnce(t *testing.T) {
	var malformed *httphead.MalformedError
	s := serve(t, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok")
	if _, err := s.get(s.client(), "GET"); !errors.As(err, &malformed) {
		t.Errorf("error %v", err)
	}
	large := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n12345678901234567")
	if _, err := large.get(large.client(), "GET"); !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		t.Errorf("error %v", err)
	}
	if s.requests.Load() != 1 || large.requests.Load() != 1 {
		t.Errorf("%d and %d requests, want 1 each", s.requests.Load(), large.requests.Load())
	}
}

func TestSilenceIsATimeout(t *testing.T) {
	s := serve(t, "")
	c := s.client()
	c.ReadTimeout = 20 * time.Millisecond
	if _, err := s.get(c, "POST"); !errors.Is(err, fasthttp.ErrTimeout) {
		t.Errorf("error %v", err)
	}
}

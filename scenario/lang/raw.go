package lang

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
)

// raw is the command "raw ADDRESS FILE [half]". It sends the HTTP request in a
// file, with CRLF at the end of its header lines, and prints the status and body
// of the answer to stdout. With "half" it closes the sending side of the
// connection before it reads the answer.
func raw(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: raw address file [half]")
	}
	head, body, _ := strings.Cut(ts.ReadFile(args[1]), "\n\n")
	text := strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" + strings.TrimSuffix(body, "\n")
	conn, err := net.Dial("tcp4", args[0])
	ts.Check(err)
	defer func() { _ = conn.Close() }()
	ts.Check(conn.SetDeadline(time.Now().Add(maxWait)))
	_, err = conn.Write([]byte(text))
	ts.Check(err)
	if len(args) > 2 {
		ts.Check(conn.(*net.TCPConn).CloseWrite())
	}
	var resp fasthttp.Response
	ts.Check(resp.Read(bufio.NewReader(conn)))
	_, err = fmt.Fprintf(ts.Stdout(), "status %d\n%s\n", resp.StatusCode(), resp.Body())
	ts.Check(err)
}

// tcpServer is an upstream that reads one HTTP request on each connection, counts
// it, and closes the connection without an answer.
type tcpServer struct {
	listener net.Listener

	// mu guards requests, the number of requests read.
	mu       sync.Mutex
	requests int
}

// tcp is the command "tcp NAME". It starts a tcpServer.
func tcp(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: tcp name")
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	ts.Check(err)
	s := &tcpServer{listener: listener}
	stateOf(ts).servers[args[0]] = s
	go s.serve()
}

// addr returns the IP address and port that the server listens on.
func (s *tcpServer) addr() string { return s.listener.Addr().String() }

// close closes the listener, which ends serve.
func (s *tcpServer) close() { _ = s.listener.Close() }

// count returns the number of requests read.
func (s *tcpServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// serve accepts connections until close.
func (s *tcpServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.read(conn)
	}
}

// read reads one complete request and closes the connection.
func (s *tcpServer) read(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var req fasthttp.Request
	if req.Read(bufio.NewReader(conn)) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
}

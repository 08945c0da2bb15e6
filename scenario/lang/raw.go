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

// raw is "raw ADDRESS FILE [half]": it sends the bytes of a file, the lines of
// its head ended as HTTP wants them, and prints the answer to stdout. With
// "half" it then closes its sending side.
func raw(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: raw address file [half]")
	}
	head, body, _ := strings.Cut(ts.ReadFile(args[1]), "\n\n")
	text := strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" + strings.TrimSuffix(body, "\n")
	conn, err := net.Dial("tcp4", args[0])
	ts.Check(err)
	defer func() { _ = conn.Close() }()
	ts.Check(conn.SetDeadline(time.Now().Add(waitAtMost)))
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

// tcpServer reads HTTP requests, counts them, and closes each connection
// without an answer.
type tcpServer struct {
	listener net.Listener

	mu    sync.Mutex
	reads int
}

// tcp is "tcp NAME": it starts a tcpServer.
func tcp(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: tcp name")
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	ts.Check(err)
	s := &tcpServer{listener: listener}
	worldOf(ts).servers[args[0]] = s
	go s.serve()
}

// addr is the address listened on.
func (s *tcpServer) addr() string { return s.listener.Addr().String() }

// close stops the server.
func (s *tcpServer) close() { _ = s.listener.Close() }

// count gives the requests read.
func (s *tcpServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// serve takes connections until close.
func (s *tcpServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.read(conn)
	}
}

// read takes one request, whole, and hangs up.
func (s *tcpServer) read(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var req fasthttp.Request
	if req.Read(bufio.NewReader(conn)) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
}

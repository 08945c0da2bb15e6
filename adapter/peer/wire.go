package peer

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// wire is a connection that counts its bytes and bounds each read and write.
type wire struct {
	*net.TCPConn
	idle, write time.Duration
	count       func(Counter, int64)
}

// Read implements io.Reader.
func (w *wire) Read(b []byte) (int, error) {
	if err := w.SetReadDeadline(time.Now().Add(w.idle)); err != nil {
		return 0, err
	}
	n, err := w.TCPConn.Read(b)
	w.count(BytesReceived, int64(n))
	return n, err
}

// Write implements io.Writer.
func (w *wire) Write(b []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(w.write)); err != nil {
		return 0, err
	}
	n, err := w.TCPConn.Write(b)
	w.count(BytesSent, int64(n))
	return n, err
}

// Close implements io.Closer. What was not sent yet is dropped: a digest that
// came after a long silence would tell of ages that are not so.
func (w *wire) Close() error {
	_ = w.SetLinger(0)
	return w.TCPConn.Close()
}

// newWire wraps a connection.
func (s *Service) newWire(conn net.Conn) *wire {
	return &wire{
		TCPConn: conn.(*net.TCPConn),
		idle:    s.opts.IdleTimeout,
		write:   s.opts.CallTimeout,
		count:   s.opts.Count,
	}
}

// dial opens a connection to a peer. The error is a *DialError.
func (s *Service) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	limit, done := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer done()
	raw, err := (&net.Dialer{}).DialContext(limit, "tcp", address)
	if err != nil {
		s.opts.Count(DialsFailed, 1)
		return nil, &DialError{Address: address, Cause: err}
	}
	conn := net.Conn(s.newWire(raw))
	if s.opts.TLS != nil {
		secure := tls.Client(conn, s.opts.TLS.Client)
		if err := secure.HandshakeContext(limit); err != nil {
			_ = conn.Close()
			s.opts.Count(HandshakesFailed, 1)
			return nil, &DialError{Address: address, Handshake: true, Cause: err}
		}
		conn = secure
	}
	return s.open(ctx, conn), nil
}

// open starts JSON-RPC on a connection; either side may call.
func (s *Service) open(ctx context.Context, conn net.Conn) *jsonrpc2.Conn {
	form := &codec{invalid: func() { s.opts.Count(MessagesInvalid, 1) }}
	stream := jsonrpc2.NewBufferedStream(conn, form)
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	return jsonrpc2.NewConn(ctx, stream, &dispatcher{s}, quiet)
}

// reply is a message that can be checked.
type reply interface{ Validate() error }

// call asks a peer and checks its reply. The error is a *CallError.
func (s *Service) call(ctx context.Context, conn *jsonrpc2.Conn, method string, params any, out reply) error {
	limit, done := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer done()
	if err := conn.Call(limit, method, params, out); err != nil {
		return &CallError{Method: method, Cause: err}
	}
	if err := out.Validate(); err != nil {
		s.opts.Count(MessagesInvalid, 1)
		return &CallError{Method: method, Cause: err}
	}
	return nil
}

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

// meteredConn is a TCP connection that counts its bytes and sets a deadline for
// each read and write.
type meteredConn struct {
	*net.TCPConn
	idleTimeout, writeTimeout time.Duration
	count                     func(Counter, int64)
}

// Read implements io.Reader.
func (w *meteredConn) Read(b []byte) (int, error) {
	if err := w.SetReadDeadline(time.Now().Add(w.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := w.TCPConn.Read(b)
	w.count(BytesReceived, int64(n))
	return n, err
}

// Write implements io.Writer.
func (w *meteredConn) Write(b []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(w.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := w.TCPConn.Write(b)
	w.count(BytesSent, int64(n))
	return n, err
}

// Close implements io.Closer. It discards unsent data: a digest delivered after
// a long network outage would carry ages that are too low.
func (w *meteredConn) Close() error {
	_ = w.SetLinger(0)
	return w.TCPConn.Close()
}

// newMeteredConn wraps a TCP connection.
func (s *Service) newMeteredConn(conn net.Conn) *meteredConn {
	return &meteredConn{
		TCPConn:      conn.(*net.TCPConn),
		idleTimeout:  s.opts.IdleTimeout,
		writeTimeout: s.opts.CallTimeout,
		count:        s.opts.Count,
	}
}

// dial opens a connection to a peer, with TLS if it is configured. The error is
// a *DialError.
func (s *Service) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(callCtx, "tcp", address)
	if err != nil {
		s.opts.Count(DialsFailed, 1)
		return nil, &DialError{Address: address, Cause: err}
	}
	conn := net.Conn(s.newMeteredConn(raw))
	if s.opts.TLS != nil {
		secure := tls.Client(conn, s.opts.TLS.Client)
		if err := secure.HandshakeContext(callCtx); err != nil {
			_ = conn.Close()
			s.opts.Count(HandshakesFailed, 1)
			return nil, &DialError{Address: address, Handshake: true, Cause: err}
		}
		conn = secure
	}
	return s.open(ctx, conn), nil
}

// open starts JSON-RPC on a connection. Both sides may make calls.
func (s *Service) open(ctx context.Context, conn net.Conn) *jsonrpc2.Conn {
	messages := &codec{onMalformed: func() { s.opts.Count(MessagesInvalid, 1) }}
	stream := jsonrpc2.NewBufferedStream(conn, messages)
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	return jsonrpc2.NewConn(ctx, stream, &dispatcher{s}, quiet)
}

// validator is a message that can be validated.
type validator interface{ Validate() error }

// call calls a method of a peer, decodes the reply into out and validates it.
// The error is a *CallError.
func (s *Service) call(ctx context.Context, conn *jsonrpc2.Conn, method string, params any, out validator) error {
	callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	if err := conn.Call(callCtx, method, params, out); err != nil {
		return &CallError{Method: method, Cause: err}
	}
	if err := out.Validate(); err != nil {
		s.opts.Count(MessagesInvalid, 1)
		return &CallError{Method: method, Cause: err}
	}
	return nil
}

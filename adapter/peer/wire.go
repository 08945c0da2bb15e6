package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"log"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/peerapi"
)

// codec frames messages by their length and refuses those above the bound
// before they are read.
type codec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := peekSize(stream)
	if err != nil {
		return err
	}
	if size > peerapi.MaxMessage {
		return &peerapi.OversizeError{Field: "message", Size: int(min(size, maxInt)), Limit: peerapi.MaxMessage}
	}
	return c.VarintObjectCodec.ReadObject(stream, v)
}

// maxInt bounds the size that an OversizeError tells.
const maxInt = 1<<31 - 1

// peekSize gives the length that stands before a message, without taking it.
func peekSize(stream *bufio.Reader) (uint64, error) {
	for n := 1; n <= binary.MaxVarintLen64; n++ {
		head, err := stream.Peek(n)
		if err != nil {
			return 0, err
		}
		size, used := binary.Uvarint(head)
		if used > 0 {
			return size, nil
		}
		if used < 0 {
			break
		}
	}
	return 0, &peerapi.InvalidError{Field: "message", Detail: "no length"}
}

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
	stream := jsonrpc2.NewBufferedStream(conn, codec{})
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

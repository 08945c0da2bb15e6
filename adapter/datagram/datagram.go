// Package datagram carries small messages between nodes over UDP. A message may be lost,
// arrive twice or arrive out of order, so each kind of message must tolerate that.
//
// A message is one byte for its kind followed by the payload. Handlers are registered
// before Serve is called.
package datagram

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// MaxPayloadBytes is the largest payload of a message. Together with the headers it stays
// below the usual MTU of 1,500 bytes, so that no message is fragmented.
const MaxPayloadBytes = 1200

// Kind identifies the type of a message. Values are part of the protocol between nodes.
type Kind byte

// Kinds of messages.
const (
	// EngineLost reports that the host of an engine refuses connections.
	EngineLost Kind = 1
	// EngineCounts carries the counts of one node for a shard of the engines.
	EngineCounts Kind = 2
	// EngineSums answers EngineCounts with sums over nodes.
	EngineSums Kind = 3
	// EngineSilent reports that an engine does not answer. Earlier releases drop it.
	EngineSilent Kind = 4
)

// kindNames are the names of kinds in metrics.
var kindNames = map[Kind]string{EngineLost: "engine_lost", EngineCounts: "engine_counts", EngineSums: "engine_sums", EngineSilent: "engine_silent"}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// Handler receives the payload of a message. It must not block, and must not keep payload
// after it returns. from is the address of the sender's socket.
type Handler func(from netip.AddrPort, payload []byte)

// Metrics counts events by name.
type Metrics interface {
	Add(name string, n int64)
}

// Socket sends and receives messages. Send may be called from any goroutine.
type Socket struct {
	conn     *net.UDPConn
	metrics  Metrics
	handlers map[Kind]Handler
}

// ListenError is returned when the socket cannot be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for datagrams on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the underlying network error.
func (e *ListenError) Unwrap() error { return e.Cause }

// SizeError reports a payload above MaxPayloadBytes. Nothing was sent.
type SizeError struct {
	Kind Kind
	// Bytes is the size of the payload.
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s message of %d bytes exceeds %d bytes", e.Kind, e.Bytes, MaxPayloadBytes)
}

// Listen opens the socket on an address "IP:port". The error is a *ListenError.
func Listen(address string, metrics Metrics) (*Socket, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return &Socket{conn: conn, metrics: metrics, handlers: make(map[Kind]Handler)}, nil
}

// Handle registers the handler of a kind. It must be called before Serve.
func (s *Socket) Handle(kind Kind, handler Handler) { s.handlers[kind] = handler }

// Addr returns the address of the socket.
func (s *Socket) Addr() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Send sends a message. The error is a *SizeError or that of the system call; no error
// does not mean that the message arrives.
func (s *Socket) Send(to netip.AddrPort, kind Kind, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return &SizeError{Kind: kind, Bytes: len(payload)}
	}
	message := make([]byte, 0, 1+len(payload))
	message = append(append(message, byte(kind)), payload...)
	_, err := s.conn.WriteToUDPAddrPort(message, to)
	s.metrics.Add("datagrams.sent."+kind.String(), 1)
	return err
}

// readRetryDelay is the wait after a failed read, which is usually the report of an
// unreachable peer to which a message was sent.
const readRetryDelay = 5 * time.Millisecond

// Serve passes arriving messages to their handlers until ctx ends, one at a time. It
// closes the socket.
func (s *Socket) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // the socket is gone either way
	defer stop()
	buffer := make([]byte, 1+MaxPayloadBytes+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.metrics.Add("datagrams.read_failed", 1)
			time.Sleep(readRetryDelay)
		default:
			// A socket on all addresses reports IPv4 senders by their IPv6-mapped addresses.
			s.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
		}
	}
}

// receive passes one message to its handler.
func (s *Socket) receive(from netip.AddrPort, message []byte) {
	if len(message) == 0 || len(message) > 1+MaxPayloadBytes {
		s.metrics.Add("datagrams.malformed", 1)
		return
	}
	kind := Kind(message[0])
	handler := s.handlers[kind]
	if handler == nil {
		s.metrics.Add("datagrams.unknown_kind", 1)
		return
	}
	s.metrics.Add("datagrams.received."+kind.String(), 1)
	handler(from, message[1:])
}

package upconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ConnectTimeout bounds a dial. Zones are a few ms apart; TCP resends a lost
	// packet only after a second, which is too late.
	ConnectTimeout = 150 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	tcpUserTimeout = 2 * time.Second
)

// NetConn is an open connection on which pending input can be detected without a read.
type NetConn interface {
	net.Conn
	syscall.Conn
}

// SingleExchange is implemented by connections that carry one exchange and are then closed.
type SingleExchange interface{ SingleExchange() }

// Staleness is implemented by connections that may turn out to be dead while they are idle.
type Staleness interface {
	// Stale reports whether the connection must not be used again.
	Stale() bool
}

// EndConfirmer is implemented by connections that pass through another node.
type EndConfirmer interface {
	// EndConfirmed reports whether reads return io.EOF only after an orderly end of the upstream's
	// bytes, whatever becomes of writes.
	EndConfirmed() bool
}

// DialFunc opens a connection to a target. The error is a *DialError.
type DialFunc func(ctx context.Context, t Target) (NetConn, error)

// DialDirect is the DialFunc that connects to the target's address over TCP.
func DialDirect(ctx context.Context, t Target) (NetConn, error) {
	conn, err := NewDialer(ConnectTimeout).DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, &DialError{Target: t, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	return conn.(*net.TCPConn), nil
}

// NewDialer returns a dialer whose connections close by themselves only if sent bytes stay
// unacknowledged for tcpUserTimeout. They send no keep-alive probes: with TCP_USER_TIMEOUT set,
// one probe without an answer for that long ends an idle connection, whatever the number of
// probes allowed. timeout bounds a dial, 0 for no bound.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: setUserTimeout, KeepAlive: -1}
}

// NewListenConfig returns the settings of listeners whose connections are like those of
// NewDialer.
func NewListenConfig() *net.ListenConfig {
	return &net.ListenConfig{Control: setUserTimeout, KeepAlive: -1}
}

// setUserTimeout is a Control function for net.ListenConfig and net.Dialer. It
// makes the kernel close a connection whose sent bytes stay unacknowledged for
// tcpUserTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

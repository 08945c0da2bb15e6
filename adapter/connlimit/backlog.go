package connlimit

import (
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// BacklogError reports that the backlog of a listener could not be set.
type BacklogError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *BacklogError) Error() string {
	return fmt.Sprintf("set the backlog of %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *BacklogError) Unwrap() error { return e.Cause }

// SetBacklog bounds the connections that wait to be accepted by a TCP listener. The kernel takes
// one more than maxWaiting, and not more than its own limit. It ignores the handshakes of others,
// which their clients repeat. The error is a *BacklogError.
func SetBacklog(l net.Listener, maxWaiting int) error {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return &BacklogError{Address: l.Addr().String(), Cause: fmt.Errorf("a %T has no socket", l)}
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return &BacklogError{Address: l.Addr().String(), Cause: err}
	}
	var listenErr error
	// A second listen call on a socket only changes its backlog.
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), maxWaiting) })
	if err == nil {
		err = listenErr
	}
	if err != nil {
		return &BacklogError{Address: l.Addr().String(), Cause: err}
	}
	return nil
}

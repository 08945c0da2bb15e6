package link

import (
	"net"
	"syscall"
	"time"
)

// heldPort keeps the port of a closed listener: connections to it are refused, and no other process
// is given it as a free port. Listen on the port works meanwhile.
type heldPort struct{ fd int }

// holdPort takes the port of a TCP address of IPv4 whose listener has been closed. The error is the
// one of the system call.
func holdPort(addr *net.TCPAddr) (*heldPort, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	h := &heldPort{fd: fd}
	// Connections of the closed listener may still use the port.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		h.release()
		return nil, err
	}
	sa := &syscall.SockaddrInet4{Port: addr.Port}
	copy(sa.Addr[:], addr.IP.To4())
	for end := time.Now().Add(holdTimeout); ; time.Sleep(time.Millisecond) {
		err := syscall.Bind(fd, sa)
		if err == nil {
			return h, nil
		}
		if err != syscall.EADDRINUSE || time.Now().After(end) {
			h.release()
			return nil, err
		}
	}
}

// holdTimeout limits the wait for the end of the listener: a process that this one starts has it open
// from fork to exec.
const holdTimeout = time.Second

// release gives the port back.
func (h *heldPort) release() { _ = syscall.Close(h.fd) }

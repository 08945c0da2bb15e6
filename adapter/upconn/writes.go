package upconn

import (
	"cmp"
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// endSettleTimeout is how long the result of a write is waited for after the other side has ended
// the connection. Where it has closed the connection, a reset arrives within a round trip.
const endSettleTimeout = 100 * time.Millisecond

// Writes knows what has become of the writes to a connection that is read at the same time. The
// kernel reports a reset to one operation. If that is a write, the reads after it return what had
// arrived and then io.EOF, as they do after an orderly end. Its methods are safe for concurrent use.
type Writes struct {
	mu sync.Mutex
	// underWay is true while a write is under way, and idle, unless nil, is closed when it ends.
	underWay bool
	idle     chan struct{}
	// err is the error of the first write that failed.
	err error
}

// Do makes a write and returns its error. Writes must not overlap.
func (w *Writes) Do(write func() error) error {
	w.begin()
	err := write()
	w.end(err)
	return err
}

// Go makes a write in its own goroutine.
func (w *Writes) Go(write func() error) {
	w.begin()
	go func() { w.end(write()) }()
}

// begin marks the beginning of a write.
func (w *Writes) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay = true
}

// end marks the end of a write.
func (w *Writes) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay = false
	w.err = cmp.Or(w.err, err)
	if w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

// Done reports whether all writes have ended without an error.
func (w *Writes) Done() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.underWay && w.err == nil
}

// CheckEnd returns nil if the other side has ended its bytes in order on a connection whose reads
// return io.EOF: no write has failed, or the other side can still read what was not written. It
// waits up to endSettleTimeout for a write that is under way. Otherwise it returns the error of the
// write that failed, or syscall.ECONNRESET.
func (w *Writes) CheckEnd(raw syscall.RawConn) error {
	underWay, err := w.settle()
	if !underWay && err == nil {
		return nil
	}
	// A write that takes too long fails by its deadline, whatever the other side does.
	if (underWay || errors.Is(err, os.ErrDeadlineExceeded)) && isHalfClosed(raw) {
		return nil
	}
	return cmp.Or[error](err, syscall.ECONNRESET)
}

// settle waits until no write is under way or endSettleTimeout has passed. It reports whether one
// still is, and the error of the writes so far.
func (w *Writes) settle() (underWay bool, err error) {
	w.mu.Lock()
	if w.underWay && w.idle == nil {
		w.idle = make(chan struct{})
	}
	idle := w.idle
	w.mu.Unlock()
	if idle != nil {
		timer := time.NewTimer(endSettleTimeout)
		defer timer.Stop()
		select {
		case <-idle:
		case <-timer.C:
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.underWay, w.err
}

// isHalfClosed reports whether the other side of a connection has ended its bytes in order and has
// not reset the connection since.
func isHalfClosed(raw syscall.RawConn) bool {
	var info *unix.TCPInfo
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return controlErr == nil && err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}

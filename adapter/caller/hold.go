package caller

import (
	"errors"
	"time"

	"mimosaarch.example/adapter/gate"
	"mimosaarch.example/decide/intake"
)

const (
	// longAnswerBytes is the size from which on an answer is counted while it is written. A shorter
	// one fits into the socket's buffer.
	longAnswerBytes = 16 << 10
	// writeStepBytes is the number of bytes of a long answer after which progress is reported.
	writeStepBytes = 64 << 10
)

// enter changes what the connection is doing. It reports whether the connection is still wanted.
// Like the methods below it does nothing for a nil connection, one that was not accepted by a
// listener of this package.
func (c *conn) enter(s intake.State) bool {
	return c == nil || c.hold.Enter(s)
}

// reserve waits until the connection may hold n more bytes. The error is a *gate.ShedError.
func (c *conn) reserve(n int64) error {
	if c == nil {
		return nil
	}
	return c.hold.Reserve(n)
}

// release gives back n bytes.
func (c *conn) release(n int64) {
	if c != nil {
		c.hold.Release(n)
	}
}

// keepNothing gives back all that the connection holds.
func (c *conn) keepNothing() {
	if c != nil {
		c.hold.KeepOnly(0)
	}
}

// progress records that n bytes have arrived.
func (c *conn) progress(n int) {
	if c != nil {
		c.hold.Progress(n)
	}
}

// isRevoked reports whether the connection has to give way to others.
func (c *conn) isRevoked() bool { return c != nil && c.hold.Revoked() != nil }

// interrupt ends reads, since the connection is revoked, and the write of a long answer.
func (c *conn) interrupt() {
	c.interrupted.Store(true)
	// A connection that is closed already needs no deadline.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	if c.delivering.Load() {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
}

// deliver prepares the connection for a long answer of n bytes. The error is a *gate.ShedError.
func (c *conn) deliver(n int) error {
	if c == nil || n <= longAnswerBytes {
		return nil
	}
	if err := c.hold.Reserve(int64(n)); err != nil {
		return err
	}
	c.delivering.Store(true)
	c.hold.Enter(intake.Delivering)
	return nil
}

// writeInSteps writes a part of a long answer and reports its progress.
func (c *conn) writeInSteps(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := c.Conn.Write(p[written:min(written+writeStepBytes, len(p))])
		written += n
		c.hold.Progress(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// lingerUnlessUnwanted makes Close discard what the caller still sends, unless the connection has
// to give way to new ones.
func (c *conn) lingerUnlessUnwanted() {
	if c == nil {
		return
	}
	var shed *gate.ShedError
	if errors.As(c.hold.Revoked(), &shed) && shed.Reason == intake.Connections {
		return
	}
	c.linger.Store(true)
}

// finishRequest gives back what a request and its response have held.
func (c *conn) finishRequest() {
	c.delivering.Store(false)
	c.hold.KeepOnly(0)
	c.hold.Enter(intake.Waiting)
}

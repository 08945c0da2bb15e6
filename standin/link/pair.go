package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Size of the buffer of one direction: the number of chunks and the bytes in each.
const (
	chunksInFlight = 256
	chunkBytes     = 16 << 10
)

// chunk holds bytes that may be written from time due. A nil data marks the end of
// the direction, in order or, if reset is true, by a reset.
type chunk struct {
	data  []byte
	reset bool
	due   time.Time
}

// pair is a caller's connection and the connection to the target that it is relayed
// to.
type pair struct {
	faults *faults
	// stop is closed by reset, silenced by silence.
	stop, silenced        chan struct{}
	stopOnce, silenceOnce sync.Once
	mu                    sync.Mutex
	conns                 []*net.TCPConn
	ended                 bool // set by reset
}

// newPair returns a pair that has only the caller's connection so far.
func newPair(caller *net.TCPConn, f *faults) *pair {
	return &pair{
		faults:   f,
		stop:     make(chan struct{}),
		silenced: make(chan struct{}),
		conns:    []*net.TCPConn{caller},
	}
}

// run relays bytes between the caller and target until both directions have ended or
// the pair is reset.
func (p *pair) run(target *net.TCPConn) {
	p.mu.Lock()
	caller := p.conns[0]
	p.conns = append(p.conns, target)
	ended := p.ended
	p.mu.Unlock()
	if ended {
		abort(target)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copyBytes(toTarget, caller, target) })
	both.Go(func() { p.copyBytes(fromTarget, target, caller) })
	both.Wait()
	_ = caller.Close()
	_ = target.Close()
}

// copyBytes relays one direction until the end of its source or a reset.
func (p *pair) copyBytes(d direction, from, to *net.TCPConn) {
	chunks := make(chan chunk, chunksInFlight)
	var reader sync.WaitGroup
	reader.Go(func() { p.read(d, from, chunks) })
	p.write(d, to, chunks)
	reader.Wait()
}

// read reads from a connection and sends the bytes to chunks, with the time at which
// each chunk is due. It closes chunks when it returns.
func (p *pair) read(d direction, from *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	var freeAt time.Time
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		now := time.Now()
		delay, transmission := p.faults.pace(n)
		if freeAt.Before(now) {
			freeAt = now
		}
		freeAt = freeAt.Add(transmission)
		c := chunk{data: data[:n], due: freeAt.Add(delay)}
		if err != nil {
			c.data = nil
			c.reset = !errors.Is(err, io.EOF) || d == fromTarget && isClosed(from)
		}
		select {
		case chunks <- c:
		case <-p.stop:
			return
		}
		if err != nil {
			return
		}
	}
}

// isClosed reports whether a connection is closed on both sides. If a read has returned io.EOF, it may
// have been reset: the kernel reports that only once, here to the write of the other direction.
func isClosed(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return controlErr != nil || err != nil || info.State == unix.BPF_TCP_CLOSE
}

// write writes each chunk when it is due and forwards the end of the source. A failed
// write resets the pair.
func (p *pair) write(d direction, to *net.TCPConn, chunks <-chan chunk) {
	for c := range chunks {
		if !p.waitUntilDue(d, c.due) {
			return
		}
		if c.reset {
			p.reset()
			return
		}
		if c.data == nil {
			_ = to.CloseWrite()
			return
		}
		if _, err := to.Write(c.data); err != nil {
			p.reset()
			return
		}
	}
}

// waitUntilDue blocks until bytes due at a time may be written in a direction. It
// returns false after a reset; for a silenced pair it blocks until then.
func (p *pair) waitUntilDue(d direction, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.stop:
			return false
		}
	}
	if !p.faults.waitWhileSilenced(d, p.stop) {
		return false
	}
	select {
	case <-p.silenced:
		<-p.stop
		return false
	case <-p.stop:
		return false
	default:
		return true
	}
}

// silence permanently holds back all further bytes and the end of either side.
func (p *pair) silence() { p.silenceOnce.Do(func() { close(p.silenced) }) }

// reset aborts both connections.
func (p *pair) reset() {
	p.stopOnce.Do(func() { close(p.stop) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a TCP reset.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

package link

import (
	"net"
	"sync"
	"time"
)

// Sizes of a direction's buffer: chunks in flight and bytes in each.
const (
	chunksInFlight = 256
	chunkBytes     = 16 << 10
)

// chunk is bytes to be written at a time. A nil data ends the direction.
type chunk struct {
	data []byte
	due  time.Time
}

// pair is one caller's connection joined to one at the target.
type pair struct {
	gate *gate
	// stop is closed by reset, silent by silence.
	stop, silent         chan struct{}
	stopOnce, silentOnce sync.Once
	mu                   sync.Mutex
	conns                []*net.TCPConn
	ended                bool
}

// newPair starts with the caller's side.
func newPair(caller *net.TCPConn, g *gate) *pair {
	return &pair{
		gate:   g,
		stop:   make(chan struct{}),
		silent: make(chan struct{}),
		conns:  []*net.TCPConn{caller},
	}
}

// run carries bytes both ways until both directions ended or reset.
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
	both.Go(func() { p.direction(there, caller, target) })
	both.Go(func() { p.direction(back, target, caller) })
	both.Wait()
	_ = caller.Close()
	_ = target.Close()
}

// direction carries bytes one way until the source ends.
func (p *pair) direction(w way, from, to *net.TCPConn) {
	line := make(chan chunk, chunksInFlight)
	var reader sync.WaitGroup
	reader.Go(func() { p.read(from, line) })
	p.write(w, to, line)
	reader.Wait()
}

// read puts what arrives on the line; it always closes the line.
func (p *pair) read(from *net.TCPConn, line chan<- chunk) {
	defer close(line)
	var free time.Time
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		now := time.Now()
		delay, occupy := p.gate.pace(n)
		if free.Before(now) {
			free = now
		}
		free = free.Add(occupy)
		c := chunk{data: data[:n], due: free.Add(delay)}
		if err != nil {
			c.data = nil
		}
		select {
		case line <- c:
		case <-p.stop:
			return
		}
		if err != nil {
			return
		}
	}
}

// write writes the line's chunks when due, and passes the source's end on. A
// failed write resets the pair.
func (p *pair) write(w way, to *net.TCPConn, line <-chan chunk) {
	for c := range line {
		if !p.ready(w, c.due) {
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

// ready waits until bytes due at a time may be written a way; false after reset.
func (p *pair) ready(w way, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.stop:
			return false
		}
	}
	if !p.gate.pass(w, p.stop) {
		return false
	}
	select {
	case <-p.silent:
		<-p.stop
		return false
	case <-p.stop:
		return false
	default:
		return true
	}
}

// silence holds back all further bytes, and the ends of both sides, for good.
func (p *pair) silence() { p.silentOnce.Do(func() { close(p.silent) }) }

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

// abort closes a connection with a reset.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

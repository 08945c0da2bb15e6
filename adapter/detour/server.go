package detour

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
)

const (
	// maxOpen bounds the connections that a node has open for others. Each takes two
	// descriptors and two buffers of pipeBufferBytes.
	maxOpen = 512
	// pipeBufferBytes holds several events of a stream.
	pipeBufferBytes = 4 << 10
	// shortRequestBytes is the size of requests that nodes send at once, before they read the
	// response.
	shortRequestBytes = 32 << 10
	// openTimeout bounds the wait for the request and the write of the answer.
	openTimeout = time.Second
	// connectTimeout bounds the connection to the upstream, so that the answer arrives before
	// the other node's attempt times out.
	connectTimeout = 90 * time.Millisecond
	// maxControls is the number of other upstreams that are tried after one has refused a
	// connection. It is odd, so that most of them agree.
	maxControls = 3
	// controlTTL is how long the result of these attempts is used.
	controlTTL = time.Second
)

// Server connects to upstreams for other nodes. Its methods are safe for concurrent use.
type Server struct {
	// Dial opens connections over this node's own links.
	Dial upconn.DialFunc
	// LinksLost reports whether this node has lost its own links to all upstreams.
	LinksLost func() bool
	// View returns the directory. Only its upstreams are connected to.
	View func() *directory.View
	// MaxOpen lowers the bound of the connections that are open for others. 0 leaves it at maxOpen.
	MaxOpen int
	Log     zerolog.Logger
	// Count adds to a counter.
	Count func(name string, n int64)

	// mu protects checked, the latest checks of services' other upstreams.
	mu      sync.Mutex
	checked map[ids.Service]control

	open             atomic.Int64
	stopping, closed atomic.Bool
}

// Open returns the number of connections that are open for others.
func (s *Server) Open() int64 { return s.open.Load() }

// Stop asks other nodes to prefer others from now on.
func (s *Server) Stop() { s.stopping.Store(true) }

// Close refuses new connections. Those that are open live on.
func (s *Server) Close() { s.closed.Store(true) }

// tcpConn is the connection of a peer.
type tcpConn interface {
	net.Conn
	// SetLinger is that of *net.TCPConn.
	SetLinger(sec int) error
}

// limit returns the most connections that are open for others.
func (s *Server) limit() int64 { return int64(min(cmp.Or(s.MaxOpen, maxOpen), maxOpen)) }

// serve serves a connection whose preface was read.
func (s *Server) serve(conn tcpConn) {
	defer func() { _ = conn.Close() }() // the peer sees the end either way
	if conn.SetDeadline(time.Now().Add(openTimeout)) != nil {
		return
	}
	r := newReader(conn)
	var req openRequest
	if err := codec.ReadObject(r, &req); err != nil {
		s.Count("detour.malformed", 1)
		return
	}
	if s.open.Add(1) > s.limit() || s.closed.Load() {
		s.open.Add(-1)
		s.answer(conn, req, busy)
		return
	}
	defer s.open.Add(-1)
	up, outcome := s.connect(req)
	if !s.answer(conn, req, outcome) || up == nil {
		if up != nil {
			_ = up.Close() // nothing was sent on it
		}
		return
	}
	end := time.Now().Add(min(time.Duration(req.TTLMs)*time.Millisecond, maxTTL))
	pipe(conn, r, up, end, req.Framed)
}

// answer writes the answer and reports whether it was written.
func (s *Server) answer(conn net.Conn, req openRequest, r result) bool {
	s.Count("detour.taken."+string(r), 1)
	if r != connected {
		s.Log.Info().Str("event", "detour_declined").Str("upstream", string(req.Upstream)).Str("address", req.Address).
			Str("from", conn.RemoteAddr().String()).Str("result", string(r)).Int64("open", s.open.Load()).Send()
	}
	return codec.WriteObject(conn, openAnswer{Result: r, LinksLost: s.LinksLost(), Stopping: s.stopping.Load(), Open: int(s.open.Load()), Framed: req.Framed, EndChecked: req.Framed}) == nil
}

// connect connects to the upstream of a request. The connection is nil unless the result is
// connected.
func (s *Server) connect(req openRequest) (upconn.NetConn, result) {
	u := s.upstream(req)
	if u == nil {
		return nil, unknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := s.Dial(ctx, upconn.Target{ID: u.ID, Address: u.Address})
	switch {
	case err == nil:
		return conn, connected
	case isRefused(err) && s.othersAccept(ctx, u):
		return nil, refused
	}
	return nil, unreachable
}

// upstream returns the upstream of a request, nil if the directory has none with that name
// and address.
func (s *Server) upstream(req openRequest) *directory.Upstream {
	for _, u := range s.View().All() {
		if u.ID.Upstream == req.Upstream && u.Address == req.Address {
			return u
		}
	}
	return nil
}

// othersAccept reports whether most of some other upstreams of the same service accept
// connections, or there is no other. If they do not, the links of this node may be at fault
// when an upstream refuses. A result is used for controlTTL, so that the end of one upstream,
// of which many nodes ask, costs few connections to the others.
func (s *Server) othersAccept(ctx context.Context, refusing *directory.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, known := s.checked[refusing.Service]; known && time.Since(c.at) < controlTTL {
		return c.accept
	}
	accept := s.mostAccept(ctx, s.controls(refusing))
	if s.checked == nil {
		s.checked = make(map[ids.Service]control)
	}
	s.checked[refusing.Service] = control{at: time.Now(), accept: accept}
	return accept
}

// control is the result of a check of other upstreams of a service.
type control struct {
	at     time.Time
	accept bool
}

// mostAccept tries upstreams one after another until most of them have accepted a connection or
// have not. It reports whether they do, also if there are none.
func (s *Server) mostAccept(ctx context.Context, upstreams []*directory.Upstream) bool {
	accepted, failed := 0, 0
	for _, u := range upstreams {
		conn, err := s.Dial(ctx, upconn.Target{ID: u.ID, Address: u.Address})
		if err == nil {
			_ = conn.Close() // nothing was sent on it
			accepted++
		} else {
			failed++
		}
		if 2*accepted > len(upstreams) || 2*failed > len(upstreams) {
			break
		}
	}
	return accepted > failed || len(upstreams) == 0
}

// controls returns up to maxControls random upstreams of the service of a given one.
func (s *Server) controls(refusing *directory.Upstream) []*directory.Upstream {
	all := s.View().ByService(refusing.Service)
	var controls []*directory.Upstream
	for _, i := range rand.Perm(len(all)) {
		if u := all[i]; u.ID != refusing.ID && !u.Leaving && len(controls) < maxControls {
			controls = append(controls, u)
		}
	}
	return controls
}

// pipe passes bytes both ways until one side ends or the time end. r reads from peer. framed
// reports whether the peer expects frames.
func pipe(peer tcpConn, r *bufio.Reader, up upconn.NetConn, end time.Time, framed bool) {
	if peer.SetDeadline(end) != nil || up.SetDeadline(end) != nil {
		_ = up.Close() // nothing was sent on it
		return
	}
	writes := &upconn.Writes{}
	var once sync.Once
	var pending sync.WaitGroup
	pending.Go(func() {
		copyRequest(up, r, writes)
		// The upstream notices that its client is gone.
		once.Do(func() { _ = up.Close() })
	})
	if !copyResponse(peer, up, writes, framed) {
		// A response that was cut off must not look like one that has ended.
		_ = peer.SetLinger(0) // fails only if the connection is already closed
	}
	_ = peer.Close() // ends the other direction
	once.Do(func() { _ = up.Close() })
	pending.Wait()
}

// copyRequest passes the bytes of the client on to the upstream until either side ends. The rest of
// a long request counts as one write, so that an end of the response in the middle of it is checked.
func copyRequest(up io.Writer, r *bufio.Reader, writes *upconn.Writes) {
	if copyBytes(trackedWriter{to: up, writes: writes}, io.LimitReader(r, shortRequestBytes)) != nil {
		return
	}
	if _, err := r.Peek(1); err != nil {
		return // the client has ended
	}
	// The error counts once the response ends.
	_ = writes.Do(func() error { return copyBytes(up, r) })
}

// trackedWriter writes to a connection and keeps the results of its writes.
type trackedWriter struct {
	to     io.Writer
	writes *upconn.Writes
}

// Write implements io.Writer.
func (w trackedWriter) Write(p []byte) (n int, err error) {
	err = w.writes.Do(func() error {
		n, err = w.to.Write(p)
		return err
	})
	return n, err
}

// copyResponse passes the upstream's bytes on to peer. writes are those to the upstream. It reports
// whether the bytes ended in order and the peer was told so.
func copyResponse(peer net.Conn, up upconn.NetConn, writes *upconn.Writes, framed bool) bool {
	var to io.Writer = peer
	frames := &frameWriter{w: peer}
	if framed {
		to = frames
	}
	raw, err := up.SyscallConn()
	if err != nil || copyBytes(to, up) != nil || writes.CheckEnd(raw) != nil {
		return false
	}
	return !framed || frames.end() == nil
}

// copyBytes passes bytes on until the source ends or either side fails. It returns nil if the
// source ended in order.
func copyBytes(to io.Writer, from io.Reader) error {
	buffer := make([]byte, pipeBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"mimosaarch.example/core/every"
)

// acceptPause is the wait after a connection could not be accepted.
const acceptPause = 50 * time.Millisecond

// accept takes peers' connections until ctx ends.
func (s *Service) accept(ctx context.Context) {
	free := make(chan struct{}, s.opts.MaxLinks)
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			closeAll(conn)
			return
		}
		if err != nil {
			every.Sleep(ctx, acceptPause)
			continue
		}
		select {
		case free <- struct{}{}:
		default:
			s.opts.Count(LinksRefused, 1)
			closeAll(conn)
			continue
		}
		s.duties.Go(func() {
			defer func() { <-free }()
			s.serve(ctx, s.newWire(conn))
		})
	}
}

// closeAll closes a connection, if there is one.
func closeAll(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// serve answers one peer's calls until the connection ends.
func (s *Service) serve(ctx context.Context, conn net.Conn) {
	if s.opts.TLS != nil {
		secure := tls.Server(conn, s.opts.TLS.Server)
		if err := s.handshake(ctx, secure); err != nil {
			_ = conn.Close()
			s.opts.Count(HandshakesFailed, 1)
			return
		}
		conn = secure
	}
	rpc := s.open(ctx, conn)
	defer func() { _ = rpc.Close() }()
	<-rpc.DisconnectNotify()
}

// handshake checks a peer's certificate, in bounded time.
func (s *Service) handshake(ctx context.Context, conn *tls.Conn) error {
	limit, done := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer done()
	return conn.HandshakeContext(limit)
}

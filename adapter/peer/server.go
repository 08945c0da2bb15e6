package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"mimosaarch.example/core/every"
)

// acceptRetryDelay is the wait after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// accept serves connections from peers, at most MaxLinks at once, until ctx
// ends.
func (s *Service) accept(ctx context.Context) {
	slots := make(chan struct{}, s.opts.MaxLinks)
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			closeIfOpen(conn)
			return
		}
		if err != nil {
			every.Sleep(ctx, acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			s.opts.Count(LinksRefused, 1)
			closeIfOpen(conn)
			continue
		}
		s.goroutines.Go(func() {
			defer func() { <-slots }()
			s.serve(ctx, s.newMeteredConn(conn))
		})
	}
}

// closeIfOpen closes a connection that is not nil.
func closeIfOpen(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// serve handles the calls on one connection until it closes.
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

// handshake performs the TLS handshake, which verifies the peer's certificate,
// within CallTimeout.
func (s *Service) handshake(ctx context.Context, conn *tls.Conn) error {
	callCtx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	return conn.HandshakeContext(callCtx)
}

package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/outcome"
)

// writeChunk is the most bytes written under one write deadline.
const writeChunk = 64 << 10

// link is the one connection of an attempt. It remembers the first error of
// the connection itself, which tells a lost or stalled upstream from one that
// answers nonsense. One goroutine uses it; Close may come from another.
type link struct {
	net.Conn
	stall time.Duration
	err   error
}

// dial opens a fresh connection to an IP address and port.
func dial(ctx context.Context, address string, connect, stall time.Duration) (*link, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: connect}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &link{Conn: conn, stall: stall}, nil
}

// checkAddress refuses what is not an IP address and port.
func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &AddressError{Address: address}
	}
	return nil
}

// progress gives the upstream another stall time to make progress.
func (l *link) progress() {
	l.note(l.SetReadDeadline(time.Now().Add(l.stall)))
}

// Read implements io.Reader.
func (l *link) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	l.note(err)
	return n, err
}

// Write implements io.Writer; each chunk has its own deadline.
func (l *link) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(written+writeChunk, len(p))]
		l.note(l.SetWriteDeadline(time.Now().Add(l.stall)))
		n, err := l.Conn.Write(chunk)
		written += n
		if err != nil {
			l.note(err)
			return written, err
		}
	}
	return written, nil
}

// note remembers the first error.
func (l *link) note(err error) {
	if l.err == nil {
		l.err = err
	}
}

// reason tells what a failed read or write means.
func (l *link) reason() outcome.Reason {
	switch {
	case l.err == nil:
		return outcome.UpstreamInvalid
	case errors.Is(l.err, os.ErrDeadlineExceeded):
		return outcome.UpstreamStalled
	default:
		return outcome.UpstreamLost
	}
}

// send writes the request, once.
func (l *link) send(req *fasthttp.Request) error {
	w := bufio.NewWriter(l)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// head reads the answer's head, interim answers skipped; the body is left to
// be read as a stream. The head has one stall time as a whole.
func (l *link) head(resp *fasthttp.Response, maxHead int) error {
	l.progress()
	resp.StreamBody = true
	resp.Header.SetNoDefaultContentType(true)
	return resp.ReadLimitBody(bufio.NewReaderSize(l, maxHead), 0)
}

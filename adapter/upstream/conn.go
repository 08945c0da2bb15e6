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

	"mimosaarch.example/core/httphead"
	"mimosaarch.example/core/outcome"
)

// writeChunkBytes is the number of bytes written under one write deadline.
const writeChunkBytes = 64 << 10

// stallConn is a connection whose reads and writes fail when the upstream makes no
// progress for stallTimeout. firstErr is the first error of the connection itself;
// it distinguishes a lost or stalled upstream from one that sends an invalid
// response. It is used by one goroutine, but Close may be called from another.
type stallConn struct {
	net.Conn
	stallTimeout time.Duration
	firstErr     error
}

// dial opens a new connection to an IP address and port. connectTimeout bounds the
// dial, stallTimeout later reads and writes. Errors: *AddressError or that of the
// dialer.
func dial(ctx context.Context, address string, connectTimeout, stallTimeout time.Duration) (*stallConn, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &stallConn{Conn: conn, stallTimeout: stallTimeout}, nil
}

// checkAddress returns an *AddressError unless address is an IP address and port.
func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &AddressError{Address: address}
	}
	return nil
}

// extendReadDeadline moves the read deadline to stallTimeout from now.
func (c *stallConn) extendReadDeadline() {
	c.recordError(c.SetReadDeadline(time.Now().Add(c.stallTimeout)))
}

// Read implements io.Reader.
func (c *stallConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordError(err)
	return n, err
}

// Write implements io.Writer. Each chunk of writeChunkBytes has its own deadline.
func (c *stallConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(written+writeChunkBytes, len(p))]
		c.recordError(c.SetWriteDeadline(time.Now().Add(c.stallTimeout)))
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			c.recordError(err)
			return written, err
		}
	}
	return written, nil
}

// recordError keeps the first error.
func (c *stallConn) recordError(err error) {
	if c.firstErr == nil {
		c.firstErr = err
	}
}

// failureReason returns the reason for a failed attempt after a read or write
// failed.
func (c *stallConn) failureReason() outcome.Reason {
	switch {
	case c.firstErr == nil:
		return outcome.UpstreamInvalid
	case errors.Is(c.firstErr, os.ErrDeadlineExceeded):
		return outcome.UpstreamStalled
	default:
		return outcome.UpstreamLost
	}
}

// sendRequest writes the request once.
func (c *stallConn) sendRequest(req *fasthttp.Request) error {
	w := bufio.NewWriter(c)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readHead reads and checks the status line and headers of the response and skips interim
// responses. The body remains to be read as a stream. The read deadline for the
// whole head is stallTimeout.
func (c *stallConn) readHead(resp *fasthttp.Response, maxHead int) error {
	c.extendReadDeadline()
	resp.StreamBody = true
	resp.Header.SetNoDefaultContentType(true)
	r := bufio.NewReaderSize(c, maxHead)
	if err := httphead.Await(r); err != nil {
		return err
	}
	return resp.ReadLimitBody(r, 0)
}

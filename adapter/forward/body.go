package forward

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"syscall"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"mimosaarch.example/core/segment"
	"mimosaarch.example/decide/intake"
)

const (
	// longBodyBytes is the size from which on a body has a receive buffer of longReceiveBytes, so
	// that it arrives quickly over links with a delay. receiveBytes is the receive buffer of other
	// connections that had one, and of those whose next requests are not read yet.
	longBodyBytes    = 64 << 10
	longReceiveBytes = 512 << 10
	receiveBytes     = 32 << 10
	// progressStepBytes is the number of bytes after which progress is reported.
	progressStepBytes = 4 << 10
)

// bodyReader reads the body of one request.
type bodyReader struct {
	c    *callerConn
	req  *fasthttp.Request
	body *segment.Buffer
	// unreported is the number of bytes whose arrival was not reported to the gate yet.
	unreported int
}

// readBody reads the body of a request, of at most limit bytes if it comes in chunks. The memory
// grows with the bytes that arrive. Errors: fasthttp.ErrBodyTooLarge, a *gate.ShedError, or those of the
// connection and of the encoding.
func (c *callerConn) readBody(req *fasthttp.Request, limit int) (*segment.Buffer, error) {
	r := &bodyReader{c: c, req: req, body: &segment.Buffer{}}
	if n := req.Header.ContentLength(); n != fasthttpChunked {
		return r.body, r.readLength(max(n, 0))
	}
	return r.body, r.readChunks(limit)
}

// fasthttpChunked is what fasthttp returns as the length of a body in chunks.
const fasthttpChunked = -1

// readLength reads a body of n bytes.
func (r *bodyReader) readLength(n int) error {
	for r.body.Len() < n {
		if err := r.readSome(r.c.r, n-r.body.Len()); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// readChunks reads a body in chunks, of at most limit bytes, and its trailers.
func (r *bodyReader) readChunks(limit int) error {
	chunks := httputil.NewChunkedReader(r.c.r)
	for {
		// One byte more shows that the body is too long.
		err := r.readSome(chunks, limit+1-r.body.Len())
		switch {
		case r.body.Len() > limit:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return r.c.parse(r.req.Header.ReadTrailer)
		case err != nil:
			return err
		}
	}
}

// readSome reads once, at most limit bytes.
func (r *bodyReader) readSome(from io.Reader, limit int) error {
	before := r.body.Len()
	n, err := r.body.Fill(from, limit, func(n int64) error { return r.c.reserve(n) })
	if r.unreported += n; r.unreported >= progressStepBytes {
		r.c.hold.Progress(r.unreported)
		r.unreported = 0
	}
	if before < longBodyBytes && r.body.Len() >= longBodyBytes {
		if shed := r.c.reserve(longReceiveBytes); shed != nil {
			return shed
		}
		r.c.setReceiveBuffer(longReceiveBytes)
	}
	return err
}

// setReceiveBuffer bounds the bytes that the kernel holds for the connection while they are not
// read.
func (c *callerConn) setReceiveBuffer(bytes int) {
	conn, ok := c.conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return // The connection is closed.
	}
	c.receiveBuffer = bytes
	_ = raw.Control(func(fd uintptr) {
		// Without effect the kernel keeps the size that it has chosen.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
}

const (
	// startBufferBytes holds a usual request. Longer heads, and the next requests behind one that
	// is being served, have a buffer of the size of the longest head.
	startBufferBytes = 4 << 10
	// headCopies is the number of copies of a head that a request has while it is served: the
	// parsed fields and the lines that are sent.
	headCopies = 4
	// unreadBytes stands for the bytes that the kernel holds behind a full read buffer.
	unreadBytes = 128 << 10
)

// newReadBuffer returns the read buffer of a connection without a request.
func (c *callerConn) newReadBuffer() *bufio.Reader {
	return bufio.NewReaderSize(c.conn, min(startBufferBytes, c.limits().MaxHeaderBytes))
}

// growBuffer replaces the read buffer by one of the size of the longest head. It reports whether
// the buffer has become larger. The error is a *gate.ShedError.
func (c *callerConn) growBuffer() (bool, error) {
	size := c.limits().MaxHeaderBytes
	if c.r.Size() >= size {
		return false, nil
	}
	if err := c.reserve(int64(size)); err != nil {
		return false, err
	}
	c.bufferBytes += int64(size)
	buffered, err := c.r.Peek(c.r.Buffered())
	if err != nil {
		return false, err
	}
	rest := &prefixReader{prefix: append([]byte(nil), buffered...), from: c.conn}
	c.r = bufio.NewReaderSize(rest, size)
	return true, nil
}

// shrinkBuffer replaces a large read buffer that is empty.
func (c *callerConn) shrinkBuffer() {
	if c.bufferBytes > 0 && c.r.Buffered() == 0 {
		c.r, c.bufferBytes = c.newReadBuffer(), 0
	}
}

// prefixReader reads some bytes and then those of another reader.
type prefixReader struct {
	prefix []byte
	from   io.Reader
}

// Read implements io.Reader.
func (p *prefixReader) Read(out []byte) (int, error) {
	if len(p.prefix) == 0 {
		p.prefix = nil
		return p.from.Read(out)
	}
	n := copy(out, p.prefix)
	p.prefix = p.prefix[n:]
	return n, nil
}

// parse parses from the read buffer, and again with a larger buffer if what is parsed does not
// fit.
func (c *callerConn) parse(from func(*bufio.Reader) error) error {
	for {
		err := from(c.r)
		var small *fasthttp.ErrSmallBuffer
		if !errors.As(err, &small) {
			return err
		}
		// The connection now holds more than one that waits.
		if !c.hold.Enter(intake.Reading) {
			return c.hold.Revoked()
		}
		grown, failed := c.growBuffer()
		if failed != nil {
			return failed
		}
		if !grown {
			return err
		}
	}
}

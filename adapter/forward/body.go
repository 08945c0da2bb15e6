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
	// longBodyBytes is the size from which on the receive buffer of a body is bounded. While much
	// of the memory is free, the kernel goes on choosing its size, so that the body arrives quickly
	// over links with a delay; otherwise it is longReceiveBytes.
	longBodyBytes    = 64 << 10
	longReceiveBytes = 512 << 10
	// receiveBytes is the receive buffer of connections that had a long body, and of those whose
	// next requests are not read yet.
	receiveBytes = 32 << 10
	// kernelReceives stands for the size that the kernel chooses for a long body.
	kernelReceives = -1
	// progressStepBytes is the number of bytes after which progress is reported.
	progressStepBytes = 4 << 10
)

// bodyReader reads the body of one request.
type bodyReader struct {
	c    *callerConn
	req  *fasthttp.Request
	body *segment.Buffer
	// limit is the length of the body if it is known, and the longest one otherwise.
	limit int
	// unread is the number of bytes that are reserved for the receive buffer of a long body.
	unread int64
	// unreported is the number of bytes whose arrival was not reported to the gate yet.
	unreported int
}

// readBody reads the body of a request, of at most limit bytes if it comes in chunks. The memory
// grows with the bytes that arrive. Errors: fasthttp.ErrBodyTooLarge, a *gate.ShedError, or those of the
// connection and of the encoding.
func (c *callerConn) readBody(req *fasthttp.Request, limit int) (*segment.Buffer, error) {
	r := &bodyReader{c: c, req: req, body: &segment.Buffer{}, limit: limit}
	read := r.readChunks
	if n := req.Header.ContentLength(); n != fasthttpChunked {
		r.limit = max(n, 0)
		read = r.readLength
	}
	if err := read(); err != nil {
		return r.body, err
	}
	r.releaseReceiveBuffer()
	return r.body, nil
}

// fasthttpChunked is what fasthttp returns as the length of a body in chunks.
const fasthttpChunked = -1

// readLength reads a body of limit bytes.
func (r *bodyReader) readLength() error {
	for r.body.Len() < r.limit {
		if err := r.readSome(r.c.r, r.limit-r.body.Len()); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// readChunks reads a body in chunks, of at most limit bytes, and its trailers.
func (r *bodyReader) readChunks() error {
	chunks := httputil.NewChunkedReader(r.c.r)
	for {
		// One byte more shows that the body is too long.
		err := r.readSome(chunks, r.limit+1-r.body.Len())
		switch {
		case r.body.Len() > r.limit:
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
		if shed := r.sizeReceiveBuffer(); shed != nil {
			return shed
		}
	}
	return err
}

// sizeReceiveBuffer reserves the memory of the receive buffer of a long body. The error is a
// *gate.ShedError.
func (r *bodyReader) sizeReceiveBuffer() error {
	r.unread = int64(max(r.limit-r.body.Len(), longReceiveBytes))
	if r.c.hold.ReserveSpare(r.unread) {
		r.c.unboundReceiveBuffer()
		return nil
	}
	r.unread = longReceiveBytes
	if err := r.c.reserve(r.unread); err != nil {
		return err
	}
	r.c.setReceiveBuffer(longReceiveBytes)
	return nil
}

// releaseReceiveBuffer gives back the memory of the receive buffer of a long body that was read.
func (r *bodyReader) releaseReceiveBuffer() {
	if r.unread > 0 {
		r.c.setReceiveBuffer(receiveBytes)
		r.c.hold.Release(r.unread)
	}
}

// unboundReceiveBuffer lets the kernel choose the size of the receive buffer.
func (c *callerConn) unboundReceiveBuffer() {
	if c.receiveBuffer != 0 {
		c.setReceiveBuffer(longReceiveBytes)
		c.setSocketOption(unix.SO_BUF_LOCK, 0)
	}
	c.receiveBuffer = kernelReceives
}

// setReceiveBuffer bounds the bytes that the kernel holds for the connection while they are not
// read.
func (c *callerConn) setReceiveBuffer(bytes int) {
	c.setSocketOption(unix.SO_RCVBUF, bytes)
	c.receiveBuffer = bytes
}

// setSocketOption sets an option of the socket. Without effect the kernel keeps what it has chosen.
func (c *callerConn) setSocketOption(option, value int) {
	conn, ok := c.conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return // The connection is closed.
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, value)
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

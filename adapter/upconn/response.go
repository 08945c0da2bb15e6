package upconn

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// maxBody is the most bytes of a plain answer that are held, so that one
// upstream cannot fill the node's memory.
const maxBody = 16 << 20

// FramingError tells that an upstream's bytes are no whole answer.
type FramingError struct{ Cause error }

// Error implements error.
func (e *FramingError) Error() string {
	return fmt.Sprintf("answer broken off or malformed: %v", e.Cause)
}

// Unwrap gives the cause.
func (e *FramingError) Unwrap() error { return e.Cause }

// BodyTooLargeError tells that an answer is larger than what is held.
type BodyTooLargeError struct{ Limit int }

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("answer of more than %d bytes", e.Limit)
}

// Response is an answer whose head was read.
type Response struct {
	Head fasthttp.ResponseHeader
	conn *Conn
	body io.Reader
	// unframed answers end with their connection, so that only an orderly end
	// tells that they are whole.
	unframed bool
	// bodiless answers end with their head.
	bodiless bool
	ended    bool
}

// noBody reports whether answers of a status never have a body.
func noBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// ReadResponse reads the head of the next answer. Those to the method HEAD have
// no body.
func (c *Conn) ReadResponse(method string) (*Response, error) {
	a := &Response{conn: c}
	a.Head.SetNoDefaultContentType(true)
	for {
		if err := a.Head.Read(c.r); err != nil {
			// The codec reports most failures of a first read as io.EOF.
			return nil, cmp.Or(c.failed, err)
		}
		if status := a.Head.StatusCode(); status >= 200 || status == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	switch n := a.Head.ContentLength(); {
	case method == fasthttp.MethodHead, noBody(a.Head.StatusCode()):
		a.body, a.bodiless = bytes.NewReader(nil), true
	case n >= 0:
		a.body = io.LimitReader(c.r, int64(n))
	case n == -1:
		a.body = httputil.NewChunkedReader(c.r)
	default:
		a.body, a.unframed = c.r, true
	}
	return a, nil
}

// Read gives the body, ended by io.EOF only if it is whole.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		if short := a.finish(); short != nil {
			return n, short
		}
		a.ended = true
	}
	return n, err
}

// finish checks that a body which ended is whole.
func (a *Response) finish() error {
	if a.ended || a.unframed || a.bodiless {
		return nil
	}
	if limited, ok := a.body.(*io.LimitedReader); ok && limited.N > 0 {
		return &FramingError{io.ErrUnexpectedEOF}
	}
	if a.Head.ContentLength() == -1 {
		return a.trailers()
	}
	return nil
}

// trailers takes the lines after the last chunk.
func (a *Response) trailers() error {
	for {
		line, err := a.conn.r.ReadString('\n')
		if err != nil {
			return &FramingError{err}
		}
		if strings.TrimRight(line, "\r\n") == "" {
			return nil
		}
	}
}

// Body reads the whole body.
func (a *Response) Body() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, maxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBody {
		return nil, &BodyTooLargeError{Limit: maxBody}
	}
	return body, nil
}

// Reusable reports whether the connection may carry another exchange, and for
// how long the upstream said to keep it, 0 where it said nothing.
func (a *Response) Reusable() (bool, time.Duration) {
	if !a.ended || a.unframed || a.Head.ConnectionClose() || a.conn.r.Buffered() > 0 {
		return false, 0
	}
	return true, keepAlive(string(a.Head.Peek("Keep-Alive")))
}

// keepAlive reads the time-out of a Keep-Alive header, 0 where there is none.
func keepAlive(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

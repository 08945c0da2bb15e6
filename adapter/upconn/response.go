package upconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/httphead"
	"mimosaarch.example/core/segment"
)

// maxBodyBytes limits the body that Response.Body holds, so that one upstream
// cannot exhaust the memory of the node.
const maxBodyBytes = 16 << 20

const (
	// maxBytesBeingRead limits the bodies that Response.Body is reading at a time, all
	// together, so that several upstreams cannot either.
	maxBytesBeingRead = 32 << 20
	// bodyStepBytes is the step in which the room for a body grows.
	bodyStepBytes = 32 << 10
	// maxTrailers is the number of trailers that are skipped after the last chunk.
	maxTrailers = 64
)

// bytesBeingRead is the size of the bodies that are being read.
var bytesBeingRead atomic.Int64

// FramingError is returned when the bytes from an upstream are not a complete and
// well-formed response.
type FramingError struct{ Cause error }

// Error implements error.
func (e *FramingError) Error() string {
	return fmt.Sprintf("answer broken off or malformed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *FramingError) Unwrap() error { return e.Cause }

// TrailersError is the cause of a *FramingError for a response with more than Limit trailers.
type TrailersError struct{ Limit int }

// Error implements error.
func (e *TrailersError) Error() string { return fmt.Sprintf("more than %d trailers", e.Limit) }

// BodyTooLargeError is returned for a body of more than Limit bytes.
type BodyTooLargeError struct{ Limit int }

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("answer of more than %d bytes", e.Limit)
}

// Response is a response whose headers have been read. Read and Body read its body.
type Response struct {
	Head fasthttp.ResponseHeader
	conn *Conn
	body io.Reader
	// closeDelimited reports that the body ends only when the connection closes, so
	// that only an orderly close shows that it is complete.
	closeDelimited bool
	// bodiless reports that the response has no body.
	bodiless bool
	// ended reports that the whole body has been read.
	ended bool
}

// statusHasNoBody reports whether responses with a status never have a body.
func statusHasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// ReadResponse reads the headers of the next final response. method is that of the
// request, because responses to HEAD have no body. Errors: those of the connection or its
// WaitFunc, or a *FramingError if the bytes are not the head of a response.
func (c *Conn) ReadResponse(method string) (*Response, error) {
	r := &Response{conn: c}
	r.Head.SetNoDefaultContentType(true)
	if err := c.readHead(&r.Head); err != nil {
		return nil, err
	}
	switch n := r.Head.ContentLength(); {
	case method == fasthttp.MethodHead, statusHasNoBody(r.Head.StatusCode()):
		r.body, r.bodiless = bytes.NewReader(nil), true
	case n >= 0:
		r.body = io.LimitReader(c.r, int64(n))
	case n == -1:
		r.body = httputil.NewChunkedReader(c.r)
	default:
		r.body, r.closeDelimited = c.r, true
	}
	return r, nil
}

// readHead reads the head of the next final response. Its errors are those of ReadResponse.
func (c *Conn) readHead(head *fasthttp.ResponseHeader) error {
	err := httphead.Await(c.r)
	if err == nil {
		err = head.Read(c.r)
	}
	switch {
	case err == nil:
		return nil
	case c.readErr != nil:
		// The parser reports most errors of the first read as io.EOF.
		return c.readErr
	}
	return &FramingError{err}
}

// Read implements io.Reader for the body. It returns io.EOF only after a complete
// body, and a *FramingError after a truncated one. A body without a length that ends by a reset
// gives the error of the connection.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		if short := r.checkEnd(); short != nil {
			return n, short
		}
		r.ended = true
	}
	return n, err
}

// checkEnd returns an error if a body that ended is not complete.
func (r *Response) checkEnd() error {
	if r.ended || r.bodiless {
		return nil
	}
	if r.closeDelimited {
		return r.conn.checkEnd()
	}
	if limited, ok := r.body.(*io.LimitedReader); ok && limited.N > 0 {
		return &FramingError{io.ErrUnexpectedEOF}
	}
	if r.Head.ContentLength() == -1 {
		return r.skipTrailers()
	}
	return nil
}

// skipTrailers reads and checks the trailers after the last chunk.
func (r *Response) skipTrailers() error {
	for range maxTrailers {
		// A line that is longer than the buffer is an error.
		line, err := r.conn.r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return &FramingError{err}
		}
		field := bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
		if len(field) == 0 {
			return nil
		}
		if err := httphead.CheckField(field); err != nil {
			return &FramingError{err}
		}
	}
	return &FramingError{&TrailersError{maxTrailers}}
}

// Body reads the whole body. It returns a *BodyTooLargeError if the body exceeds
// maxBodyBytes, or if those that are being read exceed maxBytesBeingRead.
func (r *Response) Body() ([]byte, error) {
	var body []byte
	var reserved int64
	defer func() { bytesBeingRead.Add(-reserved) }()
	for {
		if len(body) == cap(body) {
			step := int64(max(cap(body), bodyStepBytes))
			reserved += step
			if bytesBeingRead.Add(step) > maxBytesBeingRead {
				return nil, &BodyTooLargeError{Limit: maxBytesBeingRead}
			}
			body = append(make([]byte, 0, cap(body)+int(step)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBodyBytes:
			return nil, &BodyTooLargeError{Limit: maxBodyBytes}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// ReadAll reads the whole body. reserve is called with the bytes of memory that the body takes
// next; its error ends the call. The buffer holds what was read, also after an error. Errors: a
// *BodyTooLargeError if the body exceeds maxBodyBytes, and those of Read and reserve.
func (r *Response) ReadAll(reserve func(n int64) error) (*segment.Buffer, error) {
	body := &segment.Buffer{}
	// One byte more shows that the body is too long.
	limit := maxBodyBytes + 1
	switch n := r.Head.ContentLength(); {
	case r.bodiless:
		limit = 0
	case n > maxBodyBytes:
		return body, &BodyTooLargeError{Limit: maxBodyBytes}
	case n >= 0:
		limit = n
	}
	for body.Len() < limit {
		_, err := body.Fill(r, limit-body.Len(), reserve)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	if limit > maxBodyBytes {
		return body, &BodyTooLargeError{Limit: maxBodyBytes}
	}
	return body, r.Discard()
}

// Discard reads and drops the body. It returns a *BodyTooLargeError if the body exceeds
// maxBodyBytes, and the errors of Read.
func (r *Response) Discard() error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxBodyBytes+1))
	if n > maxBodyBytes {
		return &BodyTooLargeError{Limit: maxBodyBytes}
	}
	return err
}

// Reusable reports whether the connection may carry another exchange, and for how
// long the upstream announced to keep it open; 0 if it announced nothing.
func (r *Response) Reusable() (bool, time.Duration) {
	if !r.ended || r.closeDelimited || r.Head.ConnectionClose() || r.conn.r.Buffered() > 0 {
		return false, 0
	}
	return true, keepAliveTimeout(string(r.Head.Peek("Keep-Alive")))
}

// keepAliveTimeout returns the timeout in the value of a Keep-Alive header, or 0 if
// there is none.
func keepAliveTimeout(value string) time.Duration {
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

package upstream

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/outcome"
)

// closeDelimited is fasthttp's content length of a response whose body ends only
// when the connection closes.
const closeDelimited = -2

// readBlockBytes is the size of the buffer for one read of a body.
const readBlockBytes = 32 << 10

// readBody reads a complete body of at most limit bytes. Each read extends the read
// deadline. It returns nil for a response that cannot have a body. Errors:
// *TooLargeError, *UnframedError, or that of the connection.
func readBody(conn *stallConn, resp *fasthttp.Response, limit int) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return nil, nil
	}
	length := resp.Header.ContentLength()
	if length <= closeDelimited {
		return nil, &UnframedError{}
	}
	if length > limit {
		return nil, &TooLargeError{LimitBytes: limit}
	}
	return readAll(conn, stream, max(length, 0), limit)
}

// readAll reads until the end that the length or the last chunk marks. length is
// the expected size, 0 if unknown.
func readAll(conn *stallConn, stream io.Reader, length, limit int) ([]byte, error) {
	body := make([]byte, 0, length)
	block := make([]byte, readBlockBytes)
	for {
		conn.extendReadDeadline()
		n, err := stream.Read(block)
		if len(body)+n > limit {
			return nil, &TooLargeError{LimitBytes: limit}
		}
		body = append(body, block[:n]...)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bodyFailureReason returns the reason for a failed attempt after readBody or an
// event reader returned err.
func bodyFailureReason(conn *stallConn, err error) outcome.Reason {
	var tooLarge *TooLargeError
	var unframed *UnframedError
	switch {
	case errors.As(err, &tooLarge):
		return outcome.UpstreamInvalid
	case errors.As(err, &unframed), errors.Is(err, io.EOF):
		return outcome.UpstreamLost
	default:
		return conn.failureReason()
	}
}

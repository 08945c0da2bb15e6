package upstream

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/outcome"
)

// closeDelimited is fasthttp's content length of an answer that ends only
// with its connection.
const closeDelimited = -2

// readBlock is the most bytes of a body read at once.
const readBlock = 32 << 10

// readBody reads a whole body of at most limit bytes; every block read is
// progress. An answer that may not have a body gives none.
func readBody(l *link, resp *fasthttp.Response, limit int) ([]byte, error) {
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
	return readAll(l, stream, max(length, 0), limit)
}

// readAll reads to the marked end of a body.
func readAll(l *link, stream io.Reader, length, limit int) ([]byte, error) {
	body := make([]byte, 0, length)
	block := make([]byte, readBlock)
	for {
		l.progress()
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

// bodyReason tells what a failed read of a body means.
func bodyReason(l *link, err error) outcome.Reason {
	var size *TooLargeError
	var unbounded *UnframedError
	switch {
	case errors.As(err, &size):
		return outcome.UpstreamInvalid
	case errors.As(err, &unbounded), errors.Is(err, io.EOF):
		return outcome.UpstreamLost
	default:
		return l.reason()
	}
}

package caller

import (
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/gate"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/intake"
)

const (
	// firstBodyBytes is the size of the first buffer for a body. It holds a usual one.
	firstBodyBytes = 4 << 10
	// decodedCopies is the number of further copies of a body that a call has while it is served.
	decodedCopies = 1
	// progressStepBytes is the number of bytes after which progress is reported.
	progressStepBytes = 4 << 10
	// minShedRetryAfter is the least Retry-After of a request that the node has no memory for.
	// Bodies that make no progress give way within that time. The most is twice as long, so that
	// callers do not return all at once.
	minShedRetryAfter = time.Second
)

// bodyReader reads the body of one request into memory that grows with the bytes that arrive.
type bodyReader struct {
	conn *conn
	from io.Reader
	// limit is the longest body, announced the length that the caller has announced, negative for
	// none.
	limit, announced int
	body             []byte
	// unreported is the number of bytes whose arrival was not reported yet.
	unreported int
}

// readBody reads the body of a request. After it the request is served, and its connection does
// not give way any more.
func (x *exchange) readBody(ctx *fasthttp.RequestCtx) *outcome.Error {
	if len(ctx.Request.Header.Peek(tooLargeHeader)) > 0 {
		return refusalOfReadError(fasthttp.ErrBodyTooLarge)
	}
	if !x.conn.enter(intake.Reading) {
		return shedRefusal()
	}
	r := &bodyReader{conn: x.conn, from: ctx.RequestBodyStream(), limit: x.server.options.MaxBodyBytes, announced: ctx.Request.Header.ContentLength()}
	if r.from != nil {
		if err := r.read(); err != nil && !x.conn.isRevoked() {
			return refusalOfReadError(err)
		}
	}
	if !x.conn.enter(intake.Serving) {
		return shedRefusal()
	}
	x.body = r.body
	return nil
}

// tooLargeHeader marks a request whose announced body is too large. Callers cannot set it.
const tooLargeHeader = "Mimosa-Body-Too-Large"

// markTooLarge marks a request with an announced body that is too large and makes fasthttp leave
// the body unread. It would wait for the first bytes of a body before it calls the handler.
func (s *Server) markTooLarge(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	h.Del(tooLargeHeader)
	if h.ContentLength() > s.options.MaxBodyBytes {
		h.SetContentLength(0)
		h.Set(tooLargeHeader, "1")
	}
	return fasthttp.RequestConfig{}
}

// read reads until the body ends. The error is fasthttp.ErrBodyTooLarge, a *gate.ShedError, or
// that of the connection or of the encoding.
func (r *bodyReader) read() error {
	for {
		if err := r.grow(); err != nil {
			return err
		}
		n, err := r.from.Read(r.body[len(r.body):cap(r.body)])
		r.body = r.body[:len(r.body)+n]
		r.report(n)
		switch {
		case len(r.body) > r.limit:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return r.conn.reserve(int64(decodedCopies * len(r.body)))
		case err != nil:
			return err
		}
	}
}

// grow makes room for at least one more byte.
func (r *bodyReader) grow() error {
	old := cap(r.body)
	if len(r.body) < old {
		return nil
	}
	// One byte more shows the end of the body, or that it is too long.
	most := r.limit + 1
	if r.announced >= 0 {
		most = r.announced + 1
	}
	size := max(min(max(2*old, firstBodyBytes), most), old+1)
	if err := r.conn.reserve(int64(size)); err != nil {
		return err
	}
	grown := make([]byte, len(r.body), size)
	copy(grown, r.body)
	r.body = grown
	r.conn.release(int64(old))
	return nil
}

// report reports the arrival of n bytes.
func (r *bodyReader) report(n int) {
	if r.unreported += n; r.unreported >= progressStepBytes {
		r.conn.progress(r.unreported)
		r.unreported = 0
	}
}

// shedRefusal returns the refusal of a request that the node has no memory or no connection for.
func shedRefusal() *outcome.Error {
	wait := minShedRetryAfter + rand.N(minShedRetryAfter)
	return outcome.Refuse(outcome.NodeFull, "the node has no memory left for the request", wait)
}

// isShed reports whether an error is a *gate.ShedError.
func isShed(err error) bool {
	var shed *gate.ShedError
	return errors.As(err, &shed)
}

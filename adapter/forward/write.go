package forward

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/segment"
	"mimosaarch.example/decide/intake"
)

// write sends bytes to the caller. The error is a *CallerGoneError.
func (c *callerConn) write(p []byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return c.gone(err)
	}
	if _, err := c.conn.Write(p); err != nil {
		return c.gone(err)
	}
	return nil
}

// writeBody sends the head in the output buffer and a body. The error is a *CallerGoneError. A
// caller that does not take the response may be disconnected.
func (c *callerConn) writeBody(body *segment.Buffer) error {
	if body.Len() <= maxInlineBodyBytes {
		c.out = body.AppendTo(c.out)
		return c.write(c.out)
	}
	if err := c.write(c.out); err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return c.gone(err)
	}
	c.hold.Enter(intake.Delivering)
	for _, part := range body.Parts() {
		if _, err := c.conn.Write(part); err != nil {
			return c.gone(err)
		}
		c.hold.Progress(len(part))
	}
	return nil
}

// writeError sends a response that the node generates itself: a status, and a JSON body
// with the reason. id and retryAfter are left out if they are zero.
func (c *callerConn) writeError(status int, id, reason string, retryAfter time.Duration) error {
	body := strconv.AppendQuote([]byte(`{"error":`), reason)
	body = append(body, '}')
	c.startHead(status)
	c.addHeader("Content-Type", "application/json")
	if id != "" {
		c.addHeader(c.server.opts.Headers.RequestID, id)
	}
	if retryAfter > 0 {
		c.addHeader("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	c.addHeader("Content-Length", strconv.Itoa(len(body)))
	c.endHead()
	c.out = append(c.out, body...)
	return c.write(c.out)
}

// startHead starts the head of a response in the output buffer.
func (c *callerConn) startHead(status int) {
	c.out = append(c.out[:0], "HTTP/1.1 "...)
	c.out = strconv.AppendInt(c.out, int64(status), 10)
	c.out = append(c.out, ' ')
	c.out = append(c.out, fasthttp.StatusMessage(status)...)
	c.out = append(c.out, "\r\n"...)
}

// addHeader appends a header line to the head.
func (c *callerConn) addHeader(name, value string) {
	c.out = append(c.out, name...)
	c.out = append(c.out, ": "...)
	c.out = append(c.out, value...)
	c.out = append(c.out, "\r\n"...)
}

// endHead ends the head. It announces the close of the connection if this response is
// its last.
func (c *callerConn) endHead() {
	if c.server.noKeepAlives.Load() {
		c.closeAfter = true
	}
	if c.closeAfter {
		c.addHeader("Connection", "close")
	}
	c.out = append(c.out, "\r\n"...)
}

// copyHead starts a response with the status and the headers of an upstream's response,
// without the hop-by-hop headers.
func (c *callerConn) copyHead(head *fasthttp.ResponseHeader) {
	c.startHead(head.StatusCode())
	for name, value := range head.All() {
		if !isHopByHop(string(name)) {
			c.addHeader(string(name), string(value))
		}
	}
}

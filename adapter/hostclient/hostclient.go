// Package hostclient makes the exchanges of fasthttp clients, and checks the head of each response
// before it is parsed.
package hostclient

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/httphead"
)

// Transport is a fasthttp.RoundTripper for clients that read whole bodies. Unlike that of
// fasthttp, it rejects a response whose head does not follow RFC 9112, and does not send the
// request again after it.
type Transport struct{}

// RoundTrip implements fasthttp.RoundTripper. Errors: those of host, of the connection, of
// httphead.Await and of the parser; fasthttp.ErrTimeout if a timeout of req or host passes.
func (Transport) RoundTrip(host *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	pooled, err := host.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	err = setDeadlines(host, pooled.Conn(), req.GetTimeOut())
	if err == nil {
		err = Exchange(host, pooled.Conn(), req, resp)
	}
	if err != nil || req.ConnectionClose() || resp.ConnectionClose() {
		host.CloseConn(pooled)
	} else {
		host.ReleaseConn(pooled)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = fasthttp.ErrTimeout
	}
	return mayRetry(err), err
}

// setDeadlines limits the write and the read of an exchange to the timeout of its request and to
// those of host. 0 is no limit.
func setDeadlines(host *fasthttp.HostClient, conn net.Conn, timeout time.Duration) error {
	now := time.Now()
	return errors.Join(
		conn.SetWriteDeadline(deadline(now, timeout, host.WriteTimeout)),
		conn.SetReadDeadline(deadline(now, timeout, host.ReadTimeout)))
}

// deadline returns the end of the shorter of two timeouts, of which 0 is none.
func deadline(now time.Time, a, b time.Duration) time.Time {
	switch {
	case a <= 0 && b <= 0:
		return time.Time{}
	case a <= 0:
		return now.Add(b)
	case b <= 0:
		return now.Add(a)
	}
	return now.Add(min(a, b))
}

// mayRetry reports whether an idempotent request may be sent again after err. A response that is
// malformed or too large is expected to come again.
func mayRetry(err error) bool {
	var malformed *httphead.MalformedError
	return err != nil && !errors.As(err, &malformed) && !errors.Is(err, fasthttp.ErrBodyTooLarge)
}

// Exchange writes a request and reads the whole response, whose head it checks. If more bytes
// follow the response, which belong to no request, or another protocol does, it marks the connection
// to be closed. It sets no deadlines. Errors: those of conn, of httphead.Await and of the parser.
func Exchange(host *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	w := host.AcquireWriter(conn)
	defer host.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	r := host.AcquireReader(conn)
	defer host.ReleaseReader(r)
	if err := httphead.Await(r); err != nil {
		return err
	}
	resp.SkipBody = resp.SkipBody || req.Header.IsHead()
	if err := resp.ReadLimitBody(r, host.MaxResponseBodySize); err != nil {
		return err
	}
	if r.Buffered() > 0 || resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
		resp.SetConnectionClose()
	}
	return nil
}

package platform

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// past is a deadline that ends all reading and writing at once.
var past = time.Unix(1, 0)

// roundTrip makes one exchange over a pooled connection. It reports whether a
// byte of the request may have left. The connection is closed unless the
// whole answer was read before ctx ended.
func roundTrip(ctx context.Context, host *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	pooled, err := host.AcquireConn(remaining(ctx), false)
	if err != nil {
		return false, err
	}
	conn := pooled.Conn()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(past) })
	err = exchange(host, conn, req, resp)
	if !stop() || err != nil || resp.ConnectionClose() {
		host.CloseConn(pooled)
	} else {
		host.ReleaseConn(pooled)
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return true, err
}

// remaining is the time until ctx ends; at least one nanosecond.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), 1)
}

// exchange writes the request and reads the whole answer. Bytes that follow
// the answer belong to no call, so the connection is then marked for closing.
func exchange(host *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response) error {
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
	if err := resp.ReadLimitBody(r, host.MaxResponseBodySize); err != nil {
		return err
	}
	if r.Buffered() > 0 {
		resp.SetConnectionClose()
	}
	return nil
}

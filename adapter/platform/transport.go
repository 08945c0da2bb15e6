package platform

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/hostclient"
)

// pastDeadline is a connection deadline that ends reads and writes immediately.
var pastDeadline = time.Unix(1, 0)

// roundTrip makes one exchange over a pooled connection. sent reports whether any
// byte of the request may have been sent. The connection is closed unless the
// complete response was read before ctx ended.
func roundTrip(ctx context.Context, host *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	pooled, err := host.AcquireConn(timeLeft(ctx), false)
	if err != nil {
		return false, err
	}
	conn := pooled.Conn()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	err = hostclient.Exchange(host, conn, req, resp)
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

// timeLeft returns the time until the deadline of ctx, at least one nanosecond, or
// 0 if ctx has no deadline.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), 1)
}

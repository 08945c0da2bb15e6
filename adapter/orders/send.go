package orders

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/decide/order"
)

// maxAnswer is the most bytes of an engine's answer to an order.
const maxAnswer = 64 << 10

// past is a deadline that ends all reading and writing at once.
var past = time.Unix(1, 0)

// Send gives an order over a connection of its own, which is closed however
// the call ends; what was not sent by then is dropped. It makes one exchange
// and never repeats it.
func Send(ctx context.Context, address string, s order.Send) order.Result {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return order.Skipped
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(past) })
	defer stop()
	return exchange(conn, address, s)
}

// exchange writes the order and reads the answer.
func exchange(conn net.Conn, address string, s order.Send) order.Result {
	// A struct of strings and integers always encodes.
	body, _ := json.Marshal(s.Order)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + engineapi.OrdersPath)
	req.Header.SetContentType("application/json")
	req.SetConnectionClose()
	req.SetBodyRaw(body)
	w := bufio.NewWriter(conn)
	if req.Write(w) != nil || w.Flush() != nil {
		return order.Lost
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(bufio.NewReader(conn), maxAnswer); err != nil {
		return order.Lost
	}
	return judge(resp, s)
}

// judge settles an answer.
func judge(resp *fasthttp.Response, s order.Send) order.Result {
	if resp.StatusCode() != fasthttp.StatusOK {
		var refusal engineapi.Refusal
		if err := json.Unmarshal(resp.Body(), &refusal); err != nil || refusal.Code == "" {
			return order.Lost
		}
		if refusal.Code == engineapi.CodeStaleFence {
			return order.Stale
		}
		return order.Refused
	}
	var reply engineapi.OrderReply
	if err := json.Unmarshal(resp.Body(), &reply); err != nil || reply.Engine != string(s.Engine) {
		return order.Lost
	}
	if !reply.Applied {
		return order.Refused
	}
	return order.Applied
}

package orders

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/httphead"
	"mimosaarch.example/decide/order"
)

// maxAnswerBytes limits the body of an engine's answer to an order.
const maxAnswerBytes = 64 << 10

// pastDeadline is a deadline that aborts all reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// Send sends an order over a new connection and waits for the answer until ctx
// ends. It closes the connection in every case and drops data that is not sent by
// then. It makes one exchange without retries.
func Send(ctx context.Context, address string, s order.Send) order.Result {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return order.Skipped
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	defer stop()
	return exchange(conn, address, s)
}

// exchange writes the order and reads the answer.
func exchange(conn net.Conn, address string, s order.Send) order.Result {
	// Marshalling a struct of strings and integers cannot fail.
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
	r := bufio.NewReader(conn)
	if httphead.Await(r) != nil || resp.ReadLimitBody(r, maxAnswerBytes) != nil {
		return order.Lost
	}
	return resultOf(resp, s)
}

// resultOf returns the result that an engine's answer stands for.
func resultOf(resp *fasthttp.Response, s order.Send) order.Result {
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

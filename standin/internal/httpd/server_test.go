package httpd

import (
	"bufio"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

func TestCloseCutsOpenConnections(t *testing.T) {
	s, err := Listen("")
	if err != nil {
		t.Fatal(err)
	}
	s.Serve(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("x") })
	c, err := net.Dial("tcp4", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	roundTrip := func() error {
		if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			return err
		}
		return (&fasthttp.Response{}).Read(r)
	}
	if err := roundTrip(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s.Close()
	if err := roundTrip(); err == nil {
		t.Error("an open connection still works")
	}
	if _, err := net.Dial("tcp4", s.Addr()); err == nil {
		t.Error("new connections are still accepted")
	}
}

package httpd

import (
	"bufio"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

func TestCloseCutsKeptConnections(t *testing.T) {
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
	ask := func() error {
		if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			return err
		}
		return (&fasthttp.Response{}).Read(r)
	}
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s.Close()
	if err := ask(); err == nil {
		t.Error("a kept connection still works")
	}
	if _, err := net.Dial("tcp4", s.Addr()); err == nil {
		t.Error("new connections are still taken")
	}
}

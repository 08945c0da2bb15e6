package node_test

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/node"
	"mimosaarch.example/node/settings"
)

// Guards against health checks that fail while others keep connections to the operator port open.
func TestOperatorPortAnswersBesideIdleConnections(t *testing.T) {
	n, err := node.Start(settings.Settings{
		VM: "vm-1", Zone: "a",
		Listen:   settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Platform: []string{"127.0.0.1:1"},
	}.WithDefaults(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	for range 200 {
		conn, err := net.Dial("tcp", n.OperatorAddr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	client := fasthttp.HostClient{Addr: n.OperatorAddr()}
	defer client.CloseIdleConnections()
	status, _, err := client.GetTimeout(nil, "http://"+n.OperatorAddr()+node.LivePath, 5*time.Second)
	if err != nil || status != fasthttp.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
}

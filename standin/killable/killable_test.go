package killable

import (
	"net"
	"testing"
)

// Guards against an engine that serves on after its end.
func TestConnectionsEndWithTheirListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	killed := New(l)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := killed.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = killed.Close()
	if _, err := conn.Write([]byte("late")); err == nil {
		t.Error("the server can write after the listener was closed")
	}
	if _, err := client.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is open after the listener was closed")
	}
}

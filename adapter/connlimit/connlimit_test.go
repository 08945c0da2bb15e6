package connlimit

import (
	"io"
	"net"
	"testing"
	"time"
)

// dial opens a connection to l and returns both of its sides.
func dial(t *testing.T, l *Listener) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// send sends a byte and reads it on the other side.
func send(t *testing.T, client, server net.Conn) {
	t.Helper()
	var b [1]byte
	if _, err := client.Write(b[:]); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, b[:]); err != nil {
		t.Fatal(err)
	}
}

// isOpen reports whether the other side has not closed the connection.
func isOpen(t *testing.T, client net.Conn) bool {
	t.Helper()
	if err := client.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, err := client.Read(make([]byte, 1))
	network, ok := err.(net.Error)
	return ok && network.Timeout()
}

func TestConnectionsThatSentNothingAreReplacedFirst(t *testing.T) {
	under, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = under.Close() }()
	replaced := 0
	l := New(under, 3, func() { replaced++ })
	var clients, servers []net.Conn
	for range 3 {
		client, server := dial(t, l)
		clients, servers = append(clients, client), append(servers, server)
	}
	send(t, clients[0], servers[0])
	send(t, clients[2], servers[2])
	fourth, fourthServer := dial(t, l)
	if isOpen(t, clients[1]) || !isOpen(t, clients[0]) || !isOpen(t, clients[2]) || replaced != 1 {
		t.Errorf("the silent connection was not replaced, or others were: %d", replaced)
	}
	send(t, fourth, fourthServer)
	send(t, clients[0], servers[0])
	dial(t, l)
	if isOpen(t, clients[2]) || !isOpen(t, clients[0]) || !isOpen(t, fourth) || replaced != 2 {
		t.Errorf("the least recently used connection was not replaced, or others were: %d", replaced)
	}
	if err := servers[0].Close(); err != nil {
		t.Fatal(err)
	}
	dial(t, l)
	if replaced != 2 {
		t.Error("a connection was replaced although another had been closed")
	}
}

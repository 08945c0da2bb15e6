package connlimit

import (
	"net"
	"testing"
	"time"
)

// Guards against a process that cannot accept while the kernel holds bytes for any number of
// connections.
func TestBacklogBoundsConnectionsThatAreNotAccepted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	const maxWaiting = 3
	if err := SetBacklog(l, maxWaiting); err != nil {
		t.Fatal(err)
	}
	connected := 0
	for range 2 * maxWaiting {
		client, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			continue
		}
		defer func() { _ = client.Close() }()
		connected++
	}
	if connected != maxWaiting+1 {
		t.Errorf("%d connections wait, want %d", connected, maxWaiting+1)
	}
	for range connected {
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = server.Close() }()
	}
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatalf("no connection once the others were accepted: %v", err)
	}
	_ = client.Close()
}

func TestBacklogOfAClosedListenerIsAnError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if _, ok := SetBacklog(l, 1).(*BacklogError); !ok {
		t.Error("no *BacklogError")
	}
}

package caller

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/outcome"
)

// partOf returns a request whose body has only its first bytes.
func partOf(announced int, sent string) string {
	return fmt.Sprintf("POST %sbooking/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", ServicesPath, announced, sent)
}

// serveOne answers the next admitted request.
func serveOne(t *testing.T, b *testServer, c *client) int {
	t.Helper()
	a := <-b.admitted
	a.call.Finish(&outcome.Error{Outcome: outcome.NotRun, Reason: outcome.NoUpstream})
	c.readAnswer()
	return len(a.call.Plain.Body)
}

// Guards against bodies whose sum exceeds the memory, and against a refusal of the wrong ones.
func TestStalledBodiesGiveWayToNewOnes(t *testing.T) {
	const bodyBytes = 100 << 10
	b := startServer(t, func(o *Options) {
		o.MaxBodyBytes, o.MaxHeldBytes, o.Now = 4*bodyBytes, 16*bodyBytes, time.Now
	})
	var stalled []*client
	for range 8 {
		stalled = append(stalled, b.dial(t).send(partOf(2*bodyBytes, strings.Repeat("s", 2*bodyBytes-1))))
	}
	// A body counts as stalled after a second.
	time.Sleep(1500 * time.Millisecond)
	if held, _ := b.server.gate.Held(); held > 16*bodyBytes {
		t.Errorf("%d bytes are held, limit %d", held, 16*bodyBytes)
	}
	c := b.dial(t).send(raw("POST", ServicesPath+"booking/x", strings.Repeat("b", 4*bodyBytes)))
	if n := serveOne(t, b, c); n != 4*bodyBytes {
		t.Errorf("a body of %d bytes arrived with %d", 4*bodyBytes, n)
	}
	refused := 0
	for _, s := range stalled {
		must(t, s.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		if _, err := s.r.Peek(1); err != nil {
			continue
		}
		resp, text := s.readAnswer()
		if got := detail(t, text); got.Reason != outcome.NodeFull || got.Outcome != outcome.NotRun || got.RetryAfterMs == 0 || resp.StatusCode() != 503 {
			t.Errorf("status %d, %+v", resp.StatusCode(), got)
		}
		refused++
	}
	if refused == 0 {
		t.Error("no stalled body has given way")
	}
}

// Guards against memory that grows with what is announced instead of what arrives.
func TestAnnouncedBytesAreNotHeld(t *testing.T) {
	b := startServer(t, func(o *Options) {
		o.MaxBodyBytes, o.MaxHeldBytes = 1<<20, 4<<20
		o.Count = func(outcome.Reason) {}
	})
	const n = 50
	for range n {
		b.dial(t).send(partOf(1<<20, strings.Repeat("s", 10<<10)))
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if held, _ := b.server.gate.Held(); held >= n*10<<10 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the bytes that arrived are not held")
		}
	}
	if held, _ := b.server.gate.Held(); held > n*32<<10 {
		t.Errorf("%d bytes are held for %d connections with 10 KB each", held, n)
	}
}

// Guards against answers that their callers do not take and whose sum exceeds the memory.
func TestAnswersThatAreNotTakenGiveWay(t *testing.T) {
	const answerBytes, memory = 8 << 20, 32 << 20
	counted := &revokedCounter{}
	b := startServer(t, func(o *Options) { o.MaxHeldBytes, o.Now, o.Metrics = memory, time.Now, counted })
	answer := func() {
		a := <-b.admitted
		a.call.SetAnswer(call.PlainAnswer{Status: 200, Body: bytes.Repeat([]byte("a"), answerBytes)})
		a.call.Finish(nil)
	}
	for range 12 {
		c := b.dial(t)
		must(t, c.SetReadBuffer(4<<10))
		c.send(raw("GET", ServicesPath+"booking/x", ""))
		answer()
		if held, _ := b.server.gate.Held(); held > memory {
			t.Fatalf("%d bytes are held, limit %d", held, memory)
		}
	}
	// An answer that is not taken gives way after a second.
	time.Sleep(1500 * time.Millisecond)
	for range 3 {
		c := b.dial(t).send(raw("GET", ServicesPath+"booking/x", ""))
		answer()
		resp, text := c.readAnswer()
		if resp.StatusCode() != 200 || len(text) != answerBytes {
			t.Errorf("status %d, %d bytes", resp.StatusCode(), len(text))
		}
	}
	if counted.revoked.Load() == 0 {
		t.Error("no answer gave way")
	}
}

// revokedCounter counts connections that gave way.
type revokedCounter struct{ revoked atomic.Int64 }

// Add implements gate.Metrics.
func (c *revokedCounter) Add(name string, n int64) {
	if name == "intake.revoked.memory" {
		c.revoked.Add(n)
	}
}

// Guards against memory that a connection keeps after its request.
func TestConnectionWithoutRequestHoldsNothing(t *testing.T) {
	b := startServer(t, func(o *Options) { o.MaxBodyBytes = 1 << 20 })
	c := b.dial(t)
	for _, bodyBytes := range []int{1 << 20, 0, 5000} {
		c.send(raw("POST", ServicesPath+"booking/x", strings.Repeat("b", bodyBytes)))
		if n := serveOne(t, b, c); n != bodyBytes {
			t.Errorf("a body of %d bytes arrived with %d", bodyBytes, n)
		}
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
			held, connections := b.server.gate.Held()
			if held == 0 && connections == 1 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%d bytes are held by %d connections", held, connections)
			}
		}
	}
}

// Guards against callers that keep all connections open and keep others out.
func TestIdleConnectionsGiveWayToNewOnes(t *testing.T) {
	b := startServer(t, func(o *Options) { o.MaxConnections = 4 })
	for i := range 12 {
		if i%2 == 0 {
			b.dial(t)
			continue
		}
		b.dial(t).send("POST /half HTTP/1.1\r\nHost:")
	}
	c := b.dial(t).send(raw("POST", ServicesPath+"booking/x", "b"))
	if n := serveOne(t, b, c); n != 1 {
		t.Errorf("a body of 1 byte arrived with %d", n)
	}
}

// Guards against a refusal that waits for a body, although its announced length says that it is
// too large.
func TestAnnouncedBodyThatIsTooLargeIsRefusedAtOnce(t *testing.T) {
	b := startServer(t, nil)
	for _, sent := range []string{"", "s"} {
		c := b.dial(t).send(partOf(1001, sent))
		must(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		if resp, text := c.readAnswer(); resp.StatusCode() != 413 || detail(t, text).Reason != outcome.BodyTooLarge || !resp.ConnectionClose() {
			t.Errorf("status %d: %s", resp.StatusCode(), text)
		}
	}
	c := b.dial(t).send(raw("POST", ServicesPath+"booking/x", "b", tooLargeHeader+": 1"))
	if n := serveOne(t, b, c); n != 1 {
		t.Errorf("a body of 1 byte arrived with %d", n)
	}
}

func TestBodiesInChunksAreReadUpToTheLimit(t *testing.T) {
	b := startServer(t, nil)
	for surplus, want := range []int{503, 413} {
		body := strings.Repeat("b", 1000+surplus-1)
		c := b.dial(t).send(fmt.Sprintf("POST %sbooking/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n1\r\nb\r\n0\r\n\r\n", ServicesPath, len(body), body))
		if want == 503 {
			if n := serveOne(t, b, c); n != 1000 {
				t.Errorf("a body of 1000 bytes arrived with %d", n)
			}
			continue
		}
		if resp, text := c.readAnswer(); resp.StatusCode() != want || detail(t, text).Reason != outcome.BodyTooLarge {
			t.Errorf("status %d: %s", resp.StatusCode(), text)
		}
	}
}

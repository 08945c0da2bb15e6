package upconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

// serve listens on a free port, passes the n-th connection to the n-th handler and
// returns the target.
func serve(t *testing.T, handlers ...func(net.Conn)) Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, handle := range handlers {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			handle(conn)
		}
	}()
	return Target{ID: ids.Instance{Upstream: "u"}, Address: l.Addr().String()}
}

// text returns a handler that writes s and closes the connection.
func text(s string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, s)
		_ = c.Close()
	}
}

// waitLong is a WaitFunc that never ends a read.
func waitLong(time.Duration) (time.Duration, error) { return 10 * time.Second, nil }

// connect returns a connection of the pool with the given WaitFunc.
func connect(t *testing.T, p *Pool, target Target, f WaitFunc) *Conn {
	t.Helper()
	c, err := p.Get(t.Context(), target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	c.SetWaitFunc(f)
	return c
}

func TestBodiesAreCompleteOrAnError(t *testing.T) {
	for name, c := range map[string]struct {
		bytes    string
		body     string
		whole    bool
		reusable bool
	}{
		"length":            {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc", true, true},
		"length, cut":       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", "", false, false},
		"chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "abc", true, true},
		"chunks, trailer":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n", "abc", true, true},
		"chunks, no end":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "", false, false},
		"chunks, cut end":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "", false, false},
		"until close":       {"HTTP/1.1 200 OK\r\n\r\nabc", "abc", true, false},
		"asked to close":    {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", "abc", true, false},
		"surplus":           {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200", "abc", true, false},
		"no body":           {"HTTP/1.1 204 No Content\r\n\r\n", "", true, true},
		"continue is first": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz", "z", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn := connect(t, NewPool(time.Now, DialDirect, nil), serve(t, text(c.bytes)), waitLong)
			a, err := conn.ReadResponse("GET")
			if err != nil {
				t.Fatal(err)
			}
			body, err := a.Body()
			if (err == nil) != c.whole || c.whole && string(body) != c.body {
				t.Errorf("body %q, error %v", body, err)
			}
			if reusable, _ := a.Reusable(); reusable != c.reusable {
				t.Errorf("reusable %v", reusable)
			}
		})
	}
}

func TestReadWithoutBytesEndsInTimeout(t *testing.T) {
	hold := make(chan struct{})
	target := serve(t, func(net.Conn) { <-hold })
	defer close(hold)
	asked := 0
	conn := connect(t, NewPool(time.Now, DialDirect, nil), target, func(waited time.Duration) (time.Duration, error) {
		asked++
		if waited >= 20*time.Millisecond {
			return 0, &ReadTimeoutError{Waited: waited}
		}
		return 10 * time.Millisecond, nil
	})
	_, err := conn.ReadResponse("GET")
	var silent *ReadTimeoutError
	if !errors.As(err, &silent) || asked < 3 {
		t.Errorf("error %v after %d calls of the WaitFunc, want a *ReadTimeoutError", err, asked)
	}
}

func TestAbortEndsARead(t *testing.T) {
	hold := make(chan struct{})
	target := serve(t, func(net.Conn) { <-hold })
	defer close(hold)
	ctx, cancel := context.WithCancel(t.Context())
	conn := connect(t, NewPool(time.Now, DialDirect, nil), target, waitLong)
	stop := conn.Bind(ctx, func(time.Duration) (time.Duration, error) { return time.Hour, nil })
	defer stop()
	time.AfterFunc(5*time.Millisecond, cancel)
	if _, err := conn.ReadResponse("GET"); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
}

func TestRefusedDialIsReported(t *testing.T) {
	_, err := NewPool(time.Now, DialDirect, nil).Get(t.Context(), Target{ID: ids.Instance{Upstream: "u"}, Address: refusingAddress(t)})
	var dialed *DialError
	if !errors.As(err, &dialed) || !dialed.Refused {
		t.Errorf("error %v", err)
	}
}

// refusingAddress returns an address that refuses connections until the end of the test: its port is
// taken by a socket that does not listen, so that no other process can listen there.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

func TestOnlyUsableConnectionsAreReused(t *testing.T) {
	now := time.Unix(0, 0)
	opened := 0
	p := NewPool(func() time.Time { return now }, DialDirect, func(Target) { opened++ })
	open := make(chan net.Conn, 8)
	target := serve(t, func(c net.Conn) { open <- c }, func(c net.Conn) { open <- c }, func(c net.Conn) { open <- c })
	first := connect(t, p, target, waitLong)
	<-open
	p.Put(first, 10*time.Second)
	if c := p.GetIdle(target); c != first || !c.Reused() {
		t.Fatal("a usable idle connection was not returned")
	}
	p.Put(first, 10*time.Second)
	now = now.Add(8 * time.Second)
	if c := p.GetIdle(target); c != nil {
		t.Error("returned a connection that its upstream will close soon")
	}
	second := connect(t, p, target, waitLong)
	server := <-open
	p.Put(second, 0)
	if _, err := server.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for c := second; c != nil; c = p.GetIdle(target) {
		// The byte may take a moment to arrive; until then the connection counts as
		// usable.
		p.Put(c, 0)
		time.Sleep(time.Millisecond)
	}
	third := connect(t, p, target, waitLong)
	p.Put(third, 0)
	p.CloseIdle(instance("u"))
	if c := p.GetIdle(target); c != nil {
		t.Error("returned a connection after CloseIdle")
	}
	if opened != 3 {
		t.Errorf("%d connections opened, want 3", opened)
	}
}

func TestPutSweepsIdleConnectionsOfOtherTargets(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPool(func() time.Time { return now }, DialDirect, nil)
	hold := func(net.Conn) {}
	a, b := serve(t, hold), serve(t, hold)
	a.ID, b.ID = instance("a"), instance("b")
	p.Put(connect(t, p, a, waitLong), 0)
	now = now.Add(defaultIdleTimeout + time.Second)
	p.Put(connect(t, p, b, waitLong), 0)
	if len(p.idle[a]) != 0 || len(p.idle[b]) != 1 {
		t.Errorf("pool holds %d connections for a and %d for b, want 0 and 1", len(p.idle[a]), len(p.idle[b]))
	}
}

func TestKeepAliveHeader(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "max=3, timeout=7": 7 * time.Second, "timeout=x": 0, "": 0, "timeout=-1": 0,
	} {
		if got := keepAliveTimeout(value); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

// instance returns the only known instance of an upstream that reports no start
// time.
func instance(name ids.Upstream) ids.Instance { return ids.Instance{Upstream: name} }

// Guards against a read that goes on after its context has ended while its WaitFunc ran.
func TestContextThatEndsInAWaitFuncEndsTheRead(t *testing.T) {
	target := serve(t, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
	c := connect(t, NewPool(time.Now, DialDirect, nil), target, waitLong)
	ctx, cancel := context.WithCancelCause(t.Context())
	stop := c.Bind(ctx, func(waited time.Duration) (time.Duration, error) {
		cancel(io.ErrClosedPipe)
		time.Sleep(20 * time.Millisecond) // The context's functions run meanwhile.
		return waitLong(waited)
	})
	defer stop()
	began := time.Now()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.ErrClosedPipe) || time.Since(began) > time.Second {
		t.Errorf("the read ended after %v with %v", time.Since(began), err)
	}
}

// Guards against a request that is written after its context has ended.
func TestNothingIsWrittenAfterTheContextEnded(t *testing.T) {
	got := make(chan int, 1)
	target := serve(t, func(c net.Conn) {
		n, _ := c.Read(make([]byte, 1))
		got <- n
	})
	c := connect(t, NewPool(time.Now, DialDirect, nil), target, waitLong)
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(io.ErrClosedPipe)
	stop := c.Bind(ctx, waitLong)
	defer stop()
	if err := c.Write([]byte("x"), time.Second); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("the write ended with %v", err)
	}
	c.Close()
	if n := <-got; n > 0 {
		t.Error("the upstream got a byte")
	}
}

// Guards against an interrupt that is lost because the read sets its deadline afterwards,
// against one that counts as waited time, and against one between two reads that makes the
// next one fail or keeps it from waiting.
func TestInterruptCallsTheWaitFunc(t *testing.T) {
	for name, c := range map[string]struct {
		// before and during are called before the read and in the first call of the WaitFunc.
		before, during func(c *Conn)
		calls          int
	}{
		"while the read waits":    {func(*Conn) {}, func(c *Conn) { time.AfterFunc(20*time.Millisecond, c.Interrupt) }, 2},
		"while the WaitFunc runs": {func(*Conn) {}, (*Conn).Interrupt, 2},
		"between reads":           {(*Conn).Interrupt, func(*Conn) {}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			target := serve(t, func(c net.Conn) {
				time.Sleep(60 * time.Millisecond)
				_, _ = io.WriteString(c, "x")
			})
			var waits []time.Duration
			var conn *Conn
			conn = connect(t, NewPool(time.Now, DialDirect, nil), target, func(waited time.Duration) (time.Duration, error) {
				if waits = append(waits, waited); len(waits) == 1 {
					c.during(conn)
				}
				return 5 * time.Second, nil
			})
			c.before(conn)
			if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
				t.Errorf("read %d bytes, error %v", n, err)
			}
			if !slices.Equal(waits, make([]time.Duration, c.calls)) {
				t.Errorf("waited times %v, want %d calls without any", waits, c.calls)
			}
		})
	}
}

// Guards against descriptors used up by connections to upstreams.
func TestPoolOpensNoMoreConnectionsThanItsLimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := NewPool(time.Now, DialDirect, nil)
	p.LimitOpen(2)
	a, b := Target{ID: ids.Instance{Upstream: "a"}, Address: l.Addr().String()}, Target{ID: ids.Instance{Upstream: "b"}, Address: l.Addr().String()}
	get := func(target Target) *Conn {
		t.Helper()
		c, err := p.Get(t.Context(), target)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	first, second := get(a), get(a)
	var full *LimitError
	if _, err := p.Get(t.Context(), b); !errors.As(err, &full) {
		t.Errorf("a third connection: %v", err)
	}
	p.Put(first, 0)
	p.Put(second, 0)
	third := get(b)
	if first.ClosedAt().IsZero() || !second.ClosedAt().IsZero() {
		t.Error("not the connection that was idle for longest was closed")
	}
	third.Close()
	third.Close()
	if get(a) != second {
		t.Error("the idle connection was not used")
	}
	if c, err := p.Get(t.Context(), b); err != nil {
		t.Errorf("after a connection was closed: %v", err)
	} else if _, err := p.Get(t.Context(), b); !errors.As(err, &full) {
		t.Errorf("with %v open: %v", c, err)
	}
}

package link

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"mimosaarch.example/standin/control"
)

// startEcho starts a relay whose target echoes what it receives.
func startEcho(t *testing.T) *Relay {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	r, err := Start(Config{Target: ln.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// dial opens a connection through the relay and checks that it echoes.
func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if got := exchange(c, "hello"); got != "hello" {
		t.Fatalf("new connection gave %q", got)
	}
	return c
}

// exchange sends text and returns the echo, or the empty string if that fails.
func exchange(c net.Conn, text string) string {
	if _, err := c.Write([]byte(text)); err != nil {
		return ""
	}
	reply := make([]byte, len(text))
	if _, err := io.ReadFull(c, reply); err != nil {
		return ""
	}
	return string(reply)
}

// reading reads one byte in the background and delivers the error of the read.
func reading(c net.Conn) <-chan error {
	out := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		out <- err
	}()
	return out
}

// set sets the mode over HTTP.
func set(t *testing.T, r *Relay, c Control) {
	t.Helper()
	if err := control.Post(r.ControlAddr(), c); err != nil {
		t.Fatal(err)
	}
}

func TestCutAndRefuse(t *testing.T) {
	r := startEcho(t)
	old := dial(t, r)
	set(t, r, Control{Mode: ModeCut})
	if got := exchange(old, "x"); got != "" {
		t.Errorf("old connection gave %q", got)
	}
	if c, err := net.Dial("tcp4", r.Addr()); err == nil {
		if got := exchange(c, "x"); got != "" {
			t.Errorf("new connection gave %q", got)
		}
		_ = c.Close()
	}
	set(t, r, Control{Mode: ModeOpen})
	old = dial(t, r)
	set(t, r, Control{Mode: ModeRefuse})
	if got := exchange(old, "x"); got != "" {
		t.Errorf("connection before the refusal gave %q", got)
	}
	if _, err := net.Dial("tcp4", r.Addr()); err == nil {
		t.Error("new connection not refused")
	}
	set(t, r, Control{Mode: ModeOpen})
	dial(t, r)
}

// Guards against another process that is given the port of a link while the link refuses connections.
func TestPortIsKeptWhileConnectionsAreRefused(t *testing.T) {
	for _, mode := range []Mode{ModeRefuse, ModeRefuseNew} {
		r := startEcho(t)
		set(t, r, Control{Mode: ModeOpen})
		old := dial(t, r)
		set(t, r, Control{Mode: mode})
		// A dial from the port fails if and only if the port is taken.
		from := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port(t, r)}}
		if c, err := from.Dial("tcp4", r.ControlAddr()); err == nil {
			_ = c.Close()
			t.Errorf("%s: another socket has the port", mode)
		}
		_ = old.Close()
		set(t, r, Control{Mode: ModeOpen})
		if got := exchange(dial(t, r), "again"); got != "again" {
			t.Errorf("%s: a connection after that answers %q", mode, got)
		}
	}
}

// Guards against a link that fails to refuse connections while this process starts others, which have
// its listener open from fork to exec.
func TestPortIsHeldOnceItsListenerHasEnded(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { _ = l.Close() })
	h, err := holdPort(l.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	h.release()
}

// port returns the port of a relay.
func port(t *testing.T, r *Relay) int {
	t.Helper()
	addr, err := net.ResolveTCPAddr("tcp4", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	return addr.Port
}

// Guards against a process that has ended whose host takes connections, or whose last bytes are
// lost.
func TestRefuseNewLeavesOpenConnections(t *testing.T) {
	r := startEcho(t)
	old := dial(t, r)
	set(t, r, Control{Mode: ModeRefuseNew})
	if c, err := net.Dial("tcp4", r.Addr()); err == nil {
		_ = c.Close()
		t.Error("a new connection is taken")
	}
	if got := exchange(old, "still"); got != "still" {
		t.Errorf("the old connection answers %q", got)
	}
	set(t, r, Control{Mode: ModeOpen})
	if got := exchange(dial(t, r), "again"); got != "again" {
		t.Errorf("a connection after that answers %q", got)
	}
}

func TestSilenceOldOnly(t *testing.T) {
	r := startEcho(t)
	old := dial(t, r)
	set(t, r, Control{Mode: ModeSilenceOld})
	silent := reading(old)
	if _, err := old.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		dial(t, r)
	}
	set(t, r, Control{Mode: ModeOpen})
	dial(t, r)
	select {
	case err := <-silent:
		t.Errorf("old connection is not silent: %v", err)
	default:
	}
	r.Close()
	if err := <-silent; err == nil {
		t.Error("old connection gave a byte")
	}
}

func TestSilenceHoldsBackUntilOpen(t *testing.T) {
	r := startEcho(t)
	c := dial(t, r)
	set(t, r, Control{Mode: ModeSilence})
	answer := reading(c)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	fresh, err := net.Dial("tcp4", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fresh.Close() }()
	later := reading(fresh)
	if _, err := fresh.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	for r.Stats().Open < 2 {
		runtime.Gosched()
	}
	direct := &Relay{addr: r.target}
	for range 20 {
		dial(t, direct)
	}
	select {
	case err := <-answer:
		t.Errorf("a silenced connection gave an answer: %v", err)
	case err := <-later:
		t.Errorf("a new connection gave an answer: %v", err)
	default:
	}
	set(t, r, Control{Mode: ModeOpen})
	if err := <-answer; err != nil {
		t.Errorf("after the mode silence: %v", err)
	}
	if err := <-later; err != nil {
		t.Errorf("new connection after the mode silence: %v", err)
	}
}

func TestSilenceHoldsBackBytes(t *testing.T) {
	f := newFaults()
	stop := make(chan struct{})
	if !f.waitWhileSilenced(toTarget, stop) {
		t.Error("mode open holds back bytes")
	}
	f.set(Control{Mode: ModeSilence})
	close(stop)
	if f.waitWhileSilenced(toTarget, stop) {
		t.Error("mode silence lets bytes pass")
	}
}

func TestOneWaySilenceHoldsBackOneDirection(t *testing.T) {
	for mode, held := range map[Mode]direction{ModeSilenceThere: toTarget, ModeSilenceBack: fromTarget} {
		f := newFaults()
		stop := make(chan struct{})
		close(stop)
		f.set(Control{Mode: mode})
		if f.waitWhileSilenced(held, stop) {
			t.Errorf("%s lets bytes pass in the direction that it holds back", mode)
		}
		if !f.waitWhileSilenced(toTarget+fromTarget-held, stop) {
			t.Errorf("%s holds back bytes in the other direction", mode)
		}
	}
}

func TestOneWaySilenceEndsWithOpen(t *testing.T) {
	for _, mode := range []Mode{ModeSilenceThere, ModeSilenceBack} {
		r := startEcho(t)
		c := dial(t, r)
		set(t, r, Control{Mode: mode})
		answer := reading(c)
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		direct := &Relay{addr: r.target}
		for range 20 {
			dial(t, direct)
		}
		select {
		case err := <-answer:
			t.Errorf("%s gave an answer: %v", mode, err)
		default:
		}
		set(t, r, Control{Mode: ModeOpen})
		if err := <-answer; err != nil {
			t.Errorf("after %s: %v", mode, err)
		}
	}
}

func TestSlowDelaysAndLimitsRate(t *testing.T) {
	f := newFaults()
	if delay, transmission := f.pace(1000); delay != 0 || transmission != 0 {
		t.Errorf("open: %v, %v", delay, transmission)
	}
	f.set(Control{Mode: ModeSlow, DelayMs: 30, BytesPerSecond: 10000})
	delay, transmission := f.pace(1000)
	if delay != 30*time.Millisecond || transmission != 100*time.Millisecond {
		t.Errorf("slow: %v, %v", delay, transmission)
	}
	r := startEcho(t)
	from, err := net.Dial("tcp4", r.target)
	if err != nil {
		t.Fatal(err)
	}
	chunks := make(chan chunk, 1)
	go newPair(nil, f).read(toTarget, from.(*net.TCPConn), chunks)
	before := time.Now()
	if _, err := from.Write(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	if c := <-chunks; c.due.Before(before.Add(delay)) {
		t.Errorf("bytes are due %v after they were sent", c.due.Sub(before))
	}
	_ = from.Close()
	set(t, r, Control{Mode: ModeSlow, DelayMs: 1, BytesPerSecond: 1 << 20})
	dial(t, r)
	if err := control.Post(r.ControlAddr(), Control{Mode: "odd"}); err == nil {
		t.Error("unknown mode accepted")
	}
}

// Guards against a relay that turns the reset of its target into an orderly end, also where it is
// told of it while it writes.
func TestResetOfTheTargetIsPassedOn(t *testing.T) {
	for _, upload := range []int{0, 8 << 20} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1))
				_, _ = io.WriteString(c, "part")
				abort(c.(*net.TCPConn))
			}
		}()
		r, err := Start(Config{Target: ln.Addr().String()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		for range 20 {
			c, err := net.Dial("tcp4", r.Addr())
			if err != nil {
				t.Fatal(err)
			}
			written := make(chan error, 1)
			go func() {
				_, err := c.Write(make([]byte, 1+upload))
				written <- err
			}()
			_, err = io.Copy(io.Discard, c)
			if failed := <-written; err == nil && failed == nil {
				t.Errorf("after an upload of %d bytes the connection has ended in order", upload)
			}
			_ = c.Close()
		}
	}
}

package intake

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// start is the time at which the tests begin.
var start = time.Unix(1_700_000_000, 0)

// after returns a time in seconds after the start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// open opens a connection in a state.
func open(t *testing.T, table *Table, s State, at time.Time) *Conn {
	t.Helper()
	c, v := table.Open(at)
	if !v.Granted {
		t.Fatalf("connection not granted: %+v", v)
	}
	table.Enter(c, s, at)
	return c
}

// reserve reserves bytes that have to be granted.
func reserve(t *testing.T, table *Table, c *Conn, n int64, at time.Time) {
	t.Helper()
	if v := table.Reserve(c, n, at); !v.Granted {
		t.Fatalf("%d bytes not granted: %+v", n, v)
	}
}

const mb = 1 << 20

func TestBytesWithoutProgressForLongestGiveWay(t *testing.T) {
	table := New(Limits{Bytes: 8 * mb})
	stalled, slow := open(t, table, Reading, after(0)), open(t, table, Reading, after(0))
	reserve(t, table, stalled, 3*mb, after(0))
	reserve(t, table, slow, 3*mb, after(0))
	table.Progress(slow, progressBytes, after(2))
	late := open(t, table, Reading, after(2.5))
	v := table.Reserve(late, mb, after(2.5))
	if v.Granted || !v.Wait || len(v.Revoke) != 1 || v.Revoke[0] != stalled || stalled.Revoked() != Memory {
		t.Fatalf("%+v", v)
	}
	if v := table.Reserve(late, mb, after(2.5)); !v.Wait || len(v.Revoke) != 0 {
		t.Errorf("before the bytes are back: %+v", v)
	}
	table.Release(stalled, stalled.Held())
	reserve(t, table, late, mb, after(2.5))
	if v := table.Reserve(stalled, 1, after(2.5)); v.Granted || v.Wait {
		t.Errorf("a revoked connection: %+v", v)
	}
}

func TestNewestGivesWayIfAllMakeProgress(t *testing.T) {
	table := New(Limits{Bytes: 8 * mb})
	first, second := open(t, table, Reading, after(0)), open(t, table, Reading, after(0))
	reserve(t, table, first, 3*mb, after(0))
	reserve(t, table, second, 2*mb, after(0.1))
	if v := table.Reserve(first, 2*mb, after(0.2)); !v.Wait || len(v.Revoke) != 1 || v.Revoke[0] != second {
		t.Errorf("the first one asks: %+v", v)
	}
	table.Close(second)
	third := open(t, table, Reading, after(0.3))
	reserve(t, table, third, 2*mb, after(0.3))
	if v := table.Reserve(third, 2*mb, after(0.4)); v.Granted || v.Wait || len(v.Revoke) != 0 {
		t.Errorf("the newest one asks: %+v", v)
	}
}

func TestSmallBodiesFitBesideServedLargeOnes(t *testing.T) {
	table := New(Limits{Bytes: 8 * mb})
	for {
		c := open(t, table, Reading, after(0))
		if !table.Reserve(c, mb, after(0)).Granted {
			break
		}
		table.Enter(c, Serving, after(0))
	}
	for range 10 {
		reserve(t, table, open(t, table, Reading, after(9)), SmallBytes, after(9))
	}
}

func TestServedRequestsKeepTheirBytes(t *testing.T) {
	table := New(Limits{Bytes: 8 * mb})
	served := open(t, table, Reading, after(0))
	reserve(t, table, served, 5*mb, after(0))
	table.Enter(served, Serving, after(0))
	late := open(t, table, Reading, after(60))
	if v := table.Reserve(late, 2*mb, after(60)); v.Granted || v.Wait || served.Revoked() != "" {
		t.Errorf("%+v, served one revoked for %q", v, served.Revoked())
	}
	table.Enter(served, Delivering, after(60))
	if v := table.Reserve(late, 2*mb, after(60.5)); v.Wait {
		t.Errorf("a response under delivery gives way at once: %+v", v)
	}
	if v := table.Reserve(late, 2*mb, after(62)); !v.Wait || served.Revoked() != Memory {
		t.Errorf("a response that is not taken: %+v", v)
	}
}

func TestConnectionsIdleForLongestGiveWay(t *testing.T) {
	table := New(Limits{Connections: 3})
	busy, idle := open(t, table, Serving, after(0)), open(t, table, Waiting, after(1))
	open(t, table, Waiting, after(2))
	c, v := table.Open(after(3))
	if c != nil || !v.Wait || len(v.Revoke) != 1 || v.Revoke[0] != idle || idle.Revoked() != Connections {
		t.Fatalf("%+v", v)
	}
	if _, v := table.Open(after(3)); !v.Wait || len(v.Revoke) != 0 {
		t.Errorf("before the place is free: %+v", v)
	}
	table.Close(idle)
	table.Enter(open(t, table, Waiting, after(3)), Serving, after(3))
	table.Close(busy)
	table.Enter(open(t, table, Waiting, after(4)), Serving, after(4))
	if _, v := table.Open(after(5)); v.Granted || !v.Wait {
		t.Errorf("one connection still waits: %+v", v)
	}
}

// The limits hold in any order of calls, sums match what the connections hold, and a connection
// that waits is granted its bytes or refused once the revoked ones have gone.
func TestLimitsHoldInAnyOrderOfCalls(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			limits := Limits{Bytes: 4 * mb, Connections: 20}
			table := New(limits)
			var conns []*Conn
			now := start
			for range 2000 {
				now = now.Add(time.Duration(r.IntN(200)) * time.Millisecond)
				if len(conns) == 0 || r.IntN(5) == 0 {
					if c, v := table.Open(now); v.Granted {
						conns = append(conns, c)
					}
					continue
				}
				i := r.IntN(len(conns))
				c := conns[i]
				switch r.IntN(7) {
				case 0:
					table.Close(c)
					conns = append(conns[:i], conns[i+1:]...)
				case 1:
					table.Enter(c, State(r.IntN(4)), now)
				case 2:
					table.Progress(c, r.IntN(2*progressBytes), now)
				case 3:
					table.Release(c, r.Int64N(c.Held()+1))
				case 4:
					n := r.Int64N(mb)
					if held := table.held; table.ReserveSpare(c, n) != (held+n <= limits.Bytes/2 && c.revoked == "") {
						t.Fatalf("%d spare bytes beside %d", n, held)
					}
				default:
					n := r.Int64N(mb)
					v := table.Reserve(c, n, now)
					if fits := table.held+n <= limits.Bytes/2 && c.revoked == ""; fits && !v.Granted {
						t.Fatalf("%d bytes are not granted beside %d: %+v", n, table.held, v)
					}
				}
				check(t, table, conns, limits)
			}
		})
	}
}

// check fails if a table's sums do not match its connections, or exceed its limits.
func check(t *testing.T, table *Table, conns []*Conn, limits Limits) {
	t.Helper()
	var held, large, leaving int64
	givingWay := 0
	for _, c := range conns {
		held += c.held
		if c.held > SmallBytes {
			large += c.held
		}
		if c.revoked != "" {
			leaving += c.held
		}
		if c.revoked == Connections {
			givingWay++
		}
		if listed := c.byProgress != nil; listed != (c.revoked == "" && c.state != Serving) {
			t.Fatalf("a connection in state %d, revoked for %q, is listed: %v", c.state, c.revoked, listed)
		}
	}
	if held != table.held || large != table.heldByLarge || leaving != table.leaving || givingWay != table.givingWay || len(conns) != table.conns {
		t.Fatalf("sums %d %d %d %d %d, want %d %d %d %d %d", table.held, table.heldByLarge, table.leaving, table.givingWay, table.conns, held, large, leaving, givingWay, len(conns))
	}
	if held > limits.Bytes || large > limits.Bytes*3/4 || len(conns) > limits.Connections {
		t.Fatalf("%d bytes, %d of large ones, %d connections", held, large, len(conns))
	}
}

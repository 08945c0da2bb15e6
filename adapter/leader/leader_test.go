package leader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/lease"
)

// duration is the duration of the leases.
const duration = 4 * time.Second

// object implements Store in memory.
type object struct {
	version revision.Revision
	record  lease.Record
	// down makes calls fail. calls counts all calls.
	down  atomic.Bool
	calls atomic.Int64
}

// Call implements Store.
func (o *object) Call(_ context.Context, c lease.Command) lease.Answer {
	o.calls.Add(1)
	if o.down.Load() {
		return lease.Answer{Kind: lease.Failed}
	}
	if w, ok := c.(lease.Write); ok && w.IfMatch == o.version {
		o.version.Number++
		o.record = w.Record
	}
	if o.version.IsZero() {
		return lease.Answer{Kind: lease.Absent}
	}
	return lease.Answer{Kind: lease.Found, Version: o.version, Record: o.record}
}

// withElector runs a test with an Elector in a synctest bubble.
func withElector(t *testing.T, test func(e *Elector, o *object, candidate *atomic.Bool)) {
	synctest.Test(t, func(t *testing.T) {
		o, candidate := &object{}, &atomic.Bool{}
		candidate.Store(true)
		e := New(Options{
			Lease: lease.Options{Holder: "a", Duration: duration}, Store: o, Now: time.Now, Candidate: candidate.Load,
		})
		ctx, stop := context.WithCancel(t.Context())
		go e.Run(ctx)
		test(e, o, candidate)
		stop()
		synctest.Wait()
	})
}

// advance lets time pass.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestLeaseIsTakenAndKept(t *testing.T) {
	withElector(t, func(e *Elector, o *object, _ *atomic.Bool) {
		advance(duration)
		first := e.Status()
		advance(10 * duration)
		if now := e.Status(); !first.Held || !now.Held || now.Fence != first.Fence {
			t.Errorf("held %v with fence %d, then %v with fence %d", first.Held, first.Fence, now.Held, now.Fence)
		}
	})
}

func TestLeaseExpiresDuringStoreOutage(t *testing.T) {
	withElector(t, func(e *Elector, o *object, _ *atomic.Bool) {
		advance(duration)
		o.down.Store(true)
		advance(2 * duration)
		if e.Status().Held {
			t.Error("the lease outlived its duration")
		}
		if last := e.LastTerm(); !last.Held {
			t.Error("the expired term is not reported")
		}
		o.down.Store(false)
		advance(2 * duration)
		if !e.Status().Held {
			t.Error("the lease was not acquired again")
		}
	})
}

func TestNodeThatIsNoCandidateResigns(t *testing.T) {
	withElector(t, func(e *Elector, o *object, candidate *atomic.Bool) {
		advance(duration)
		candidate.Store(false)
		advance(duration)
		if e.Status().Held {
			t.Error("a node that is no candidate holds the lease")
		}
		calls := o.calls.Load()
		advance(5 * duration)
		if now := o.calls.Load(); now != calls {
			t.Errorf("%d calls by a node that is no candidate", now-calls)
		}
		candidate.Store(true)
		advance(2 * duration)
		if !e.Status().Held {
			t.Error("not held by a node that is a candidate again")
		}
	})
}

func TestSteppingDownEndsTheTerm(t *testing.T) {
	withElector(t, func(e *Elector, o *object, _ *atomic.Bool) {
		advance(duration)
		old := e.Status().Fence
		e.StepDown()
		if e.Status().Held {
			t.Error("held after stepping down")
		}
		advance(3 * duration)
		if now := e.Status(); now.Held && now.Fence <= old {
			t.Errorf("fence %d again after %d", now.Fence, old)
		}
	})
}

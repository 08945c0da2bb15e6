package leader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mimosaarch.example/decide/lease"
)

// duration of the leases under test.
const duration = 4 * time.Second

// object is the lease's object in a store that holds nothing else.
type object struct {
	version int64
	record  lease.Record
	// down makes calls fail; calls counts all.
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
		o.version++
		o.record = w.Record
	}
	if o.version == 0 {
		return lease.Answer{Kind: lease.Absent}
	}
	return lease.Answer{Kind: lease.Found, Version: o.version, Record: o.record}
}

// keep runs a Elector in a bubble.
func keep(t *testing.T, test func(k *Elector, o *object, wanted *atomic.Bool)) {
	synctest.Test(t, func(t *testing.T) {
		o, wanted := &object{}, &atomic.Bool{}
		wanted.Store(true)
		k := New(Options{
			Lease: lease.Options{Holder: "a", Duration: duration}, Store: o, Now: time.Now, Candidate: wanted.Load,
		})
		ctx, stop := context.WithCancel(t.Context())
		go k.Run(ctx)
		test(k, o, wanted)
		stop()
		synctest.Wait()
	})
}

// after lets time pass.
func after(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestLeaseIsTakenAndKept(t *testing.T) {
	keep(t, func(k *Elector, o *object, _ *atomic.Bool) {
		after(duration)
		first := k.Status()
		after(10 * duration)
		if now := k.Status(); !first.Held || !now.Held || now.Fence != first.Fence {
			t.Errorf("held %v as %d, then %v as %d", first.Held, first.Fence, now.Held, now.Fence)
		}
	})
}

func TestLeaseLapsesWithTheStore(t *testing.T) {
	keep(t, func(k *Elector, o *object, _ *atomic.Bool) {
		after(duration)
		o.down.Store(true)
		after(2 * duration)
		if k.Status().Held {
			t.Error("the lease outlived its duration")
		}
		if lapsed := k.LastTerm(); !lapsed.Held {
			t.Error("the lapsed term is not told")
		}
		o.down.Store(false)
		after(2 * duration)
		if !k.Status().Held {
			t.Error("the lease was not taken again")
		}
	})
}

func TestNodeThatIsNoCandidateGivesUp(t *testing.T) {
	keep(t, func(k *Elector, o *object, wanted *atomic.Bool) {
		after(duration)
		wanted.Store(false)
		after(duration)
		if k.Status().Held {
			t.Error("held though not wanted")
		}
		calls := o.calls.Load()
		after(5 * duration)
		if now := o.calls.Load(); now != calls {
			t.Errorf("%d calls for a lease that is not wanted", now-calls)
		}
		wanted.Store(true)
		after(2 * duration)
		if !k.Status().Held {
			t.Error("not held though wanted again")
		}
	})
}

func TestSteppingDownEndsTheTerm(t *testing.T) {
	keep(t, func(k *Elector, o *object, _ *atomic.Bool) {
		after(duration)
		old := k.Status().Fence
		k.StepDown()
		if k.Status().Held {
			t.Error("held after stepping down")
		}
		after(3 * duration)
		if now := k.Status(); now.Held && now.Fence <= old {
			t.Errorf("fence %d again after %d", now.Fence, old)
		}
	})
}

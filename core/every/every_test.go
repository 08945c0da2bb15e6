package every

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestDoCallsUntilContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		calls := 0
		done := make(chan struct{})
		go func() {
			Do(ctx, time.Second, func() { calls++ })
			close(done)
		}()
		time.Sleep(3500 * time.Millisecond)
		stop()
		<-done
		if calls != 3 {
			t.Errorf("%d calls in 3.5 intervals, want 3", calls)
		}
	})
}

func TestSignalTriggersCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer stop()
		signal := make(chan struct{}, 1)
		var at []time.Duration
		began := time.Now()
		time.AfterFunc(300*time.Millisecond, func() { signal <- struct{}{} })
		DoOrOnSignal(ctx, time.Second, signal, func() { at = append(at, time.Since(began)) })
		if len(at) != 3 || at[0] != 300*time.Millisecond || at[1] != time.Second {
			t.Errorf("called after %v, want calls after 300ms, 1s and 2s", at)
		}
	})
}

func TestMissedIntervalsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer stop()
		calls := 0
		Do(ctx, time.Second, func() {
			calls++
			time.Sleep(5 * time.Second)
		})
		if calls != 2 {
			t.Errorf("%d calls of 5 s each in 10.5 s, want those at 1 and 6 s", calls)
		}
	})
}

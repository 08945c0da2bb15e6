// Package every calls functions periodically.
package every

import (
	"context"
	"time"
)

// Do calls f once per interval until ctx ends. The first call is one interval from
// now. Calls never overlap; intervals that pass during a long call are skipped.
func Do(ctx context.Context, interval time.Duration, f func()) {
	DoOrOnSignal(ctx, interval, nil, f)
}

// DoOrOnSignal is like Do, but also calls f for each value received from signal. A
// nil signal is never ready.
func DoOrOnSignal(ctx context.Context, interval time.Duration, signal <-chan struct{}, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-signal:
		}
		// After a long call ctx may have ended although the ticker or signal was
		// selected.
		if ctx.Err() != nil {
			return
		}
		f()
	}
}

// Sleep pauses for d or until ctx ends, whichever is earlier. It returns
// immediately if d is not positive.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

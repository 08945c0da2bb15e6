// Package every repeats a duty at a fixed pace.
package every

import (
	"context"
	"time"
)

// Do calls f once in each interval, the first time after one, until ctx ends.
// Calls do not overlap; intervals that a long call missed are left out.
func Do(ctx context.Context, interval time.Duration, f func()) {
	DoOrOnSignal(ctx, interval, nil, f)
}

// DoOrOnSignal is Do that also calls f whenever soon is told.
func DoOrOnSignal(ctx context.Context, interval time.Duration, soon <-chan struct{}, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-soon:
		}
		// Several may be due after a long call.
		if ctx.Err() != nil {
			return
		}
		f()
	}
}

// Sleep waits so long, not at all for less than nothing, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Package boottime reads the clock that deadlines, leases and ages are measured
// with: the time since the VM booted, including the time it was suspended. Unlike
// the time of day it never jumps, and unlike Go's monotonic clock it does not stop
// while the VM is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time. Only times returned by Now may be
// compared with it or subtracted from it.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Package boottime reads the clock that deadlines, leases and ages are counted
// on: time since the VM started, counting the time it was suspended. Unlike the
// time of day it never jumps, and unlike Go's monotonic clock it does not stand
// still while the VM is frozen.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now gives the time since the VM's start as a time.Time. Such times may be
// compared with and subtracted from each other only.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Since gives the time passed since t, which came from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

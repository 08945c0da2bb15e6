package entry

import "mimosaarch.example/decide/intake"

// callerMemoryFraction is the part of the process's memory for what callers' connections hold. The
// rest is for the node's own state, the stacks of its goroutines, and what the collector has not
// reclaimed yet.
const callerMemoryFraction = 0.25

// intakeLimits returns the limits of what callers' connections hold.
func intakeLimits(s Settings) intake.Limits {
	return intake.Limits{
		Bytes:       int64(float64(s.MemoryLimitBytes) * callerMemoryFraction),
		Connections: part(s.MaxSockets, callerSocketFraction),
	}
}

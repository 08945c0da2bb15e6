package entry

import "mimosaarch.example/decide/intake"

// callerMemoryFraction is the part of the process's memory for what callers' connections hold. The
// rest is for the node's own state, the stacks of its goroutines, and what the collector has not
// reclaimed yet.
const callerMemoryFraction = 0.25

// Connections that the process has not accepted yet.
const (
	// unacceptedMemoryFraction is the part of the process's memory for the bytes that the kernel
	// holds for them.
	unacceptedMemoryFraction = 0.125
	// unacceptedBytes is the most that the kernel holds for one of them: the default receive
	// buffer of Linux.
	unacceptedBytes = 128 << 10
)

// callerBacklog returns the most callers' connections that wait to be accepted, 0 for no bound of
// the process.
func callerBacklog(s Settings) int {
	return int(float64(s.MemoryLimitBytes) * unacceptedMemoryFraction / unacceptedBytes)
}

// intakeLimits returns the limits of what callers' connections hold.
func intakeLimits(s Settings) intake.Limits {
	return intake.Limits{
		Bytes:       int64(float64(s.MemoryLimitBytes) * callerMemoryFraction),
		Connections: part(s.MaxSockets, callerSocketFraction),
	}
}

// Package processor tells what a process uses its processor for: how long work that is ready
// to run waits for it, how much time the process has used, and how much of that its duties took.
package processor

import (
	"cmp"
	"maps"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Wait measures how long a goroutine that is ready to run waits for a processor.
func Wait() time.Duration {
	start := time.Now()
	runtime.Gosched()
	return time.Since(start)
}

// Usage is the time that one duty took.
type Usage struct {
	Duty  string
	Calls int
	Time  time.Duration
}

// Report says what the processor was used for since the previous report.
type Report struct {
	// Elapsed is the length of the period.
	Elapsed time.Duration
	// LongestWait is the longest wait for the processor, and MeanWait the mean of all samples.
	LongestWait, MeanWait time.Duration
	// Used is the processor time of the whole process.
	Used time.Duration
	// Duties holds the duties that were measured, those that took longest first. A duty that
	// waits for the processor itself takes longer than the processor time it uses.
	Duties []Usage
}

// Monitor adds up waits and duties. Its methods are safe for concurrent use. A nil Monitor
// records nothing.
type Monitor struct {
	mu       sync.Mutex
	duties   map[string]Usage
	longest  time.Duration
	sum      time.Duration
	samples  int
	since    time.Time
	usedThen time.Duration
	// latest is the longest wait of the previous period.
	latest time.Duration
}

// NewMonitor returns a Monitor whose first period begins now.
func NewMonitor() *Monitor {
	return &Monitor{duties: make(map[string]Usage), since: time.Now(), usedThen: used()}
}

// Sample measures the wait for the processor.
func (m *Monitor) Sample() {
	wait := Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longest = max(m.longest, wait)
	m.sum += wait
	m.samples++
}

// Begin begins to measure a duty, which must not wait for anything but the processor. The
// returned function ends that.
func (m *Monitor) Begin(duty string) (end func()) {
	if m == nil {
		return func() {}
	}
	start := time.Now()
	return func() { m.add(duty, time.Since(start)) }
}

// add records one call of a duty.
func (m *Monitor) add(duty string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.duties[duty]
	m.duties[duty] = Usage{Duty: duty, Calls: u.Calls + 1, Time: u.Time + took}
}

// LongestWait returns the longest wait for the processor in this period and the one before.
func (m *Monitor) LongestWait() time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.longest, m.latest)
}

// Report ends a period and returns its report.
func (m *Monitor) Report() Report {
	now, usedNow := time.Now(), used()
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Report{Elapsed: now.Sub(m.since), LongestWait: m.longest, Used: usedNow - m.usedThen, Duties: slices.Collect(maps.Values(m.duties))}
	if m.samples > 0 {
		r.MeanWait = m.sum / time.Duration(m.samples)
	}
	slices.SortFunc(r.Duties, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Time, x.Time), cmp.Compare(x.Duty, y.Duty))
	})
	clear(m.duties)
	m.latest, m.longest, m.sum, m.samples = m.longest, 0, 0, 0
	m.since, m.usedThen = now, usedNow
	return r
}

// used returns the processor time of the process, 0 if it is not known.
func used() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

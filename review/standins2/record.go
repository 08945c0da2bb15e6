package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	began time.Time

	mu      sync.Mutex
	file    *os.File
	runs    map[string]int
	crashes []time.Time
	// arrivals holds the times at which engines began to run requests.
	arrivals map[string][]time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, runs: make(map[string]int), arrivals: make(map[string][]time.Time)}, nil
}

// add writes a line with the time since the beginning.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// ran notes a run of a request by an engine.
func (r *record) ran(request, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request]++
	r.arrivals[engine] = append(r.arrivals[engine], time.Now())
}

// runsAfter returns how many requests an engine has begun to run after a time.
func (r *record) runsAfter(engine string, after time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, at := range r.arrivals[engine] {
		if at.After(after) {
			n++
		}
	}
	return n
}

// crashed notes the time at which an engine crashed.
func (r *record) crashed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, time.Now())
}

// crashTimes returns the times of all crashes.
func (r *record) crashTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.crashes...)
}

// runsOf returns how often a request has run.
func (r *record) runsOf(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[request]
}

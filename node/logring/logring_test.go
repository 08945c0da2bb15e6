package logring

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
)

func TestWriteDoesNotBlockOnAStalledReader(t *testing.T) {
	r, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	w := New(out)
	line := []byte(strings.Repeat("x", 300) + "\n")
	for range 10 * ringCapacity {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	// Closing both ends of the pipe ends the ring buffer's goroutine.
	if err := r.Close(); err != nil {
		t.Error(err)
	}
	if err := out.Close(); err != nil {
		t.Error(err)
	}
}

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func TestDroppedLinesAreCounted(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out)
	for i := range 3 * ringCapacity {
		_, _ = fmt.Fprintf(w, "line %d\n", i) // never fails
	}
	close(out.release)
	for w.Dropped() == 0 {
		_, _ = fmt.Fprintln(w, "more")
	}
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.b.String(), `"event":"log_lines_dropped"`) {
		t.Error("the log does not report the dropped lines")
	}
}

package backoff

import (
	"testing"
	"time"
)

func TestExponentialGrowsToTheLimit(t *testing.T) {
	for failures, want := range []time.Duration{1, 2, 4, 8, 9, 9} {
		if got := Exponential(time.Second, 9*time.Second, failures); got != want*time.Second {
			t.Errorf("after %d failures: got %v, want %v", failures, got, want*time.Second)
		}
	}
	if got := Exponential(time.Second, time.Hour*1000, 1<<30); got != 1024*time.Second {
		t.Errorf("after 1<<30 failures: got %v, want 1024s", got)
	}
}

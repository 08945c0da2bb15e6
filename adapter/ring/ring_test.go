package ring

import (
	"context"
	"errors"
	"testing"
)

func TestFullRingRefusesAndKeepsOrder(t *testing.T) {
	r := New[int]("test", 2)
	for i := range 2 {
		if err := r.Offer(i); err != nil {
			t.Fatal(err)
		}
	}
	var full *FullError
	if err := r.Offer(2); !errors.As(err, &full) || full.Name != "test" || r.Len() != 2 {
		t.Fatalf("offer to a full ring: %v, %d items", err, r.Len())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var wait *WaitError
	if err := r.Put(ctx, 2); !errors.As(err, &wait) || !errors.Is(err, context.Canceled) {
		t.Fatalf("put with a canceled context: %v", err)
	}
	for want := range 2 {
		if got := <-r.Out(); got != want {
			t.Fatalf("took %d, want %d", got, want)
		}
	}
	if err := r.Put(context.Background(), 3); err != nil || <-r.Out() != 3 {
		t.Fatalf("put to an empty ring: %v", err)
	}
}

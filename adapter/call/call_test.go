package call

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
)

func push(c *Call, ctx context.Context, index int, text string) error {
	return c.Push(ctx, engineapi.Token{Index: index, Text: text})
}

func TestSlowCallerErrorLosesNoToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("r", Options{Capacity: 1, StallAfter: time.Second})
		defer c.Finish(nil)
		if err := push(c, t.Context(), 0, "a"); err != nil {
			t.Fatal(err)
		}
		var slow *SlowCallerError
		if err := push(c, t.Context(), 1, "b"); !errors.As(err, &slow) {
			t.Fatalf("push with a full buffer: %v", err)
		}
		if diff := cmp.Diff([]string{"a"}, c.Delivered()); diff != "" {
			t.Fatal(diff)
		}
		<-c.Tokens()
		if err := push(c, t.Context(), 1, "b"); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"a", "b"}, c.Delivered()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestPushEndsWithContextAndWithCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("r", Options{Capacity: 1, StallAfter: time.Hour})
		if err := push(c, t.Context(), 0, "a"); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := push(c, ctx, 1, "b"); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("push after its context ended: %v", err)
		}
		before := time.Now()
		time.AfterFunc(time.Second, func() { c.Finish(outcome.Refuse(outcome.Draining, "", 0)) })
		var finished *FinishedError
		if err := push(c, t.Context(), 1, "b"); !errors.As(err, &finished) || time.Since(before) != time.Second {
			t.Fatalf("push while the call finished: %v after %v", err, time.Since(before))
		}
		if err := push(c, t.Context(), 1, "b"); !errors.As(err, &finished) {
			t.Fatalf("push after the call finished: %v", err)
		}
	})
}

func TestPushTakesOnlyTheNextToken(t *testing.T) {
	c := New("r", Options{})
	defer c.Finish(nil)
	var order *TokenOrderError
	for _, index := range []int{-1, 1} {
		if err := push(c, t.Context(), index, "x"); !errors.As(err, &order) || c.TokenCount() != 0 {
			t.Fatalf("token %d: %v", index, err)
		}
	}
}

func TestOnlyFirstFinishCounts(t *testing.T) {
	c := New("r", Options{})
	if c.Err() != nil || c.Answer() != nil {
		t.Fatal("a new call has an error or an answer")
	}
	c.Finish(outcome.Refuse(outcome.QueueFull, "", 0))
	c.Finish(nil)
	c.SetAnswer(PlainAnswer{Status: 200})
	<-c.Done()
	if err := c.Err(); err == nil || err.Reason != outcome.QueueFull || c.Answer() != nil {
		t.Fatalf("error %v, answer %v", err, c.Answer())
	}
}

func TestPushContinuesWhenCallerIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("r", Options{Capacity: 1, StallAfter: time.Hour})
		defer c.Finish(nil)
		before := time.Now()
		time.AfterFunc(time.Second, c.MarkCallerGone)
		for i := range 5 {
			if err := push(c, t.Context(), i, "x"); err != nil {
				t.Fatal(err)
			}
		}
		if c.TokenCount() != 5 || time.Since(before) != time.Second {
			t.Fatalf("%d tokens recorded after %v", c.TokenCount(), time.Since(before))
		}
	})
}

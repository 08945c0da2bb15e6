package listwatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// errAway stands for a store that does not answer.
var errAway = errors.New("away")

// scripted is a Source that answers each call by the next step, and waits
// without end after the last.
type scripted struct {
	steps []any
	calls []string
}

func (s *scripted) next(ctx context.Context, call string) any {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step
}

func (s *scripted) List(ctx context.Context, stale bool) (List[string], error) {
	call := "list"
	if stale {
		call = "list stale"
	}
	switch step := s.next(ctx, call).(type) {
	case List[string]:
		return step, nil
	case error:
		return List[string]{}, step
	}
	panic("a list is not what comes next")
}

func (s *scripted) Watch(ctx context.Context, since int64, wait time.Duration) (Changes[string], error) {
	switch step := s.next(ctx, fmt.Sprintf("watch %d %v", since, wait)).(type) {
	case Changes[string]:
		return step, nil
	case error:
		return Changes[string]{}, step
	}
	panic("changes are not what comes next")
}

// recorder is a Sink.
type recorder struct{ got []string }

func (r *recorder) Listed(l List[string]) { r.got = append(r.got, fmt.Sprint("listed ", l.Items)) }
func (r *recorder) Changed(c Changes[string]) {
	for _, e := range c.Events {
		if e.Put != nil {
			r.got = append(r.got, "put "+*e.Put)
		} else {
			r.got = append(r.got, "removed "+e.Removed.Name)
		}
	}
}
func (r *recorder) Failed(error) { r.got = append(r.got, "lost") }
func (r *recorder) Recovered()   { r.got = append(r.got, "returned") }

// run follows a script to its end.
func run(t *testing.T, steps ...any) (calls, got []string) {
	t.Helper()
	source, sink := &scripted{steps: steps}, &recorder{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		go New[string](source, sink, Options{Log: zerolog.Nop()}).Run(ctx)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
	})
	return source.calls, sink.got
}

func put(s string) Event[string] { return Event[string]{Put: &s} }

func TestFollowsFromTheListOn(t *testing.T) {
	calls, got := run(t,
		List[string]{Items: []string{"a"}, Revision: 5},
		Changes[string]{Events: []Event[string]{put("b"), {Removed: Removal{Name: "a", Revision: 7}}}, Revision: 7},
		Changes[string]{Revision: 9},
	)
	if diff := cmp.Diff([]string{"listed [a]", "put b", "removed a"}, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"list stale", "watch 5 3s", "watch 7 3s", "watch 9 3s"}, calls); diff != "" {
		t.Error(diff)
	}
}

func TestForgottenHistoryMeansAList(t *testing.T) {
	calls, got := run(t,
		List[string]{Items: []string{"a"}, Revision: 5},
		&RevisionGoneError{Since: 5},
		List[string]{Items: []string{"b"}, Revision: 50},
	)
	if diff := cmp.Diff([]string{"listed [a]", "listed [b]"}, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"list stale", "watch 5 3s", "list", "watch 50 3s"}, calls); diff != "" {
		t.Error(diff)
	}
}

// What was missed in an outage comes with the watch from where it was: a list of
// all would cost the store more the more nodes it comes back to.
func TestOutageIsToldAndEndsWithTheChangesSince(t *testing.T) {
	calls, got := run(t,
		errAway, errAway,
		List[string]{Revision: 5},
		errAway, errAway,
		Changes[string]{Events: []Event[string]{put("b")}, Revision: 8},
	)
	if diff := cmp.Diff([]string{"lost", "lost", "returned", "listed []", "lost", "lost", "returned", "put b"}, got); diff != "" {
		t.Error(diff)
	}
	want := []string{"list stale", "list stale", "list stale", "watch 5 3s", "watch 5 3s", "watch 5 3s", "watch 8 3s"}
	if diff := cmp.Diff(want, calls); diff != "" {
		t.Error(diff)
	}
}

// An outage that outlasts the store's history ends with a list as of now.
func TestOutageLongerThanTheHistoryEndsWithAList(t *testing.T) {
	calls, got := run(t,
		List[string]{Items: []string{"a"}, Revision: 5},
		errAway,
		&RevisionGoneError{Since: 5},
		errAway,
		List[string]{Items: []string{"b"}, Revision: 50},
	)
	if diff := cmp.Diff([]string{"listed [a]", "lost", "lost", "returned", "listed [b]"}, got); diff != "" {
		t.Error(diff)
	}
	want := []string{"list stale", "watch 5 3s", "watch 5 3s", "list", "list", "watch 50 3s"}
	if diff := cmp.Diff(want, calls); diff != "" {
		t.Error(diff)
	}
}

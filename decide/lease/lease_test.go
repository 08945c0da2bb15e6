package lease

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mimosaarch.example/core/revision"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// rev returns a version without an epoch.
func rev(number int64) revision.Revision { return revision.Of(number) }

var start = time.Unix(1000, 0)

const duration = 10 * time.Second

func newLease(holder string) *Lease { return New(Options{Holder: holder, Duration: duration}) }

// at returns the time in seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// script runs steps on a Lease and records the commands and states as text.
type script struct {
	l   *Lease
	out []string
}

func (s *script) tick(seconds float64) Command {
	c := s.l.Tick(at(seconds))
	if c != nil {
		s.out = append(s.out, fmt.Sprintf("%g: %s", seconds, c))
	}
	return c
}

func (s *script) answer(seconds float64, a Answer) { s.l.Answered(at(seconds), a) }

func (s *script) state(seconds float64) {
	st := s.l.State(at(seconds))
	s.out = append(s.out, fmt.Sprintf("%g: held %v for %v fence %d", seconds, st.Held, st.Left, st.Fence))
}

func (s *script) want(t *testing.T, want string) {
	t.Helper()
	if diff := cmp.Diff(strings.Split(strings.TrimSpace(want), "\n"), s.out); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// written returns the answer to a successful write.
func written(c Command, version int64) Answer {
	return Answer{Kind: Found, Version: rev(version), Record: c.(Write).Record}
}

func TestAcquireRenewLapse(t *testing.T) {
	s := &script{l: newLease("a")}
	s.tick(0)
	s.answer(0.1, Answer{Kind: Absent})
	w := s.tick(1)
	s.answer(3, written(w, 5))
	s.state(3)
	s.tick(4)
	w = s.tick(5)
	s.state(5)
	s.answer(5.5, written(w, 8))
	s.state(6)
	// After a pause of this process, its lease has expired. It acquires the
	// lease again with a new term and fencing token.
	s.state(15)
	w = s.tick(15)
	s.answer(15.1, written(w, 9))
	s.state(16)
	s.want(t, `0: read
1: write holder "a" term 1 change a-1 if 0
3: held true for 8s fence 5
5: write holder "a" term 1 change a-2 if 5
5: held true for 6s fence 5
6: held true for 9s fence 5
15: held false for 0s fence 0
15: write holder "a" term 2 change a-3 if 8
16: held true for 9s fence 9`)
}

func TestTakeoverWaitsAWholeDuration(t *testing.T) {
	s := &script{l: newLease("b")}
	held := Answer{Kind: Found, Version: rev(5), Record: Record{Holder: "a", Term: 3, DurationNs: int64(duration)}}
	s.tick(0)
	s.answer(0, held)
	for seconds := 1; seconds <= 10; seconds++ {
		if c := s.l.Tick(at(float64(seconds))); c != nil {
			if c != (Read{}) {
				t.Fatalf("%d: %s", seconds, c)
			}
			s.answer(float64(seconds), held)
		}
	}
	w := s.tick(11)
	s.answer(11.1, written(w, 9))
	s.state(12)
	s.want(t, `0: read
11: write holder "b" term 4 change b-1 if 5
12: held true for 9s fence 9`)
}

func TestRenewalRestartsTheWait(t *testing.T) {
	s := &script{l: newLease("b")}
	s.l.Tick(start)
	for i := range 10 {
		seconds := float64(i) * 6
		s.answer(seconds, Answer{Kind: Found, Version: rev(int64(5 + i)), Record: Record{Holder: "a", Term: 3, DurationNs: int64(duration)}})
		if c := s.tick(seconds + 6); c != (Read{}) {
			t.Fatalf("%v: %v", seconds, c)
		}
	}
}

func TestLostAnswerIsReadBack(t *testing.T) {
	s := &script{l: newLease("a")}
	s.tick(0)
	s.answer(0, Answer{Kind: Absent})
	w := s.tick(1)
	s.answer(3, Answer{Kind: Lost})
	s.state(3)
	s.tick(4)
	s.answer(4, Answer{Kind: Absent})
	// The first write may still take effect. Whichever of the two does, the
	// lease counts from the time of that write.
	s.tick(5)
	s.answer(6, Answer{Kind: Lost})
	s.tick(7)
	s.answer(7, written(w, 5))
	s.state(7)
	s.want(t, `0: read
1: write holder "a" term 1 change a-1 if 0
3: held false for 0s fence 0
4: read
5: write holder "a" term 1 change a-2 if 0
7: read
7: held true for 4s fence 5`)
}

// Calls become less frequent while the store is unreachable, and return to the
// normal interval after the first answer.
func TestPausesGrowWhileCallsFail(t *testing.T) {
	l := newLease("a")
	now, calls := start, []time.Duration{}
	for at := time.Duration(0); at < 30*time.Second; at += 10 * time.Millisecond {
		now = start.Add(at)
		if l.Tick(now) != nil {
			calls = append(calls, at)
			l.Answered(now, Answer{Kind: Failed})
		}
	}
	if len(calls) < 8 || len(calls) > 14 {
		t.Errorf("%d calls in 30 s: %v", len(calls), calls)
	}
	for i := 1; i < len(calls); i++ {
		if pause := calls[i] - calls[i-1]; pause > duration/2+10*time.Millisecond {
			t.Errorf("pause of %v between calls", pause)
		}
	}
	now = now.Add(duration)
	l.Tick(now)
	l.Answered(now, Answer{Kind: Absent})
	if _, isWrite := l.Tick(now).(Write); !isWrite {
		t.Error("the lease is not written although the store answers again")
	}
	l.Answered(now, Answer{Kind: Failed})
	if l.Tick(now.Add(duration/20)) == nil {
		t.Error("the first pause after an answer is too long")
	}
}

func TestNonCandidateMakesNoCalls(t *testing.T) {
	l := newLease("a")
	l.Resign()
	for seconds := range 30 {
		if c := l.Tick(at(float64(seconds))); c != nil {
			t.Fatalf("%d: %s", seconds, c)
		}
	}
	l.Campaign()
	if c := l.Tick(at(30)); c != (Read{}) {
		t.Errorf("got %v once it is a candidate again", c)
	}
}

func TestResignAndStepDown(t *testing.T) {
	s := &script{l: newLease("a")}
	s.tick(0)
	s.answer(0, Answer{Kind: Absent})
	s.answer(1, written(s.tick(1), 5))
	s.l.StepDown()
	s.state(2)
	s.tick(2)
	s.answer(2, Answer{Kind: Found, Version: rev(5), Record: Record{Holder: "a", Term: 1}})
	s.answer(3, written(s.tick(3), 6))
	w := s.tick(8)
	s.l.Resign()
	s.answer(9, written(w, 7))
	s.state(9)
	s.answer(9, written(s.tick(9), 8))
	s.tick(30)
	s.want(t, `0: read
1: write holder "a" term 1 change a-1 if 0
2: held false for 0s fence 0
2: read
3: write holder "a" term 2 change a-2 if 5
8: write holder "a" term 2 change a-3 if 6
9: held false for 0s fence 0
9: write holder "" term 2 change a-4 if 7`)
	other := &script{l: newLease("b")}
	other.tick(0)
	other.answer(0, Answer{Kind: Found, Version: rev(8), Record: Record{Term: 2, DurationNs: int64(duration)}})
	other.tick(0)
	other.want(t, "0: read\n0: write holder \"b\" term 3 change b-1 if 8")
}

func TestDeletedObjectIsNotFreeAtOnce(t *testing.T) {
	s := &script{l: newLease("b")}
	s.tick(0)
	s.answer(0, Answer{Kind: Found, Version: rev(5), Record: Record{Holder: "a", Term: 3, DurationNs: int64(duration)}})
	s.tick(5)
	s.answer(5, Answer{Kind: Absent})
	for seconds := 6.0; seconds < 16; seconds++ {
		if c := s.l.Tick(at(seconds)); c == (Read{}) {
			s.answer(seconds, Answer{Kind: Absent})
		} else if c != nil {
			t.Fatalf("%v: %v", seconds, c)
		}
	}
	s.tick(16)
	s.want(t, "0: read\n5: read\n16: write holder \"b\" term 4 change b-1 if 0")
}

// participant is one process of the simulation.
type participant struct {
	lease *Lease
	// offset is the difference of its clock from true time.
	offset time.Duration
	// slow is the maximum delay of its calls, in steps.
	slow   int
	paused int
	calls  []*call
}

// call is one call to the store. The store executes it at step effect, and the
// participant receives the answer at step answer.
type call struct {
	command        Command
	effect, answer int
	result         Answer
	lost, done     bool
}

// store holds the lease object.
type store struct {
	// epoch counts the restorations, and changes counts the changes of all objects.
	epoch, changes int64
	// version is the value of changes at the last write of the lease, 0 without one.
	version int64
	record  Record
}

// apply executes a command. A store compares only numbers, also with a condition about a
// version of an earlier epoch.
func (s *store) apply(c Command) Answer {
	if w, ok := c.(Write); ok && w.IfMatch.Number == s.version {
		s.changes++
		s.version = s.changes
		s.record = w.Record
	}
	if s.version == 0 {
		return Answer{Kind: Absent, Version: revision.Revision{Epoch: s.epoch}}
	}
	return Answer{Kind: Found, Version: revision.Revision{Epoch: s.epoch, Number: s.version}, Record: s.record}
}

// restore replaces the content by that of a copy.
func (s *store) restore(from store) {
	epoch := s.epoch + 1
	*s = from
	s.epoch = epoch
}

// step runs the participant for one step of true time.
func (p *participant) step(t *rapid.T, s *store, step int) {
	now := start.Add(time.Duration(step)*time.Second + p.offset)
	for _, k := range p.calls {
		if !k.done && step >= k.effect {
			k.done = true
			k.result = s.apply(k.command)
		}
	}
	if p.paused > 0 {
		p.paused--
		return
	}
	last := len(p.calls) - 1
	if last >= 0 && step >= p.calls[last].answer && p.calls[last].answer >= 0 {
		k := p.calls[last]
		k.answer = -1
		if k.lost || !k.done {
			k.result = Answer{Kind: Lost}
		}
		p.lease.Answered(now, k.result)
	}
	if command := p.lease.Tick(now); command != nil {
		effect := step + rapid.IntRange(0, p.slow).Draw(t, "effect")
		p.calls = append(p.calls, &call{
			command: command,
			effect:  effect,
			answer:  step + rapid.IntRange(0, p.slow).Draw(t, "answer"),
			lost:    rapid.IntRange(0, 4).Draw(t, "lost") == 0,
		})
	}
	if rapid.IntRange(0, 7).Draw(t, "pauses") == 0 {
		p.paused = rapid.IntRange(1, 25).Draw(t, "pause")
	}
}

// newParticipants returns three processes with different clocks and links.
func newParticipants(t *rapid.T) []*participant {
	var all []*participant
	for i := range 3 {
		all = append(all, &participant{
			lease:  New(Options{Holder: fmt.Sprint("h", i), Duration: duration, Seed: uint64(i)}),
			offset: time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "skew")) * time.Second,
			slow:   rapid.SampledFrom([]int{0, 1, 9}).Draw(t, "slow"),
		})
	}
	return all
}

// holderCheck checks that there is at most one holder at a time, and that fencing tokens never
// go back.
type holderCheck struct {
	highest int64
	// held is the number of steps with a holder.
	held, takeovers int
}

func (h *holderCheck) step(t *rapid.T, all []*participant, step int) {
	holders := 0
	for _, c := range all {
		// A paused process counts as well, because it could resume
		// within this second.
		st := c.lease.State(start.Add(time.Duration(step)*time.Second + c.offset))
		if !st.Held {
			continue
		}
		holders++
		h.held++
		if st.Fence < h.highest {
			t.Fatalf("step %d: fence %d after %d", step, st.Fence, h.highest)
		}
		if st.Fence > h.highest {
			h.takeovers++
		}
		h.highest = st.Fence
	}
	if holders > 1 {
		t.Fatalf("step %d: %d holders", step, holders)
	}
}

func TestAtMostOneHolder(t *testing.T) {
	held, takeovers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s, all, check := &store{}, newParticipants(t), &holderCheck{}
		for step := range 400 {
			for _, c := range all {
				c.step(t, s, step)
			}
			check.step(t, all, step)
		}
		held, takeovers = held+check.held, takeovers+check.takeovers
	})
	if held == 0 || takeovers < 100 {
		t.Fatalf("held in %d steps, %d takeovers: nothing was tested", held, takeovers)
	}
	t.Logf("held in %d steps, %d takeovers", held, takeovers)
}

// Guards against two holders, and fencing tokens that go back, when the store is restored from
// an older copy that names an earlier holder or none.
func TestAtMostOneHolderWhileTheStoreIsRestored(t *testing.T) {
	held, takeovers, restored := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s, all, check := &store{epoch: 1}, newParticipants(t), &holderCheck{}
		copied := *s
		for step := range 400 {
			switch rapid.IntRange(0, 29).Draw(t, "event") {
			case 0, 1:
				copied = *s
			case 2:
				s.restore(copied)
				restored++
			case 3, 4, 5:
				s.changes++ // of another object
			case 6:
				// A peer has told of the epoch.
				p := all[rapid.IntRange(0, len(all)-1).Draw(t, "told")]
				p.lease.ObserveEpoch(start.Add(time.Duration(step)*time.Second+p.offset), s.epoch)
			}
			for _, c := range all {
				c.step(t, s, step)
			}
			check.step(t, all, step)
		}
		held, takeovers = held+check.held, takeovers+check.takeovers
	})
	if held == 0 || takeovers < 100 || restored < 100 {
		t.Fatalf("held in %d steps, %d takeovers, %d restorations: nothing was tested", held, takeovers, restored)
	}
	t.Logf("held in %d steps, %d takeovers, %d restorations", held, takeovers, restored)
}

// inEpoch returns the answer that the lease of a holder has a version of an epoch.
func inEpoch(epoch, number int64, holder string, term int64) Answer {
	record := Record{Holder: holder, Term: term, DurationNs: int64(duration)}
	return Answer{Kind: Found, Version: revision.Revision{Epoch: epoch, Number: number}, Record: record}
}

// writtenIn returns the answer to a successful write in an epoch.
func writtenIn(c Command, epoch, number int64) Answer {
	return Answer{Kind: Found, Version: revision.Revision{Epoch: epoch, Number: number}, Record: c.(Write).Record}
}

// Guards against a lease that nobody writes after the store was restored, since all know a
// higher version, and against orders of a holder whose lease is gone.
func TestHolderAcquiresTheLeaseAgainInALaterEpoch(t *testing.T) {
	s := &script{l: newLease("a")}
	s.tick(0)
	s.answer(0, Answer{Kind: Absent, Version: revision.Revision{Epoch: 1}})
	s.tick(5) // another process may hold a lease that the store has forgotten
	w := s.tick(11)
	s.answer(11, writtenIn(w, 1, 50))
	s.state(11)
	s.tick(15)
	s.answer(15, inEpoch(2, 40, "z", 1)) // the condition of the renewal did not hold
	s.state(15)
	if s.l.LastTerm().Held {
		t.Error("the last term holds in a later epoch")
	}
	w = s.tick(15)
	s.answer(15, writtenIn(w, 2, 41))
	s.state(15)
	s.want(t, `0: read
11: write holder "a" term 1 change a-1 if 1.0
11: held true for 10s fence 1099511627826
15: write holder "a" term 1 change a-2 if 1.50
15: held false for 0s fence 0
15: write holder "a" term 2 change a-3 if 2.40
15: held true for 10s fence 2199023255593`)
}

// A process that did not hold the lease waits for the holder that the store has forgotten.
func TestOthersWaitForAForgottenHolder(t *testing.T) {
	for name, found := range map[string]Answer{
		"absent":      {Kind: Absent, Version: revision.Revision{Epoch: 2}},
		"released":    inEpoch(2, 40, "", 3),
		"own, before": inEpoch(2, 40, "b", 3),
		"of another":  inEpoch(2, 40, "a", 3),
		"unreadable":  {Kind: Unreadable, Version: revision.Revision{Epoch: 2, Number: 40}},
	} {
		l := newLease("b")
		l.Tick(at(0))
		l.Answered(at(0), inEpoch(1, 50, "a", 7))
		l.ObserveEpoch(at(1), 2)
		for tenths := 10; ; tenths++ {
			now := float64(tenths) / 10
			switch c := l.Tick(at(now)).(type) {
			case Read:
				l.Answered(at(now), found)
				continue
			case nil:
				continue
			case Write:
				if now < 12 || now > 13 || c.Record.Term != 8 {
					t.Errorf("%s: %s at %g s", name, c, now)
				}
			}
			break
		}
	}
}

// An answer of an earlier epoch that arrives late says nothing.
func TestLateAnswerOfAnEarlierEpochIsIgnored(t *testing.T) {
	l := newLease("b")
	l.Tick(at(0))
	l.ObserveEpoch(at(1), 2)
	l.Answered(at(2), inEpoch(1, 50, "", 7))
	if l.Version() != (revision.Revision{Epoch: 2}) {
		t.Errorf("version %v", l.Version())
	}
	if c := l.Tick(at(20)); c != (Read{}) {
		t.Errorf("got %v, want a read", c)
	}
}

func TestStaleReadsDoNotDelayTakeover(t *testing.T) {
	l := New(Options{Holder: "b", Duration: duration, ReadInterval: duration, StaleReads: true})
	s := &script{l: l}
	held := Answer{Kind: Found, Version: rev(5), Record: Record{Holder: "a", Term: 3, DurationNs: int64(duration)}}
	s.tick(0)
	s.answer(0, held)
	for tenths := 1; tenths < 110; tenths++ {
		if c := s.l.Tick(at(float64(tenths) / 10)); c != nil {
			if c != (Read{Stale: true}) {
				t.Fatalf("%d: %s", tenths, c)
			}
			// A stale read from before the object was created must be ignored.
			s.answer(float64(tenths)/10, Answer{Kind: Absent})
		}
	}
	w := s.tick(11)
	s.answer(11.1, written(w, 9))
	s.state(12)
	s.want(t, `0: read
11: write holder "b" term 4 change b-1 if 5
12: held true for 9s fence 9`)
}

func TestLastTermHoldsUntilAnotherIsSeen(t *testing.T) {
	s := &script{l: newLease("a")}
	s.tick(0)
	s.answer(0, Answer{Kind: Absent})
	s.answer(1, written(s.tick(1), 5))
	if got := s.l.LastTerm(); !got.Held || got.Fence != 5 || s.l.State(at(20)).Held {
		t.Errorf("after the lease expired: last term %+v, state %+v", got, s.l.State(at(20)))
	}
	s.tick(20)
	s.answer(20, Answer{Kind: Found, Version: rev(9), Record: Record{Holder: "b", Term: 2, DurationNs: int64(duration)}})
	if got := s.l.LastTerm(); got.Held {
		t.Errorf("after another process took over: last term %+v", got)
	}
}

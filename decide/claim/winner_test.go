package claim

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosaarch.example/decide/router"
)

func TestOneWinnerWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkOneWinner(t, newSim(t, 3, Settings{Shards: 2, MaxBatch: 4}), nil)
	})
}

// TestOneWinnerWithForwards lets VMs disagree on the preferred VM, and loses,
// delays and repeats forwards and their answers.
func TestOneWinnerWithForwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 4, Settings{Shards: 2, MaxBatch: 4})
		anyVM := rapid.SampledFrom(s.vms)
		preferred := make(map[*vm]*vm)
		for _, v := range s.vms {
			preferred[v] = s.vms[0]
		}
		s.prefer = func(v *vm) *vm { return preferred[v] }
		anyMessage := func(t *rapid.T, do func(i int)) {
			if len(s.messages) > 0 {
				do(rapid.IntRange(0, len(s.messages)-1).Draw(t, "message"))
			}
		}
		arrive := func(t *rapid.T) { anyMessage(t, func(i int) { s.deliverMessage(i, false) }) }
		checkOneWinner(t, s, map[string]func(*rapid.T){
			"prefer":  func(t *rapid.T) { preferred[anyVM.Draw(t, "vm")] = anyVM.Draw(t, "preferred") },
			"arrive":  arrive,
			"arrive2": arrive,
			"repeat":  func(t *rapid.T) { anyMessage(t, func(i int) { s.deliverMessage(i, true) }) },
			"lose":    func(t *rapid.T) { anyMessage(t, s.dropMessage) },
			"old": func(t *rapid.T) {
				anyMessage(t, func(i int) {
					s.delayedMessages = append(s.delayedMessages, s.messages[i])
					s.dropMessage(i)
				})
			},
		})
	})
}

// checkOneWinner runs random steps, including those in more, and checks that
// each key has at most one winner.
func checkOneWinner(t *rapid.T, s *sim, more map[string]func(*rapid.T)) {
	anyVM := rapid.SampledFrom(s.vms)
	anyKey := rapid.SampledFrom(simKeys)
	// A fault occurs in about half of the calls.
	anyFault := rapid.SampledFrom([]networkFault{faultNone, faultNone, faultNone, faultAnswerLost, faultRequestLost, faultLate, faultFailed})
	steps := map[string]func(*rapid.T){
		"claim": func(t *rapid.T) { s.claim(anyVM.Draw(t, "vm"), anyKey.Draw(t, "key"), nil) },
		"takeover": func(t *rapid.T) {
			if len(s.priors) > 0 {
				prior := rapid.SampledFrom(s.priors).Draw(t, "prior")
				if prior.State == router.ClaimHeld && !s.isSettled(prior) {
					s.proveNeverRun(prior.Request)
					s.claim(anyVM.Draw(t, "vm"), prior.Key, &prior)
				}
			}
		},
		"release": func(t *rapid.T) {
			if held := s.held(); len(held) > 0 {
				s.release(rapid.SampledFrom(held).Draw(t, "held"))
			}
		},
		"settle": func(t *rapid.T) {
			if held := s.held(); len(held) > 0 && rapid.IntRange(0, 5).Draw(t, "settle") == 0 {
				s.settle(rapid.SampledFrom(held).Draw(t, "held"))
			}
		},
		"deliver":  func(t *rapid.T) { s.deliverRandomCall(t, anyVM.Draw(t, "vm"), anyFault) },
		"deliver2": func(t *rapid.T) { s.deliverRandomCall(t, anyVM.Draw(t, "vm"), anyFault) },
		"late": func(t *rapid.T) {
			if len(s.delayedWrites) > 0 {
				i := rapid.IntRange(0, len(s.delayedWrites)-1).Draw(t, "write")
				s.write(s.delayedWrites[i])
				s.delayedWrites = slices.Delete(s.delayedWrites, i, i+1)
			}
		},
		"tick": func(t *rapid.T) { s.tick(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond) },
	}
	maps.Copy(steps, more)
	t.Repeat(steps)
	s.quiesce()
	s.checkEnd()
	for _, h := range s.held() {
		s.release(h)
	}
	s.quiesce()
	s.checkEnd()
	s.checkKeysCanBeWon()
}

// deliverRandomCall executes a random open call of the VM.
func (s *sim) deliverRandomCall(t *rapid.T, v *vm, anyFault *rapid.Generator[networkFault]) {
	if len(v.open) > 0 {
		s.deliverCall(v, rapid.IntRange(0, len(v.open)-1).Draw(t, "call"), anyFault.Draw(t, "fate"))
	}
}

// isSettled reports whether the claim's request has marked it as done.
func (s *sim) isSettled(record router.ClaimRecord) bool {
	for _, h := range s.holders[record.Key] {
		if h.record.Request == record.Request && h.settled {
			return true
		}
	}
	return false
}

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

// TestOneWinnerWithForwards lets VMs differ on who is preferred, and loses,
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
		arrive := func(t *rapid.T) { anyMessage(t, func(i int) { s.carry(i, false) }) }
		checkOneWinner(t, s, map[string]func(*rapid.T){
			"prefer":  func(t *rapid.T) { preferred[anyVM.Draw(t, "vm")] = anyVM.Draw(t, "preferred") },
			"arrive":  arrive,
			"arrive2": arrive,
			"repeat":  func(t *rapid.T) { anyMessage(t, func(i int) { s.carry(i, true) }) },
			"lose":    func(t *rapid.T) { anyMessage(t, s.drop) },
			"old": func(t *rapid.T) {
				anyMessage(t, func(i int) {
					s.old = append(s.old, s.messages[i])
					s.drop(i)
				})
			},
		})
	})
}

// checkOneWinner runs random steps, the given ones among them.
func checkOneWinner(t *rapid.T, s *sim, more map[string]func(*rapid.T)) {
	anyVM := rapid.SampledFrom(s.vms)
	anyKey := rapid.SampledFrom(simKeys)
	// Calls succeed in about half of the cases.
	anyFate := rapid.SampledFrom([]fate{fateOK, fateOK, fateOK, fateAnswerLost, fateRequestLost, fateLate, fateFailed})
	steps := map[string]func(*rapid.T){
		"claim": func(t *rapid.T) { s.claim(anyVM.Draw(t, "vm"), anyKey.Draw(t, "key"), nil) },
		"takeover": func(t *rapid.T) {
			if len(s.priors) > 0 {
				prior := rapid.SampledFrom(s.priors).Draw(t, "prior")
				if prior.State == router.ClaimHeld && !s.isSettled(prior) {
					s.kill(prior.Request)
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
		"deliver":  func(t *rapid.T) { s.deliverAny(t, anyVM.Draw(t, "vm"), anyFate) },
		"deliver2": func(t *rapid.T) { s.deliverAny(t, anyVM.Draw(t, "vm"), anyFate) },
		"late": func(t *rapid.T) {
			if len(s.late) > 0 {
				i := rapid.IntRange(0, len(s.late)-1).Draw(t, "write")
				s.write(s.late[i])
				s.late = slices.Delete(s.late, i, i+1)
			}
		},
		"tick": func(t *rapid.T) { s.tick(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond) },
	}
	maps.Copy(steps, more)
	t.Repeat(steps)
	s.settleDown()
	s.checkEnd()
	for _, h := range s.held() {
		s.release(h)
	}
	s.settleDown()
	s.checkEnd()
	s.checkFree()
}

// deliverAny carries out a random open call.
func (s *sim) deliverAny(t *rapid.T, v *vm, anyFate *rapid.Generator[fate]) {
	if len(v.open) > 0 {
		s.deliver(v, rapid.IntRange(0, len(v.open)-1).Draw(t, "call"), anyFate.Draw(t, "fate"))
	}
}

// isSettled reports whether a claim's request has settled it.
func (s *sim) isSettled(record router.ClaimRecord) bool {
	for _, h := range s.holders[record.Key] {
		if h.record.Request == record.Request && h.settled {
			return true
		}
	}
	return false
}

package ledger

import (
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/decide/topology"
)

const (
	testLayers  = 9
	testAttempt = 2
)

var testChain = topology.Chain{{ID: "a", First: 0, Last: 2}, {ID: "b", First: 3, Last: 3}, {ID: "c", First: 4, Last: 8}}

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func steps() []engineapi.Step {
	return []engineapi.Step{{Engine: "a", First: 0, Last: 2}, {Engine: "b", First: 3, Last: 3}, {Engine: "c", First: 4, Last: 8}}
}

func token(index int) engineapi.Token {
	return engineapi.Token{Attempt: testAttempt, Index: index, Text: "t", Steps: steps()}
}

// acceptAll passes tokens to the Ledger until one is rejected. It checks that
// tokens come out in index order from next on, each once, with the right steps,
// and returns the index after the last one.
func acceptAll(t *rapid.T, l *Ledger, next int, in []engineapi.Token) (int, error) {
	for _, tok := range in {
		ready, err := l.Accept(tok)
		if err != nil && len(ready) > 0 {
			t.Fatalf("Accept returned tokens %v with error %v", ready, err)
		}
		for _, r := range ready {
			if r.Index != next || r.Attempt != testAttempt {
				t.Fatalf("got token %d of attempt %d, want token %d", r.Index, r.Attempt, next)
			}
			for i, s := range steps() {
				if r.Steps[i] != s {
					t.Fatalf("token %d has wrong step %v", r.Index, r.Steps[i])
				}
			}
			next++
		}
		if err != nil {
			return next, err
		}
		if l.Buffered() > l.buffer.capacity() {
			t.Fatalf("%d tokens buffered", l.Buffered())
		}
	}
	return next, nil
}

// reordered returns the tokens first to last-1 in a random order, in which no
// token is overtaken by one more than reorder indexes ahead.
func reordered(t *rapid.T, first, last, reorder int) []engineapi.Token {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	var in, window []engineapi.Token
	for i := first; i < last || len(window) > 0; {
		// Indexes in the window differ from the lowest by at most reorder.
		for i < last && (len(window) == 0 || i-lowest(window) <= reorder) {
			window = append(window, token(i))
			i++
		}
		pick := rng.IntN(len(window))
		in = append(in, window[pick])
		window = append(window[:pick], window[pick+1:]...)
	}
	return in
}

func lowest(tokens []engineapi.Token) int {
	low := tokens[0].Index
	for _, tok := range tokens {
		low = min(low, tok.Index)
	}
	return low
}

func TestReorderedTokensComeOutInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		next := rapid.IntRange(0, 5).Draw(t, "next")
		count := rapid.IntRange(0, 60).Draw(t, "count")
		reorder := rapid.IntRange(0, 8).Draw(t, "reorder")
		l := New(testChain, testLayers, testAttempt, next, reorder)
		end, err := acceptAll(t, l, next, reordered(t, next, next+count, reorder))
		if err != nil || end != next+count {
			t.Fatalf("accepted tokens up to %d of %d: %v", end, next+count, err)
		}
		if err := l.Done(engineapi.Done{Attempt: testAttempt, Tokens: end}); err != nil {
			t.Fatal(err)
		}
		var ended *EndedError
		if _, err := l.Accept(token(end)); !errors.As(err, &ended) {
			t.Fatalf("token after the end marker: %v", err)
		}
	})
}

// mutations each corrupt one token of a stream. The Ledger must report each with
// the right type of error.
var mutations = map[string]struct {
	mutate    func(in []engineapi.Token, at int) []engineapi.Token
	wantError func(error) bool
}{
	"repeat": {func(in []engineapi.Token, at int) []engineapi.Token {
		return append(append(append([]engineapi.Token{}, in[:at+1]...), in[at]), in[at+1:]...)
	}, is[*RepeatedError]},
	"skip": {func(in []engineapi.Token, at int) []engineapi.Token {
		return append(append([]engineapi.Token{}, in[:at]...), in[at+1:]...)
	}, func(err error) bool { return is[*SkippedError](err) || is[*CountError](err) }},
	"engine": {editSteps(func(s []engineapi.Step) []engineapi.Step { s[1].Engine = "x"; return s }), is[*StepsError]},
	"layer":  {editSteps(func(s []engineapi.Step) []engineapi.Step { s[0].Last++; return s }), is[*StepsError]},
	"lost":   {editSteps(func(s []engineapi.Step) []engineapi.Step { return s[:2] }), is[*StepsError]},
	"twice":  {editSteps(func(s []engineapi.Step) []engineapi.Step { return append(s, s[2]) }), is[*StepsError]},
	"swap":   {editSteps(func(s []engineapi.Step) []engineapi.Step { s[0], s[1] = s[1], s[0]; return s }), is[*StepsError]},
}

func is[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

func editSteps(edit func([]engineapi.Step) []engineapi.Step) func([]engineapi.Token, int) []engineapi.Token {
	return func(in []engineapi.Token, at int) []engineapi.Token {
		in[at].Steps = edit(steps())
		return in
	}
}

func TestMutationsAreCaught(t *testing.T) {
	for name, m := range mutations {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			rejoin := rapid.Bool().Draw(t, "rejoin")
			least := 0
			if rejoin && name != "repeat" && name != "skip" {
				least = 1 // the first token of a rejoined stream defines the chain
			}
			count := rapid.IntRange(least+1, 40).Draw(t, "count")
			reorder := rapid.IntRange(0, 6).Draw(t, "reorder")
			in := reordered(t, 0, count, reorder)
			at := rapid.IntRange(least, count-1).Draw(t, "at")
			l := New(testChain, testLayers, testAttempt, 0, reorder)
			if rejoin {
				l = NewRejoin("a", testLayers, testAttempt, 0, reorder)
			}
			_, err := acceptAll(t, l, 0, m.mutate(in, at))
			if err == nil {
				err = l.Done(engineapi.Done{Attempt: testAttempt, Tokens: count})
			}
			if !m.wantError(err) {
				t.Fatalf("error %v", err)
			}
			if _, again := l.Accept(token(0)); again != err {
				t.Fatalf("after %v, Accept returned: %v", err, again)
			}
		}))
	}
}

func TestRejoinRefusesChainThatDoesNotTile(t *testing.T) {
	for name, bad := range map[string][]engineapi.Step{
		"none": nil, "gap": {{Engine: "a", First: 0, Last: 1}, {Engine: "b", First: 3, Last: 8}},
		"short": {{Engine: "a", First: 0, Last: 7}}, "head": {{Engine: "b", First: 0, Last: 8}},
	} {
		_, err := NewRejoin("a", testLayers, testAttempt, 0, 1).Accept(engineapi.Token{Attempt: testAttempt, Steps: bad})
		if !is[*StepsError](err) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := New(testChain[:2], testLayers, testAttempt, 0, 1).Accept(token(0)); !is[*StepsError](err) {
		t.Errorf("chain that does not cover all layers: %v", err)
	}
}

func TestBufferedTokenAtTheEndMarkerIsSkipped(t *testing.T) {
	l := New(testChain, testLayers, testAttempt, 0, 1)
	if _, err := l.Accept(token(1)); err != nil {
		t.Fatal(err)
	}
	if err := l.Done(engineapi.Done{Attempt: testAttempt}); !is[*SkippedError](err) {
		t.Fatalf("end marker before a buffered token was passed on: %v", err)
	}
}

func TestOtherAttemptsAreDroppedAndCounted(t *testing.T) {
	l := New(testChain, testLayers, testAttempt, 0, 1)
	late := token(0)
	late.Attempt--
	if ready, err := l.Accept(late); err != nil || len(ready) > 0 {
		t.Fatalf("late token: %v, %v", ready, err)
	}
	if err := l.Done(engineapi.Done{Attempt: testAttempt - 1}); !is[*StaleError](err) {
		t.Fatalf("late end marker: %v", err)
	}
	if ready, err := l.Accept(token(0)); err != nil || len(ready) != 1 || l.Stale() != 2 {
		t.Fatalf("ready %v, %v, stale %d", ready, err, l.Stale())
	}
}

func TestAcceptAllocatesNothing(t *testing.T) {
	l := New(testChain, testLayers, testAttempt, 0, 4)
	tok, next := token(0), 0
	pair := func() {
		for _, index := range [...]int{next + 1, next} {
			tok.Index = index
			if _, err := l.Accept(tok); err != nil {
				t.Fatal(err)
			}
		}
		next += 2
	}
	for range 8 {
		pair()
	}
	if allocs := testing.AllocsPerRun(500, pair); allocs != 0 {
		t.Fatalf("%v allocations per pair of tokens", allocs)
	}
}

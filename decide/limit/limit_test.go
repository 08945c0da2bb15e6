package limit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var t0 = time.Unix(1000, 0)

const (
	vms        = 9
	step       = 20 * time.Millisecond
	digestStep = 240 * time.Millisecond
)

// digest is one on its way.
type digest struct {
	from, to, number int
	due              time.Time
	usage            []AccountUsage
}

// bench runs limiters that exchange digests over a bad network.
type bench struct {
	rng      *rand.Rand
	now      time.Time
	account  fleet.Account
	limiters [vms]*Limiter
	demand   [vms]float64
	due      [vms]float64
	onWay    []digest
	newest   [vms][vms]int
	numbers  int
	delay    time.Duration
	loss     float64
	// side tells which VMs hear each other.
	side [vms]int

	admitted float64
	// most is the largest sum of parts seen, in multiples of the rate.
	most float64
}

func newBench(seed uint64, delay time.Duration, loss float64) *bench {
	b := &bench{
		rng: rand.New(rand.NewPCG(seed, 7)), now: t0, delay: delay, loss: loss,
		account: fleet.Account{ID: "large", Rate: 90, Burst: 180},
	}
	for i := range b.limiters {
		b.limiters[i] = New(Options{})
		b.limiters[i].SetFleet(t0, vms)
	}
	return b
}

func (b *bench) run(d time.Duration, drive func()) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(step) {
		drive()
		if b.now.Sub(t0)%digestStep == 0 {
			b.send()
		}
		b.deliver()
		sum := 0.0
		for i, l := range b.limiters {
			b.due[i] += b.demand[i] * step.Seconds()
			for ; b.due[i] >= 1; b.due[i]-- {
				if ok, _ := l.Take(b.now, b.account, 1); ok {
					b.admitted++
				}
			}
			sum += l.LocalRate(b.now, b.account)
		}
		b.most = max(b.most, sum/b.account.Rate)
	}
}

func (b *bench) send() {
	b.numbers++
	for from, l := range b.limiters {
		usage := l.Usage(b.now)
		for to := range b.limiters {
			if to == from || b.side[to] != b.side[from] || b.rng.Float64() < b.loss {
				continue
			}
			late := time.Duration(b.rng.Int64N(int64(b.delay) + 1))
			b.onWay = append(b.onWay, digest{from: from, to: to, number: b.numbers, due: b.now.Add(late), usage: usage})
		}
	}
}

func (b *bench) deliver() {
	var later []digest
	for _, d := range b.onWay {
		switch {
		case d.due.After(b.now):
			later = append(later, d)
		case d.number > b.newest[d.to][d.from]:
			b.newest[d.to][d.from] = d.number
			b.limiters[d.to].PeerUsage(b.now, ids.VM(fmt.Sprint(d.from)), d.usage)
		}
	}
	b.onWay = later
}

// shift changes demand at random every half second or so.
func (b *bench) shift() {
	for i := range b.demand {
		if b.rng.Float64() < step.Seconds()/0.5 {
			b.demand[i] = []float64{0, 0, 3, 30, 400}[b.rng.IntN(5)]
		}
	}
}

func (b *bench) bound(d time.Duration, parts float64) float64 {
	return parts*b.account.Rate*d.Seconds() + 1.5*b.account.Burst + vms
}

// While digests arrive in time, the parts never sum to more than the rate.
func TestFleetStaysWithinRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		delay := time.Duration(rapid.IntRange(0, 700).Draw(rt, "delay ms")) * time.Millisecond
		b := newBench(rapid.Uint64().Draw(rt, "seed"), delay, 0)
		const d = 12 * time.Second
		b.run(d, b.shift)
		if !(b.most <= 1+1e-9) { // false for NaN too
			rt.Fatalf("parts sum to %.3f of the rate", b.most)
		}
		if got := b.admitted; got > b.bound(d, 1) {
			rt.Fatalf("admitted %.0f, bound %.0f", got, b.bound(d, 1))
		}
	})
}

// A VM that has told a fall uses its smaller part before any peer hears of it.
func TestFallCountsBeforeItIsHeard(t *testing.T) {
	b := newBench(0x52e, 0, 0)
	b.run(12*time.Second, b.shift)
	if !(b.most <= 1+1e-9) {
		t.Errorf("parts sum to %.4f of the rate", b.most)
	}
}

// Digests lost at random, then a cut in two while demand shifts, then
// healing: the stated bound is 1.5 times the rate; 1.2 is held here.
func TestFleetUnderLossAndCut(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(rt *rapid.T) {
		loss := rapid.Float64Range(0, 0.6).Draw(rt, "loss")
		b := newBench(rapid.Uint64().Draw(rt, "seed"), 500*time.Millisecond, loss)
		const d = 18 * time.Second
		b.run(d/3, b.shift)
		for i := range b.side {
			b.side[i] = b.rng.IntN(2)
		}
		b.run(d/3, b.shift)
		b.side = [vms]int{}
		b.run(d/3, b.shift)
		worst = max(worst, b.most)
		if !(b.most <= 1.2 && b.admitted <= b.bound(d, 1.2)) {
			rt.Fatalf("parts sum to %.3f of the rate, admitted %.0f, bound %.0f", b.most, b.admitted, b.bound(d, 1.2))
		}
	})
	t.Logf("largest sum of parts: %.3f of the rate", worst)
}

// With steady demand before it, a cut changes nothing: each side keeps to its
// part though one side's demand multiplies, until the platform's list says
// that the others are gone.
func TestCutSideKeepsItsPart(t *testing.T) {
	b := newBench(1, 100*time.Millisecond, 0)
	b.run(10*time.Second, func() {
		for i := range b.demand {
			b.demand[i] = 20
		}
	})
	b.side = [vms]int{0, 0, 0, 0, 0, 0, 1, 1, 1}
	b.most = 0
	b.run(10*time.Second, func() { b.demand[7] = 500 })
	if !(b.most <= 1.05) {
		t.Errorf("parts sum to %.3f of the rate under the cut", b.most)
	}
	side := func() float64 {
		sum := 0.0
		for i := 6; i < vms; i++ {
			sum += b.limiters[i].LocalRate(b.now, b.account)
		}
		return sum / b.account.Rate
	}
	if got := side(); got < 0.30 || got > 0.36 {
		t.Errorf("three of nine VMs keep %.3f of the rate, want about 1/3", got)
	}
	for i := 6; i < vms; i++ {
		b.limiters[i].SetFleet(b.now, 3)
		for gone := range 6 {
			b.limiters[i].PeerGone(ids.VM(fmt.Sprint(gone)))
		}
	}
	if got := side(); got < 0.9 || got > 1+1e-9 {
		t.Errorf("three VMs left alone have %.3f of the rate, want nearly all", got)
	}
}

// The same for an account of which nobody told demand before the cut.
func TestCutSideKeepsItsPartOfQuietAccount(t *testing.T) {
	b := newBench(1, 100*time.Millisecond, 0)
	b.run(5*time.Second, func() {
		for i := range b.demand {
			b.demand[i] = 1
		}
	})
	b.side = [vms]int{0, 0, 0, 0, 0, 0, 1, 1, 1}
	b.run(10*time.Second, func() { b.demand[0], b.demand[7] = 500, 500 })
	if !(b.most <= 1.05) {
		t.Errorf("parts sum to %.3f of the rate under the cut", b.most)
	}
}

// An account whose connections all meet one VM gets more than an even part,
// and a newly busy VM can start at once.
func TestDemandMovesTheParts(t *testing.T) {
	b := newBench(1, 100*time.Millisecond, 0)
	b.run(8*time.Second, func() { b.demand[0] = 200 })
	if got := b.limiters[0].LocalRate(b.now, b.account) / b.account.Rate; got < 0.5 {
		t.Errorf("the only busy VM has %.3f of the rate, want over half", got)
	}
	if ok, _ := b.limiters[1].Take(b.now, b.account, 1); !ok {
		t.Error("a newly busy VM refused its first request")
	}
}

func TestEvictionGivesNoFreshBurst(t *testing.T) {
	l := New(Options{MaxAccounts: 4})
	account := fleet.Account{ID: "over", Rate: 1, Burst: 10}
	admitted := 0
	for i := range 200 { // two seconds
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		if ok, after := l.Take(now, account, 1); ok {
			admitted++
		} else if after < DefaultRetryMin || after > DefaultRetryMax {
			t.Fatalf("retry after %v", after)
		}
		for j := range 4 {
			l.Take(now, fleet.Account{ID: ids.Account(fmt.Sprint("other", j)), Rate: 1, Burst: 10}, 1)
		}
		if l.Accounts() > 4 {
			t.Fatalf("%d accounts kept, bound 4", l.Accounts())
		}
	}
	if admitted < 10 || admitted > 12 {
		t.Errorf("admitted %d in two seconds, want the burst of 10 and the rate of 1", admitted)
	}
}

func TestRefusedCallersAreSpread(t *testing.T) {
	l := New(Options{})
	account := fleet.Account{ID: "a", Rate: 10, Burst: 1}
	seen := map[int]int{}
	for range 100 {
		if ok, after := l.Take(t0, account, 1); !ok {
			seen[int(after/time.Second)]++
		}
	}
	for second, n := range seen {
		if n > 15 {
			t.Errorf("%d refused callers come back in second %d at 10 a second", n, second)
		}
	}
}

func TestStateIsBoundedAndFreed(t *testing.T) {
	l := New(Options{MaxAccounts: 50, MaxPeers: 3, TopK: 5})
	for i := range 500 {
		now := t0.Add(time.Duration(i) * 50 * time.Millisecond)
		for j := range 20 {
			l.Take(now, fleet.Account{ID: ids.Account(fmt.Sprint(i*7 + j)), Rate: 1}, 3)
		}
		usage := l.Usage(now)
		if len(usage) > 5 {
			t.Fatalf("digest of %d accounts", len(usage))
		}
		l.PeerUsage(now, ids.VM(fmt.Sprint(i%9)), usage)
	}
	if len(l.buckets) > 50 || len(l.hot) > 50 || len(l.peers) > 3 || len(l.pools) > 5*4+50 {
		t.Errorf("%d buckets, %d hot, %d peers, %d pools", len(l.buckets), len(l.hot), len(l.peers), len(l.pools))
	}
	for i := range 9 {
		l.PeerGone(ids.VM(fmt.Sprint(i)))
	}
	for i := range 200 {
		l.Usage(t0.Add(time.Minute + time.Duration(i)*time.Second))
	}
	if len(l.hot) != 0 || len(l.pools) != 0 || len(l.order) != 0 {
		t.Errorf("left behind: %d hot, %d pools, %d peers", len(l.hot), len(l.pools), len(l.order))
	}
}

func BenchmarkTake(b *testing.B) {
	for _, n := range []int{10, 1000, 43000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			l := New(Options{})
			l.SetFleet(t0, vms)
			for i := range vms - 1 {
				l.PeerUsage(t0, ids.VM(fmt.Sprint(i)), nil)
			}
			accounts := make([]fleet.Account, n)
			for i := range accounts {
				accounts[i] = fleet.Account{ID: ids.Account(fmt.Sprint("account-", i)), Rate: 10}
				l.Take(t0, accounts[i], 1)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				l.Take(t0.Add(time.Duration(i)*time.Microsecond), accounts[i*7919%n], 1)
				i++
			}
		})
	}
}

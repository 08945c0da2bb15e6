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

// digest is a digest in transit between two limiters.
type digest struct {
	from, to, number int
	due              time.Time
	usage            []AccountUsage
}

// cluster runs limiters that exchange digests over a network with delay, loss and
// partitions.
type cluster struct {
	rng      *rand.Rand
	now      time.Time
	account  fleet.Account
	limiters [vms]*Limiter
	// demand is the cost per second requested of each VM.
	demand [vms]float64
	// due is the cost each VM has yet to request.
	due       [vms]float64
	inTransit []digest
	// newest is the number of the newest digest taken in, by receiver and sender.
	newest  [vms][vms]int
	numbers int
	delay   time.Duration
	loss    float64
	// partition is the side of each VM. Only VMs on the same side exchange digests.
	partition [vms]int

	admitted float64
	// maxSum is the largest sum of local rates seen, in multiples of the rate.
	maxSum float64
}

// newCluster returns a cluster without demand.
func newCluster(seed uint64, delay time.Duration, loss float64) *cluster {
	b := &cluster{
		rng: rand.New(rand.NewPCG(seed, 7)), now: t0, delay: delay, loss: loss,
		account: fleet.Account{ID: "large", Rate: 90, Burst: 180},
	}
	for i := range b.limiters {
		b.limiters[i] = New(Options{})
		b.limiters[i].SetVMCount(t0, vms)
	}
	return b
}

// run advances the cluster by d and calls drive to set the demand at each step.
func (b *cluster) run(d time.Duration, drive func()) {
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
		b.maxSum = max(b.maxSum, sum/b.account.Rate)
	}
}

// send sends the digest of each VM to the peers on its side, with loss and delay.
func (b *cluster) send() {
	b.numbers++
	for from, l := range b.limiters {
		usage := l.Usage(b.now)
		for to := range b.limiters {
			if to == from || b.partition[to] != b.partition[from] || b.rng.Float64() < b.loss {
				continue
			}
			late := time.Duration(b.rng.Int64N(int64(b.delay) + 1))
			b.inTransit = append(b.inTransit, digest{from: from, to: to, number: b.numbers, due: b.now.Add(late), usage: usage})
		}
	}
}

// deliver takes in the digests that are due, unless a newer one of the same VM has
// been taken in.
func (b *cluster) deliver() {
	var later []digest
	for _, d := range b.inTransit {
		switch {
		case d.due.After(b.now):
			later = append(later, d)
		case d.number > b.newest[d.to][d.from]:
			b.newest[d.to][d.from] = d.number
			b.limiters[d.to].PeerUsage(b.now, ids.VM(fmt.Sprint(d.from)), d.usage)
		}
	}
	b.inTransit = later
}

// shiftDemand changes the demand of each VM at random, on average every 0.5 s.
func (b *cluster) shiftDemand() {
	for i := range b.demand {
		if b.rng.Float64() < step.Seconds()/0.5 {
			b.demand[i] = []float64{0, 0, 3, 30, 400}[b.rng.IntN(5)]
		}
	}
}

// bound returns the documented maximum cost admitted over d if the local rates sum
// to the given multiple of the rate.
func (b *cluster) bound(d time.Duration, rateSum float64) float64 {
	return rateSum*b.account.Rate*d.Seconds() + 1.5*b.account.Burst + vms
}

// While digests arrive in time, the local rates never sum to more than the
// account's rate.
func TestFleetStaysWithinRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		delay := time.Duration(rapid.IntRange(0, 700).Draw(rt, "delay ms")) * time.Millisecond
		b := newCluster(rapid.Uint64().Draw(rt, "seed"), delay, 0)
		const d = 12 * time.Second
		b.run(d, b.shiftDemand)
		if !(b.maxSum <= 1+1e-9) { // false for NaN too
			rt.Fatalf("local rates sum to %.3f of the rate", b.maxSum)
		}
		if got := b.admitted; got > b.bound(d, 1) {
			rt.Fatalf("admitted %.0f, bound %.0f", got, b.bound(d, 1))
		}
	})
}

// A VM that reports a lower demand uses its lower local rate before any peer
// receives the report. Otherwise both would use the difference.
func TestDecreaseAppliesBeforePeersReceiveIt(t *testing.T) {
	b := newCluster(0x52e, 0, 0)
	b.run(12*time.Second, b.shiftDemand)
	if !(b.maxSum <= 1+1e-9) {
		t.Errorf("local rates sum to %.4f of the rate", b.maxSum)
	}
}

// Digests are lost at random; then the network is partitioned in two while demand
// changes, and heals. The documented bound is 1.5 times the rate; this test checks
// 1.2.
func TestFleetUnderLossAndPartition(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(rt *rapid.T) {
		loss := rapid.Float64Range(0, 0.6).Draw(rt, "loss")
		b := newCluster(rapid.Uint64().Draw(rt, "seed"), 500*time.Millisecond, loss)
		const d = 18 * time.Second
		b.run(d/3, b.shiftDemand)
		for i := range b.partition {
			b.partition[i] = b.rng.IntN(2)
		}
		b.run(d/3, b.shiftDemand)
		b.partition = [vms]int{}
		b.run(d/3, b.shiftDemand)
		worst = max(worst, b.maxSum)
		if !(b.maxSum <= 1.2 && b.admitted <= b.bound(d, 1.2)) {
			rt.Fatalf("local rates sum to %.3f of the rate, admitted %.0f, bound %.0f", b.maxSum, b.admitted, b.bound(d, 1.2))
		}
	})
	t.Logf("largest sum of local rates: %.3f of the rate", worst)
}

// With steady demand before a partition, each side keeps its share even if the
// demand on one side multiplies, until the platform's list shows that the other VMs
// are gone.
func TestPartitionedSideKeepsItsShare(t *testing.T) {
	b := newCluster(1, 100*time.Millisecond, 0)
	b.run(10*time.Second, func() {
		for i := range b.demand {
			b.demand[i] = 20
		}
	})
	b.partition = [vms]int{0, 0, 0, 0, 0, 0, 1, 1, 1}
	b.maxSum = 0
	b.run(10*time.Second, func() { b.demand[7] = 500 })
	if !(b.maxSum <= 1.05) {
		t.Errorf("local rates sum to %.3f of the rate during the partition", b.maxSum)
	}
	side := func() float64 {
		sum := 0.0
		for i := 6; i < vms; i++ {
			sum += b.limiters[i].LocalRate(b.now, b.account)
		}
		return sum / b.account.Rate
	}
	if got := side(); got < 0.30 || got > 0.36 {
		t.Errorf("three of nine partitioned VMs have %.3f of the rate, want about 1/3", got)
	}
	for i := 6; i < vms; i++ {
		b.limiters[i].SetVMCount(b.now, 3)
		for gone := range 6 {
			b.limiters[i].PeerGone(ids.VM(fmt.Sprint(gone)))
		}
	}
	if got := side(); got < 0.9 || got > 1+1e-9 {
		t.Errorf("the three remaining VMs have %.3f of the rate, want nearly all", got)
	}
}

// Each side of a partition also keeps its share of an account for which no VM had
// reported demand before.
func TestPartitionedSideKeepsItsShareOfIdleAccount(t *testing.T) {
	b := newCluster(1, 100*time.Millisecond, 0)
	b.run(5*time.Second, func() {
		for i := range b.demand {
			b.demand[i] = 1
		}
	})
	b.partition = [vms]int{0, 0, 0, 0, 0, 0, 1, 1, 1}
	b.run(10*time.Second, func() { b.demand[0], b.demand[7] = 500, 500 })
	if !(b.maxSum <= 1.05) {
		t.Errorf("local rates sum to %.3f of the rate during the partition", b.maxSum)
	}
}

// An account whose connections all reach one VM gets more than an even share there,
// and a VM that becomes busy can admit a request at once.
func TestLocalRateFollowsDemand(t *testing.T) {
	b := newCluster(1, 100*time.Millisecond, 0)
	b.run(8*time.Second, func() { b.demand[0] = 200 })
	if got := b.limiters[0].LocalRate(b.now, b.account) / b.account.Rate; got < 0.5 {
		t.Errorf("the only busy VM has %.3f of the rate, want over half", got)
	}
	if ok, _ := b.limiters[1].Take(b.now, b.account, 1); !ok {
		t.Error("a VM that became busy refused its first request")
	}
}

// An account over its limit must not get a new burst when its bucket is evicted and
// created again.
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
			t.Fatalf("%d accounts have a bucket, bound 4", l.Accounts())
		}
	}
	if admitted < 10 || admitted > 12 {
		t.Errorf("admitted %d in two seconds, want the burst of 10 and the rate of 1", admitted)
	}
}

// Refused callers must not all retry at the same time.
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
			t.Errorf("%d refused callers retry in second %d at a rate of 10 per second", n, second)
		}
	}
}

// Memory must stay within the bounds of the options and be freed once accounts and
// peers are gone.
func TestStateIsBoundedAndFreed(t *testing.T) {
	l := New(Options{MaxAccounts: 50, MaxPeers: 3, TopK: 5})
	for i := range 500 {
		now := t0.Add(time.Duration(i) * 50 * time.Millisecond)
		for j := range 20 {
			l.Take(now, fleet.Account{ID: ids.Account(fmt.Sprint(i*7 + j)), Rate: 1}, 3)
		}
		usage := l.Usage(now)
		if len(usage) > 5 {
			t.Fatalf("digest has %d accounts, bound 5", len(usage))
		}
		l.PeerUsage(now, ids.VM(fmt.Sprint(i%9)), usage)
	}
	if len(l.buckets) > 50 || len(l.reportable) > 50 || len(l.peers) > 3 || len(l.demands) > 5*4+50 {
		t.Errorf("%d buckets, %d reportable, %d peers, %d accounts with demand", len(l.buckets), len(l.reportable), len(l.peers), len(l.demands))
	}
	for i := range 9 {
		l.PeerGone(ids.VM(fmt.Sprint(i)))
	}
	for i := range 200 {
		l.Usage(t0.Add(time.Minute + time.Duration(i)*time.Second))
	}
	if len(l.reportable) != 0 || len(l.demands) != 0 || len(l.sortedPeers) != 0 {
		t.Errorf("left behind: %d reportable, %d accounts with demand, %d peers", len(l.reportable), len(l.demands), len(l.sortedPeers))
	}
}

func BenchmarkTake(b *testing.B) {
	for _, n := range []int{10, 1000, 43000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			l := New(Options{})
			l.SetVMCount(t0, vms)
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

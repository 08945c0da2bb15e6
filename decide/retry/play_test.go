package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// Times of the simulated nodes, as adapter/forward and node/entry set them.
const (
	playStep       = 5 * time.Millisecond
	borrowTime     = 40 * time.Millisecond
	lenderTime     = 20 * time.Millisecond
	resumeDelay    = 150 * time.Millisecond
	streamPatience = 2 * time.Second
	// noticeChance is the chance that a notice is written in a step.
	noticeChance = 0.1
)

// play is a fleet whose nodes share one retry limit, without a network.
type play struct {
	// load draws requests and needs, and rng the network and the faults.
	load, rng *rand.Rand
	start     time.Time
	nodes     []*playNode
	// newBudget returns the budget of a new process, and requests is how many requests a
	// node gets per second.
	newBudget func() *Budget
	requests  float64
	// demand returns how many retries a node needs per second, and claim draws for what.
	demand func(at time.Duration, node int) float64
	claim  func() Claim
	// late and lost are the fractions of messages that take up to 700 ms, and that never
	// arrive. Others take up to 5 ms.
	late, lost float64
	// faults lets nodes restart and fall silent. With succeed, every second one that restarts
	// stops as planned, and its successor continues its window.
	faults, succeed bool

	inTransit []message
	// uses and firsts are the times of retries and of requests, lives the lives of all
	// processes.
	uses, firsts []time.Time
	lives        []life
	results      map[Kind]*playResult
}

// playResult counts needs by their end. waited is the time that granted ones waited.
type playResult struct {
	granted, denied int
	waited          time.Duration
}

// life is the time in which a process ran.
type life struct{ from, to time.Time }

// playNode is a node of a play. silentUntil is the end of a pause in which it answers nobody.
type playNode struct {
	name        ids.VM
	budget      *Budget
	lenders     *Lenders
	needs       []*need
	call        *message
	silentUntil time.Time
	succession  *Succession
	entry       *Record
	life        int
}

// need is a request that needs a retry. It asks until askUntil, and a stream again later.
type need struct {
	claim             Claim
	arrived, askUntil time.Time
}

// message is a request for a loan or its answer.
type message struct {
	at, sent             time.Time
	from, to, life       int
	claim                Claim
	retries, asked, gave int
	answer               bool
}

// restart replaces the process of a node.
func (p *play) restart(now time.Time, i int) {
	n := p.nodes[i]
	p.lives = append(p.lives, life{from: now})
	if p.succeed && n.budget != nil && p.rng.IntN(2) == 0 {
		n.stop(now)
	}
	budget := p.newBudget()
	*n = playNode{name: n.name, entry: n.entry, budget: budget, lenders: NewLenders(zoneOf(i), p.rng.Uint64()), life: len(p.lives) - 1}
	var others []Lender
	for j, other := range p.nodes {
		if j != i {
			others = append(others, Lender{Name: other.name, Zone: zoneOf(j)})
		}
	}
	n.lenders.Set(others)
	if p.succeed {
		n.join(now)
	}
}

// stop lets the process of a node hand over its window.
func (n *playNode) stop(now time.Time) {
	r := NewRecord(now, n.succession.Terms())
	handed, _ := n.budget.HandOver(now)
	r.Services, r.Stopped = map[ids.Service]HandedBudget{"s": handed}, true
	n.entry = &r
}

// join lets a process that has started continue after the one before.
func (n *playNode) join(now time.Time) {
	n.succession = NewSuccession(now, SuccessionOptions{FirstStart: n.entry == nil})
	terms, origin := n.succession.Joining(now, n.entry != nil, n.entry)
	if origin == HandedOver {
		n.budget.Adopt(now, n.entry.Services["s"])
	}
	n.write(now, terms)
}

// write writes the entry of a process with terms, which are in force from then on.
func (n *playNode) write(now time.Time, t Terms) {
	r := NewRecord(now, t)
	n.entry = &r
	n.succession.Joined(t)
	n.budget.SetTerms(t)
}

// zoneOf returns the zone of a node, one of three.
func zoneOf(node int) ids.Zone { return ids.Zone(fmt.Sprint(node % 3)) }

// run plays nodes for some time.
func (p *play) run(nodes int, length time.Duration) {
	p.start, p.results = time.Unix(1000, 0), map[Kind]*playResult{NewRequest: {}, UnansweredStream: {}, BrokenStream: {}}
	for i := range nodes {
		p.nodes = append(p.nodes, &playNode{name: ids.VM(fmt.Sprint(i))})
	}
	for i := range nodes {
		p.restart(p.start, i)
	}
	for at := time.Duration(0); at < length; at += playStep {
		now := p.start.Add(at)
		p.deliver(now)
		for i, n := range p.nodes {
			if draw := p.rng.Float64(); p.faults && draw < 0.0001 {
				p.restart(now, i)
			} else if p.faults && draw < 0.0005 {
				n.silentUntil = now.Add(time.Duration(p.rng.Int64N(int64(2 * time.Second))))
			}
			if p.load.Float64() < p.requests*playStep.Seconds() {
				n.budget.RecordFirst(now)
				p.firsts = append(p.firsts, now)
			}
			if p.load.Float64() < p.demand(at, i)*playStep.Seconds() {
				n.needs = append(n.needs, &need{claim: p.claim(), arrived: now, askUntil: now.Add(borrowTime)})
			}
			if p.succeed && n.budget.WantsNotice(now) && p.rng.Float64() < noticeChance {
				n.write(now, n.succession.Notice(now))
			}
			p.serveNeeds(now, n)
			p.borrow(now, i)
			p.lives[n.life].to = now
		}
	}
}

// serveNeeds grants retries to the needs of a node that ask now, and drops those that end.
func (p *play) serveNeeds(now time.Time, n *playNode) {
	n.needs = slices.DeleteFunc(n.needs, func(d *need) bool {
		result := p.results[d.claim.Kind]
		switch {
		case d.asks(now) && n.budget.Take(now, outcome.UpstreamLost, d.claim) != Denied:
			p.uses = append(p.uses, now)
			result.granted++
			result.waited += now.Sub(d.arrived)
			return true
		case now.Before(d.askUntil):
			return false
		case d.claim.Kind == BrokenStream && now.Sub(d.arrived) < streamPatience:
			if !now.Before(d.askUntil.Add(resumeDelay)) {
				d.askUntil = now.Add(borrowTime)
			}
			return false
		}
		result.denied++
		return true
	})
}

// asks reports whether a need asks for a retry now.
func (d *need) asks(now time.Time) bool { return now.Before(d.askUntil) }

// borrow sends a node's next request for a loan if none is in flight.
func (p *play) borrow(now time.Time, i int) {
	n := p.nodes[i]
	if n.call != nil && now.Sub(n.call.sent) >= lenderTime {
		n.lenders.Silent(now, p.nodes[n.call.to].name)
		p.finishCall(now, i, 0)
	}
	var claims []Claim
	for _, d := range n.needs {
		if d.asks(now) {
			claims = append(claims, d.claim)
		}
	}
	if n.call == nil && len(claims) > 0 && n.budget.lends() {
		claim, count := MostUrgent(claims)
		p.ask(now, i, message{claim: claim, retries: count})
	}
}

// ask sends a request for a loan to the next lender, if there is one.
func (p *play) ask(now time.Time, i int, m message) {
	n := p.nodes[i]
	name, found := n.lenders.Next(now, "s", m.claim)
	if !found {
		n.call = nil
		return
	}
	m.sent, m.from, m.life, m.asked = now, i, n.life, m.asked+1
	m.to = slices.IndexFunc(p.nodes, func(other *playNode) bool { return other.name == name })
	n.call = &m
	p.send(now, m)
}

// finishCall ends a node's call, and asks a second lender for what is missing.
func (p *play) finishCall(now time.Time, i, granted int) {
	n := p.nodes[i]
	m := *n.call
	m.retries, m.gave = m.retries-granted, m.gave+granted
	n.call = nil
	switch {
	case m.retries > 0 && m.asked < MaxLenders:
		p.ask(now, i, m)
	case m.gave == 0:
		n.lenders.Unmet(now, "s", m.claim)
	}
}

// send delays a message or loses it.
func (p *play) send(now time.Time, m message) {
	delay := playStep
	if p.rng.Float64() < p.late {
		delay = 700 * time.Millisecond
	}
	if p.rng.Float64() >= p.lost {
		m.at = now.Add(time.Duration(p.rng.Int64N(int64(delay))))
		p.inTransit = append(p.inTransit, m)
	}
}

// deliver handles the messages that have arrived. A silent node handles its own later.
func (p *play) deliver(now time.Time) {
	due := p.inTransit
	p.inTransit = nil
	for _, m := range due {
		switch to := p.nodes[m.to]; {
		case now.Before(m.at) || now.Before(to.silentUntil):
			p.inTransit = append(p.inTransit, m)
		case !m.answer:
			reply := m
			reply.answer, reply.from, reply.to = true, m.to, m.from
			reply.retries = to.budget.Lend(now, m.claim, m.retries)
			p.send(now, reply)
		case to.life == m.life:
			// A node that is busy hears of the answer, but no longer waits for it.
			to.budget.Borrowed(m.sent, m.claim, m.retries)
			if to.call != nil && to.call.sent.Equal(m.sent) {
				if m.retries == 0 {
					to.lenders.Empty(now, "s", m.claim, p.nodes[m.from].name)
				}
				p.finishCall(now, m.to, m.retries)
			}
		}
	}
}

// countIn returns how many of the sorted times are in the BudgetWindow that ends at a time.
func countIn(times []time.Time, end time.Time) int {
	before := func(limit time.Time) int {
		i, _ := slices.BinarySearchFunc(times, limit, func(at, limit time.Time) int { return max(at.Compare(limit), 0)*2 - 1 })
		return i
	}
	return before(end) - before(end.Add(-BudgetWindow))
}

// Guards against loans that let the fleet use more retries in a window than the sum of its
// limits: with lost and late messages, silent nodes and restarts, in every window of ten
// seconds, by the exact times of use. A restarted node counts as another one. Limits do not
// depend on requests here, so that their sum is the same in each window.
func TestLoansKeepTheSumOfAllLimits(t *testing.T) {
	for seed := range uint64(24) {
		p := playUnequalNeeds(seed)
		p.checkWindows(t, seed, func(end time.Time) (allowed float64) {
			for _, l := range p.lives {
				if !l.from.After(end) && l.to.Add(LoanValidity).After(end.Add(-BudgetWindow)) {
					allowed += playLimit
				}
			}
			return allowed
		})
	}
}

// Guards against processes that use the limit of their node again after a predecessor: planned
// stops and kills beside loans, lost and late messages and silent nodes.
func TestRestartedNodesKeepTheSumOfAllLimits(t *testing.T) {
	for seed := range uint64(24) {
		p := playUnequalNeeds(seed, func(p *play) { p.succeed = true })
		p.checkWindows(t, seed, func(time.Time) float64 { return playNodes * playLimit })
	}
}

// playLimit is the limit of each of the playNodes nodes of playUnequalNeeds.
const (
	playLimit = 18.5
	playNodes = 6
)

// playUnequalNeeds plays nodes of which in each period the odd ones need many retries, and the
// others some when they have lent a part of theirs.
func playUnequalNeeds(seed uint64, options ...func(*play)) *play {
	period := BudgetWindow + time.Duration(seed)*10*time.Millisecond
	p := &play{
		load: rand.New(rand.NewPCG(seed, 1)), rng: rand.New(rand.NewPCG(seed, 2)), late: float64(seed%3) * 0.4, lost: 0.1, faults: true,
		newBudget: func() *Budget { return newLoanBudget(playLimit) },
		demand: func(at time.Duration, node int) float64 {
			switch at %= period; {
			case node%2 == 1 && at < 1500*time.Millisecond, node%2 == 0 && at > 300*time.Millisecond && at < 900*time.Millisecond:
				return 100
			}
			return 1
		},
	}
	p.claim = func() Claim { return Claim{Kind: Kind(min(p.load.IntN(6), 2)), Class: max(p.load.IntN(8)-5, 0)} }
	for _, set := range options {
		set(p)
	}
	p.run(playNodes, 40*time.Second)
	return p
}

// checkWindows fails if more retries were used in a window than allowed, or far fewer in all.
func (p *play) checkWindows(t *testing.T, seed uint64, allowed func(end time.Time) float64) {
	t.Helper()
	most := 0.0
	for _, end := range p.uses {
		used, limit := float64(countIn(p.uses, end)), allowed(end)
		if used > limit {
			t.Fatalf("seed %d: %v retries used in the window to %v, limits %v", seed, used, end.Sub(p.start), limit)
		}
		most = max(most, used/limit)
	}
	if most < 0.7 {
		t.Errorf("seed %d: the nodes used at most %.2f of their limits, the test shows nothing", seed, most)
	}
}

// Limits of the deployment with 62 nodes, and the factors of adapter/forward for the decaying
// allowance and the window of a node.
const (
	siteNodes, siteRatio, siteSlack = 62, 0.2, 308.0
	allowanceFactor, windowFactor   = 0.6, 0.95
	burstFrom, burstTo              = 15 * time.Second, 21 * time.Second
)

// playSite plays the deployment with 62 nodes. Within the burst a tenth of the nodes need ten
// times the retries of the others, which need usual per second.
func playSite(seed uint64, loans bool, r reserve, usual float64) *play {
	p := &play{
		load: rand.New(rand.NewPCG(seed, 1)), rng: rand.New(rand.NewPCG(seed, 2)), requests: 6,
		newBudget: func() *Budget {
			b := NewBudget(fleet.RetryPolicy{BudgetRatio: siteRatio * allowanceFactor, BudgetMin: siteSlack * allowanceFactor / siteNodes / BudgetWindow.Seconds()})
			b.LimitWindow(siteRatio*windowFactor, siteSlack*windowFactor/siteNodes)
			b.SetLoans(loans)
			b.reserve = r
			return b
		},
		demand: func(at time.Duration, node int) float64 {
			switch {
			case at < burstFrom || at >= burstTo:
				return 0
			case node%10 == 0:
				return 10 * usual
			}
			return usual
		},
	}
	p.claim = func() Claim {
		kinds := [...]Kind{NewRequest, NewRequest, NewRequest, UnansweredStream, BrokenStream}
		return Claim{Kind: kinds[p.load.IntN(len(kinds))], Class: p.load.IntN(3)}
	}
	p.run(siteNodes, burstTo+3*time.Second)
	return p
}

// total returns the granted and the denied needs of all kinds.
func (p *play) total() (granted, denied int) {
	for _, r := range p.results {
		granted, denied = granted+r.granted, denied+r.denied
	}
	return granted, denied
}

// String describes the results by kind.
func (p *play) String() string {
	s := ""
	for _, k := range []Kind{BrokenStream, UnansweredStream, NewRequest} {
		r := p.results[k]
		s += fmt.Sprintf("%v: granted %d after %v on average, denied %d; ", k, r.granted, (r.waited / time.Duration(max(r.granted, 1))).Round(time.Millisecond), r.denied)
	}
	return s
}

// Guards against nodes that deny retries while the fleet has enough: some nodes need ten times
// the retries of the others. With equal shares they are denied most.
func TestLoansServeNodesThatNeedManyRetries(t *testing.T) {
	equal, lent := playSite(1, false, loanReserve, 1), playSite(1, true, loanReserve, 1)
	t.Logf("equal shares: %v", equal)
	t.Logf("loans: %v", lent)
	if granted, denied := equal.total(); denied < granted/2 {
		t.Errorf("with equal shares %d retries are denied and %d granted, the load shows nothing", denied, granted)
	}
	if granted, denied := lent.total(); denied > granted/20 {
		t.Errorf("with loans %d retries are denied and %d granted", denied, granted)
	}
	for _, end := range lent.uses {
		if used, limit := float64(countIn(lent.uses, end)), siteRatio*float64(countIn(lent.firsts, end))+siteSlack; used > limit {
			t.Fatalf("%v retries used in the window to %v, limit %.0f", used, end.Sub(lent.start), limit)
		}
	}
}

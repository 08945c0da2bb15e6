package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/load"
	"mimosaarch.example/decide/topology"
)

// Shape of the queue model: routers before one service, with lagging news.
const (
	modelRouters = 9
	modelWarm    = 5 * time.Second
	modelReport  = 500 * time.Millisecond
	modelDigest  = 200 * time.Millisecond
	modelTick    = 20 * time.Millisecond
	modelTokens  = 60
	modelSlots   = 24
	modelQueue   = 64
)

// server serves steps one by one, then delays them.
type server struct {
	step, delay, free time.Duration
	running           int
}

// job is one request; stage is where its current token is.
type job struct {
	left, stage int
	chain       topology.Chain
	last        time.Duration
	prefix      uint64
}

// occasion is a thing to do at a time; order breaks ties.
type occasion struct {
	at    time.Duration
	order int
	do    func()
}

// agenda is a heap of occasions.
type agenda []occasion

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occasion)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// router is one router of the model with its own Book and Picker.
type router struct {
	fakeView
	m      *model
	picker Picker
	queue  []*job
}

// model is a queue model of engines and links under several routers.
type model struct {
	graph   *topology.Graph
	engines map[ids.Upstream]*server
	links   map[[2]ids.Upstream]*server
	routers []*router
	agenda  agenda
	now     time.Duration
	orders  int
	rng     *rand.Rand
	prefix  bool
	// Figures after modelWarm; intervals are in milliseconds.
	tokens, offered, busy int
	intervals             []float64
}

func (m *model) clock() time.Time { return epoch.Add(m.now) }

// after plans to do something, every to do it again and again.
func (m *model) after(d time.Duration, do func()) {
	m.orders++
	heap.Push(&m.agenda, occasion{m.now + d, m.orders, do})
}

func (m *model) every(d time.Duration, do func()) {
	m.after(d, func() { do(); m.every(d, do) })
}

// newModel makes the model of a graph with one strategy in all routers.
func newModel(g *topology.Graph, strategy string, opts Options, arrivals float64) *model {
	m := &model{graph: g, engines: map[ids.Upstream]*server{}, links: map[[2]ids.Upstream]*server{}, rng: rand.New(rand.NewPCG(7, 7))}
	for i, e := range g.Engines() {
		m.engines[e.ID] = &server{step: time.Duration(1e9 / e.Rate)}
		for _, edge := range g.Next(i) {
			step := time.Duration(0)
			if edge.Rate > 0 {
				step = time.Duration(1e9 / edge.Rate)
			}
			m.links[[2]ids.Upstream{e.ID, g.Engines()[edge.To].ID}] = &server{step: step, delay: edge.Latency}
		}
		m.after(time.Duration(m.rng.Int64N(int64(modelReport))), func() { m.every(modelReport, func() { m.report(e) }) })
	}
	for k := range modelRouters {
		p, _ := New(strategy, opts, uint64(k+1))
		r := &router{m: m, picker: p, fakeView: fakeView{graph: g, book: load.New(load.Settings{})}}
		m.routers = append(m.routers, r)
		m.after(time.Duration(k)*time.Millisecond, func() { m.every(modelTick, r.dispatch) })
		m.after(time.Duration(k)*17*time.Millisecond, func() { m.every(modelDigest, func() { m.digest(k) }) })
	}
	m.arrive(arrivals)
	return m
}

// report sends an engine's report, which arrives a whole lag late.
func (m *model) report(e topology.Engine) {
	r := engineapi.LoadReport{Engine: string(e.ID), Slots: modelSlots, Running: m.engines[e.ID].running, AgeMs: modelReport.Milliseconds()}
	m.after(modelReport, func() {
		for _, to := range m.routers {
			_ = to.book.ApplyReport(m.clock(), r, m.clock())
		}
	})
}

// digest tells a router's counts to its peers.
func (m *model) digest(k int) {
	counts := map[ids.Upstream]int{}
	m.routers[k].book.CopyOwnCounts(counts)
	for j, to := range m.routers {
		if j != k {
			_ = to.book.ApplyPeerDigest(m.clock(), ids.VM(fmt.Sprint(k)), counts)
		}
	}
}

// arrive brings requests as a Poisson process.
func (m *model) arrive(rate float64) {
	m.after(time.Duration(m.rng.ExpFloat64()/rate*1e9), func() {
		r := m.routers[m.rng.IntN(modelRouters)]
		tokens := modelTokens/2 + m.rng.IntN(modelTokens+1)
		m.offered += tokens
		j := &job{left: tokens}
		if m.prefix {
			j.prefix = 1 + m.rng.Uint64N(20)
		}
		if len(r.queue) < modelQueue {
			r.queue = append(r.queue, j)
			r.dispatch()
		}
		m.arrive(rate)
	})
}

// dispatch sends waiting requests while there are chains with room.
func (r *router) dispatch() {
	for len(r.queue) > 0 {
		j := r.queue[0]
		chain, ok := r.picker.Pick(r.m.clock(), Request{PrefixHash: j.prefix}, r)
		if !ok {
			return
		}
		full := func(e topology.Engine) bool { return r.m.engines[e.ID].running >= modelSlots }
		if slices.ContainsFunc(chain, full) {
			r.m.busy++
			return
		}
		r.queue = r.queue[1:]
		j.chain, j.last = chain, r.m.now
		for _, e := range chain {
			r.m.engines[e.ID].running++
			_ = r.book.RequestStarted(r.m.clock(), e.ID)
		}
		r.step(j)
	}
}

// through does something once a step that comes now is through a server.
func (m *model) through(s *server, do func()) {
	s.free = max(s.free, m.now) + s.step
	m.after(s.free+s.delay-m.now, do)
}

// step runs a token at one engine and on over its link.
func (r *router) step(j *job) {
	e := j.chain[j.stage]
	r.m.through(r.m.engines[e.ID], func() {
		j.stage++
		if j.stage == len(j.chain) {
			r.token(j)
			return
		}
		r.m.through(r.m.links[[2]ids.Upstream{e.ID, j.chain[j.stage].ID}], func() { r.step(j) })
	})
}

// token counts a token and goes on with the next or ends the request.
func (r *router) token(j *job) {
	r.m.tokens++
	r.m.intervals = append(r.m.intervals, (r.m.now-j.last).Seconds()*1e3)
	j.last, j.stage = r.m.now, 0
	if j.left--; j.left > 0 {
		r.step(j)
		return
	}
	for _, e := range j.chain {
		r.m.engines[e.ID].running--
		r.book.RequestEnded(r.m.clock(), e.ID)
	}
	r.dispatch()
}

// run runs the model and gives the tokens offered and delivered a second.
func (m *model) run(length time.Duration) (offered, delivered float64) {
	for warm := false; m.now < modelWarm+length; {
		o := heap.Pop(&m.agenda).(occasion)
		m.now = o.at
		if !warm && m.now > modelWarm {
			warm = true
			m.tokens, m.offered, m.busy, m.intervals = 0, 0, 0, nil
		}
		o.do()
	}
	slices.Sort(m.intervals)
	return float64(m.offered) / length.Seconds(), float64(m.tokens) / length.Seconds()
}

// interval gives a quantile of the time between tokens.
func (m *model) interval(q float64) float64 { return m.intervals[int(q*float64(len(m.intervals)-1))] }

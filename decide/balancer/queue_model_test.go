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

// Parameters of the queueing model: several routers send requests to one
// service and learn its load from delayed reports.
const (
	modelRouters = 9
	modelWarmUp  = 5 * time.Second
	// Each engine reports its load at this interval. A report arrives one
	// interval after the load was measured.
	modelReportInterval = 500 * time.Millisecond
	// Routers exchange their in-flight counts at this interval.
	modelDigestInterval = 200 * time.Millisecond
	// Routers try to dispatch their queues at least this often.
	modelDispatchInterval = 20 * time.Millisecond
	// The number of tokens of a request lies between 0.5 and 1.5 times the mean.
	modelMeanTokens     = 60
	modelSlotsPerEngine = 24
	// Routers drop requests that exceed this number of queued ones.
	modelQueueLimit = 64
)

// server models an engine or a link. It serves one step after the other, each of
// which takes the time step, and delivers it after delay. free is when it will have
// served all steps so far, and running is the number of requests at an engine.
type server struct {
	step, delay, free time.Duration
	running           int
}

// job is one request. left is the number of tokens still to generate, stage the
// position of the current token in the chain, and last the time when the previous
// token was done.
type job struct {
	left, stage int
	chain       topology.Chain
	last        time.Duration
	prefixHash  uint64
}

// event is a call of run at simulated time at; seq orders events of equal time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// router is one router of the model with its own Estimator and Picker.
type router struct {
	fakeView
	m      *model
	picker Picker
	queue  []*job
}

// model simulates the engines and links of a service behind several routers.
type model struct {
	graph   *topology.Graph
	engines map[ids.Upstream]*server
	links   map[[2]ids.Upstream]*server
	routers []*router
	events  eventQueue
	now     time.Duration
	lastSeq int
	rng     *rand.Rand
	// withPrefix gives each request one of 20 prefix hashes.
	withPrefix bool
	// Counted after modelWarmUp: tokens generated, tokens offered, requests
	// refused by a full engine, and the times between tokens in milliseconds.
	tokens, offered, refused int
	intervals                []float64
}

// clock returns the simulated time.
func (m *model) clock() time.Time { return epoch.Add(m.now) }

// after schedules a call of run when d has passed.
func (m *model) after(d time.Duration, run func()) {
	m.lastSeq++
	heap.Push(&m.events, event{m.now + d, m.lastSeq, run})
}

// every schedules a call of run each time d has passed.
func (m *model) every(d time.Duration, run func()) {
	m.after(d, func() { run(); m.every(d, run) })
}

// newModel returns a model of a graph in which all routers use one strategy and
// requests arrive at the given rate per second.
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
		m.after(time.Duration(m.rng.Int64N(int64(modelReportInterval))), func() { m.every(modelReportInterval, func() { m.report(e) }) })
	}
	for k := range modelRouters {
		p, _ := New(strategy, opts, uint64(k+1))
		r := &router{m: m, picker: p, fakeView: fakeView{graph: g, estimator: load.New(load.Settings{})}}
		m.routers = append(m.routers, r)
		m.after(time.Duration(k)*time.Millisecond, func() { m.every(modelDispatchInterval, r.dispatch) })
		m.after(time.Duration(k)*17*time.Millisecond, func() { m.every(modelDigestInterval, func() { m.digest(k) }) })
	}
	m.arrive(arrivals)
	return m
}

// report sends a load report of an engine to all routers. It arrives
// modelReportInterval later.
func (m *model) report(e topology.Engine) {
	r := engineapi.LoadReport{Engine: string(e.ID), Slots: modelSlotsPerEngine, Running: m.engines[e.ID].running, AgeMs: modelReportInterval.Milliseconds()}
	m.after(modelReportInterval, func() {
		for _, to := range m.routers {
			_ = to.estimator.ApplyReport(m.clock(), r, m.clock())
		}
	})
}

// digest sends the in-flight counts of router k to the other routers.
func (m *model) digest(k int) {
	counts := map[ids.Upstream]int{}
	m.routers[k].estimator.CopyOwnCounts(counts)
	for j, to := range m.routers {
		if j != k {
			_ = to.estimator.ApplyPeerDigest(m.clock(), ids.VM(fmt.Sprint(k)), counts)
		}
	}
}

// arrive schedules the arrivals of requests as a Poisson process with the given
// rate per second.
func (m *model) arrive(rate float64) {
	m.after(time.Duration(m.rng.ExpFloat64()/rate*1e9), func() {
		r := m.routers[m.rng.IntN(modelRouters)]
		tokens := modelMeanTokens/2 + m.rng.IntN(modelMeanTokens+1)
		m.offered += tokens
		j := &job{left: tokens}
		if m.withPrefix {
			j.prefixHash = 1 + m.rng.Uint64N(20)
		}
		if len(r.queue) < modelQueueLimit {
			r.queue = append(r.queue, j)
			r.dispatch()
		}
		m.arrive(rate)
	})
}

// dispatch sends queued requests while there are chains with capacity.
func (r *router) dispatch() {
	for len(r.queue) > 0 {
		j := r.queue[0]
		chain, ok := r.picker.Pick(r.m.clock(), Request{PrefixHash: j.prefixHash}, r)
		if !ok {
			return
		}
		full := func(e topology.Engine) bool { return r.m.engines[e.ID].running >= modelSlotsPerEngine }
		if slices.ContainsFunc(chain, full) {
			r.m.refused++
			return
		}
		r.queue = r.queue[1:]
		j.chain, j.last = chain, r.m.now
		for _, e := range chain {
			r.m.engines[e.ID].running++
			_ = r.estimator.RequestStarted(r.m.clock(), e.ID)
		}
		r.step(j)
	}
}

// serve adds a step to those of a server and schedules a call of done for when
// the step is delivered.
func (m *model) serve(s *server, done func()) {
	s.free = max(s.free, m.now) + s.step
	m.after(s.free+s.delay-m.now, done)
}

// step runs the current token of a job at one engine and sends it over the link
// to the next.
func (r *router) step(j *job) {
	e := j.chain[j.stage]
	r.m.serve(r.m.engines[e.ID], func() {
		j.stage++
		if j.stage == len(j.chain) {
			r.token(j)
			return
		}
		r.m.serve(r.m.links[[2]ids.Upstream{e.ID, j.chain[j.stage].ID}], func() { r.step(j) })
	})
}

// token counts a finished token and starts the next one or ends the request.
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
		r.estimator.RequestEnded(r.m.clock(), e.ID)
	}
	r.dispatch()
}

// run runs the model for modelWarmUp and then for the given time. It returns the
// tokens per second offered and delivered in the latter.
func (m *model) run(length time.Duration) (offered, delivered float64) {
	for warm := false; m.now < modelWarmUp+length; {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		if !warm && m.now > modelWarmUp {
			warm = true
			m.tokens, m.offered, m.refused, m.intervals = 0, 0, 0, nil
		}
		e.run()
	}
	slices.Sort(m.intervals)
	return float64(m.offered) / length.Seconds(), float64(m.tokens) / length.Seconds()
}

// interval returns the q-quantile of the time between tokens, in milliseconds.
func (m *model) interval(q float64) float64 { return m.intervals[int(q*float64(len(m.intervals)-1))] }

package placer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	corefleet "mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/placement"
	"mimosaarch.example/decide/retry"
)

// Times of the play.
const (
	// endsAfter is how long an engine serves after the word that it leaves.
	endsAfter = 3500 * time.Millisecond
	// replacedAfter is when an empty engine takes the place of one.
	replacedAfter = time.Second
	// shortStream and longStream bound how long a stream runs.
	shortStream = time.Second
	longStream  = 6 * time.Second
	// patienceMidway is how long a caller waits for the next event.
	patienceMidway = 2 * time.Second
	// tryMidway is the pause before a stream that was cut tries again.
	tryMidway = 150 * time.Millisecond
	// sampleEvery is the pause between two looks at what zones lack.
	sampleEvery = 100 * time.Millisecond
)

// siteModel has 80 layers on three kinds of cards.
var siteModel = &layered.Model{
	Layers: 80, LayerMB: 1750, KVTokenBytes: 590000, StepMs: 0.85, PerSequenceMs: 0.004, PerContextMs: 0.005,
	PrefillTokensPerMs: 196, StepsPerPass: 2, LoadSeconds: 14, MeanPromptTokens: 760, MeanOutputTokens: 172,
	Cards: map[string]layered.Card{
		"large":  {MemoryMB: 36000, StepFactor: 3.1, PrefillFactor: 3.2},
		"medium": {MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8.2},
		"small":  {MemoryMB: 14400, StepFactor: 15, PrefillFactor: 15},
	},
}

// server is an engine of the play.
type server struct {
	up directory.Upstream
	// memory counts the layers whose weights it has in memory.
	memory int
	orders int64
	busy   bool
	ended  bool
	runs   map[*run]layered.Range
}

// run is a stream of the play.
type run struct {
	chain chain.Chain
	until time.Time
}

// site is a fleet of engines with streams through them.
type site struct {
	mu      sync.Mutex
	rand    *rand.Rand
	dir     *directory.Directory
	rev     int64
	servers map[ids.Life]*server
	book    *chain.Picker
	full    *condition.Table
	budget  *retry.Budget
	// since tells since when zones could hold the model and do not.
	since map[ids.Zone]time.Time
	// What came of it: the longest time that a zone lacked layers though its engines could
	// hold them, with none coming or leaving; streams cut and never taken up again;
	// requests refused and begun.
	longest                  time.Duration
	cut, lost, refused, runs int
}

// newSite draws three zones whose engines hold one copy each.
func newSite(seed uint64) *site {
	conditions := condition.New()
	s := &site{
		rand: rand.New(rand.NewPCG(seed, 11)), dir: directory.New(), servers: make(map[ids.Life]*server),
		book: chain.New(conditions), full: conditions, since: make(map[ids.Zone]time.Time),
		budget: retry.NewBudget(corefleet.RetryPolicy{BudgetRatio: 0.2, BudgetMin: 20}),
	}
	for _, zone := range []ids.Zone{"x", "y", "z"} {
		counts := []int{2, 4 + s.rand.IntN(2), 6 + s.rand.IntN(2)}
		for kind, card := range []string{"large", "medium", "small"} {
			for i := range counts[kind] {
				s.enter(zone, card, fmt.Sprintf("%s-%s-%d", zone, card, i))
			}
		}
	}
	return s
}

// enter adds an empty engine.
func (s *site) enter(zone ids.Zone, card, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := ids.Life{Upstream: ids.Upstream(name)}
	s.servers[id] = &server{
		up:   directory.Upstream{ID: id, Service: "s", Address: name, Zone: zone, Card: card, Slots: 192},
		runs: make(map[*run]layered.Range),
	}
	s.put(s.servers[id])
}

// put writes an engine's entry.
func (s *site) put(e *server) {
	s.rev++
	e.up.Revision = s.rev
	s.dir.Put(e.up)
}

// Probe implements Engines.
func (s *site) Probe(_ context.Context, u *directory.Upstream) (layered.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.servers[u.ID]
	return layered.Report{OrdersStarted: e.orders, ExecutingOrder: e.busy}, nil
}

// Place implements Engines: layers that are given up take nothing new at once, and others
// are loaded once nothing passes through those.
func (s *site) Place(_ context.Context, u *directory.Upstream, o Order) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.servers[u.ID]
	if e.busy || e.ended || o.After != e.orders || !siteModel.Fits(siteModel.Cards[e.up.Card], o.Layers.Len()) {
		return Unfit, nil
	}
	e.orders++
	e.busy = true
	kept := e.up.Layers.Intersect(o.Layers)
	if kept.Empty() {
		kept = layered.Range{}
	}
	e.up.Layers = kept
	s.put(e)
	go s.carryOut(e, o.Layers)
	return Begun, nil
}

// carryOut empties an engine of layers, and loads others.
func (s *site) carryOut(e *server, layers layered.Range) {
	for s.passing(e, layers) {
		time.Sleep(tick / 2)
	}
	s.mu.Lock()
	loads := layers.Len() - e.up.Layers.Len()
	e.memory = layers.Len()
	s.mu.Unlock()
	time.Sleep(time.Duration(siteModel.LoadSeconds * float64(loads) / float64(siteModel.Layers) * float64(time.Second)))
	s.mu.Lock()
	defer s.mu.Unlock()
	e.busy = false
	if e.ended {
		return
	}
	e.up.Layers = layers
	if s.dir.View().Get(e.up.ID) != nil {
		s.put(e)
	}
}

// passing reports whether streams pass through layers of an engine outside a range.
func (s *site) passing(e *server, layers layered.Range) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range e.runs {
		if !layers.Covers(r) {
			return true
		}
	}
	return false
}

// leave has an engine leave as planned: it says so, or its entry goes without a word.
func (s *site) leave(id ids.Life, says bool) {
	s.mu.Lock()
	e := s.servers[id]
	if says {
		e.up.Leaving = true
		s.put(e)
	} else {
		s.rev++
		s.dir.Remove(time.Now(), id.Upstream, s.rev)
	}
	s.mu.Unlock()
	time.Sleep(endsAfter)
	s.mu.Lock()
	defer s.mu.Unlock()
	if says {
		s.rev++
		s.dir.Remove(time.Now(), id.Upstream, s.rev)
	}
	e.ended = true
	for r := range e.runs {
		s.drop(r)
		s.cut++
		go s.resume(r, time.Now().Add(patienceMidway))
	}
	s.book.Forget(id)
}

// drop takes a stream off its engines.
func (s *site) drop(r *run) {
	for _, h := range r.chain {
		delete(s.servers[h.Engine.ID].runs, r)
	}
	s.book.RequestEnded(time.Now(), r.chain, s.request(true))
}

// request is what streams need.
func (s *site) request(begun bool) chain.Request {
	return chain.Request{Service: "s", Zone: "x", PromptTokens: siteModel.MeanPromptTokens, OutputTokens: siteModel.MeanOutputTokens, OutputStarted: begun, JitterSeed: s.rand.Uint64() | 1}
}

// try sends a stream through a chain, and reports whether all engines took it.
func (s *site) try(r *run, begun bool) bool {
	now := time.Now()
	c, err := s.book.Pick(now, siteModel, s.dir.View(), s.request(begun))
	if err != nil || !begun && s.book.FullEngine(now, c) != nil {
		return false
	}
	for _, h := range c {
		if e := s.servers[h.Engine.ID]; e.ended || !e.up.Layers.Covers(h.Layers) || !s.hasRoom(e, h.Layers) {
			s.full.RefusedFull(now, h.Engine.ID)
			return false
		}
	}
	r.chain = c
	for _, h := range c {
		s.servers[h.Engine.ID].runs[r] = h.Layers
	}
	s.book.RequestStarted(now, c, s.request(begun))
	go s.finish(r, c)
	return true
}

// hasRoom reports whether an engine has memory for one more stream.
func (s *site) hasRoom(e *server, layers layered.Range) bool {
	card := siteModel.Cards[e.up.Card]
	free := (card.MemoryMB - float64(max(e.memory, e.up.Layers.Len()))*siteModel.LayerMB) * 1e6
	used := layers.Len()
	for _, r := range e.runs {
		used += r.Len()
	}
	return float64(used)*(siteModel.MeanPromptTokens+siteModel.MeanOutputTokens)*siteModel.KVTokenBytes/float64(siteModel.Layers) <= free
}

// finish ends a stream once its time is over, if it still runs on the same chain.
func (s *site) finish(r *run, c chain.Chain) {
	time.Sleep(time.Until(r.until))
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, there := s.servers[c[0].Engine.ID].runs[r]; there && slices.Equal(r.chain, c) {
		s.drop(r)
	}
}

// begin has a caller come, who is refused if neither the first nor a second chain takes
// the stream.
func (s *site) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.budget.RecordFirst(time.Now())
	length := shortStream + time.Duration(s.rand.Float64()*float64(longStream-shortStream))
	r := &run{until: time.Now().Add(length)}
	if !s.try(r, false) && !(s.budget.Allow(time.Now(), outcome.UpstreamBusy) && s.try(r, false)) {
		s.refused++
	}
}

// resume has a stream that was cut go on elsewhere, while its caller waits.
func (s *site) resume(r *run, until time.Time) {
	for time.Now().Before(until) {
		s.mu.Lock()
		took := s.budget.Allow(time.Now(), outcome.UpstreamLost) && s.try(r, true)
		s.mu.Unlock()
		if took {
			return
		}
		time.Sleep(tryMidway)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost++
}

// watch notes for how long zones lack layers though their engines can hold them.
func (s *site) watch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stay []placement.Engine
	memory := make(map[ids.Zone]int)
	for _, u := range s.dir.View().Of("s") {
		if u.Leaving {
			continue
		}
		stay = append(stay, placement.Engine{ID: u.ID, Zone: u.Zone, Card: u.Card, Holds: u.Layers})
		memory[u.Zone] += most(u.Card)
	}
	for zone, whole := range placement.Whole(siteModel, stay) {
		if whole || memory[zone] < siteModel.Layers {
			delete(s.since, zone)
			continue
		}
		if _, known := s.since[zone]; !known {
			s.since[zone] = time.Now()
		}
		s.longest = max(s.longest, time.Since(s.since[zone]))
	}
}

// change tells that an engine of a zone comes or leaves.
func (s *site) change(zone ids.Zone) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.since, zone)
}

// leavings has engines leave in a row, in all zones, some of which are replaced.
func (s *site) leavings(n int, over time.Duration) {
	for i := range n {
		s.mu.Lock()
		var stay []*directory.Upstream
		for _, u := range s.dir.View().Of("s") {
			if !u.Leaving {
				stay = append(stay, u)
			}
		}
		u := stay[s.rand.IntN(len(stay))]
		says, replaced := s.rand.IntN(2) == 0, s.rand.IntN(3) == 0
		pause := time.Duration(s.rand.Float64() * 2 * float64(over) / float64(n))
		s.mu.Unlock()
		s.change(u.Zone)
		go s.leave(u.ID, says)
		if replaced {
			go func() {
				time.Sleep(replacedAfter)
				s.change(u.Zone)
				s.enter(u.Zone, u.Card, fmt.Sprintf("new-%d", i))
			}()
		}
		time.Sleep(pause)
	}
}

// repeat calls a function at a rate until ctx ends.
func repeat(ctx context.Context, pause time.Duration, do func()) {
	for ctx.Err() == nil {
		do()
		time.Sleep(pause)
	}
}

// Lease of the play: its node may always give orders.
func (s *site) Status() lease.Status { return lease.Status{Held: true, Left: time.Hour, Fence: 9} }
func (s *site) LastTerm() lease.Status { return lease.Status{} }
func (s *site) StepDown()            {}

package chain

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/condition"
)

// Picker is this node's knowledge of the engines. Make it with New.
type Picker struct {
	conditions *condition.Table
	engines    map[ids.Life]*state
	// pipes are the ways between zones that this node's requests took.
	pipes map[pair]*pipe
	// fleet is by how much the own load is multiplied to guess everybody's.
	fleet float64
}

// state is what is known of one engine beside the directory.
type state struct {
	// streams run through it from this node, with tokens of KV cache in each
	// layer they pass.
	now load
	// mean is the same over the last seconds, as of at.
	mean load
	at   time.Time
	// report is the latest that came with one of its answers.
	report report
}

// load is work on an engine.
type load struct {
	streams     float64
	tokenLayers float64
	// firsts counts the streams of which the engine is the first stage.
	firsts float64
}

// toward gives a load that is the part of the way from l to o.
func (l load) toward(o load, part float64) load {
	return load{
		streams:     l.streams + part*(o.streams-l.streams),
		tokenLayers: l.tokenLayers + part*(o.tokenLayers-l.tokenLayers),
		firsts:      l.firsts + part*(o.firsts-l.firsts),
	}
}

const (
	// meanOver is the time over which the mean load is taken.
	meanOver = 3 * time.Second
	// momentPart is the weight of the present load in a guess of everybody's.
	// A node has a handful of streams on an engine, so the present number times
	// the number of nodes is mostly noise.
	momentPart = 0.3
)

// advance brings the mean up to now.
func (s *state) advance(now time.Time) {
	passed := now.Sub(s.at)
	s.at = now
	s.mean = s.mean.toward(s.now, 1-math.Exp(-passed.Seconds()/meanOver.Seconds()))
}

// guess gives the load that the engine has from one node of the fleet, on
// average.
func (s *state) guess(now time.Time) load {
	s.advance(now)
	return s.mean.toward(s.now, momentPart)
}

// New makes a Book that shares beliefs with others.
func New(conditions *condition.Table) *Picker {
	return &Picker{conditions: conditions, engines: make(map[ids.Life]*state), pipes: make(map[pair]*pipe), fleet: 1}
}

// SetNodeCount tells how many nodes share the engines.
func (b *Picker) SetNodeCount(nodes int) { b.fleet = float64(max(nodes, 1)) }

// Forget drops what is known of an engine that is gone.
func (b *Picker) Forget(id ids.Life) {
	if s := b.engines[id]; s != nil && s.now.streams <= 0 {
		delete(b.engines, id)
	}
}

// of gives the state of an engine.
func (b *Picker) of(id ids.Life) *state {
	s := b.engines[id]
	if s == nil {
		s = &state{}
		b.engines[id] = s
	}
	return s
}

// RequestStarted counts a request on its chain.
func (b *Picker) RequestStarted(now time.Time, c Chain, r Request) {
	b.count(now, c, r, 1)
	for i := 1; i < len(c); i++ {
		if from, to := c[i-1].Engine.Zone, c[i].Engine.Zone; from != to {
			b.pipe(from, to).add(now, r.PromptTokens)
		}
	}
}

// RequestEnded takes a request off its chain; r must be what Began was told.
func (b *Picker) RequestEnded(now time.Time, c Chain, r Request) { b.count(now, c, r, -1) }

// count adds a request to, or takes it off, each engine of a chain.
func (b *Picker) count(now time.Time, c Chain, r Request, sign float64) {
	for i, h := range c {
		s := b.of(h.Engine.ID)
		s.advance(now)
		if i == 0 {
			s.now.firsts += sign
		}
		s.now.streams += sign
		s.now.tokenLayers += sign * r.tokens() * float64(h.Layers.Len())
	}
}

// pair is two zones, the lesser name first.
type pair [2]ids.Zone

// between gives the pair of two zones, in whatever order.
func between(one, other ids.Zone) pair { return pair{min(one, other), max(one, other)} }

// pipe is the way between two zones.
type pipe struct {
	// tokensPerS is the mean rate of prompt tokens as of at.
	tokensPerS float64
	at         time.Time
}

// pipeOver is the time over which that mean is taken: a burst of 100 prompts a
// second fills a pipe of 3,280 Mbit/s elevenfold, and lasts some seconds.
const pipeOver = time.Second

// pipe gives the way between two zones.
func (b *Picker) pipe(one, other ids.Zone) *pipe {
	key := between(one, other)
	p := b.pipes[key]
	if p == nil {
		p = &pipe{}
		b.pipes[key] = p
	}
	return p
}

// fade brings the mean up to now.
func (p *pipe) fade(now time.Time) {
	p.tokensPerS *= math.Exp(-now.Sub(p.at).Seconds() / pipeOver.Seconds())
	p.at = now
}

// add counts the prompt of a request.
func (p *pipe) add(now time.Time, tokens float64) {
	p.fade(now)
	p.tokensPerS += tokens / pipeOver.Seconds()
}

// leastFree is the part of a pipe that counts as free at least.
const leastFree = 0.05

// hopCost is charged for the way into a stage in another zone than the one
// before, in ms: more as the pipe between them fills up, by a guess from this
// node's own requests.
func (b *Picker) hopCost(now time.Time, m *layered.Model, from, to ids.Zone) float64 {
	p := b.pipes[between(from, to)]
	if p == nil {
		return zoneHopMs
	}
	p.fade(now)
	return zoneHopMs / max(1-m.ZoneLinkUtilization(p.tokensPerS*b.fleet), leastFree)
}

package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/decide/roster"
)

// Pulser is the platform's store as far as it answers at all.
type Pulser interface {
	// Pulse makes a call that costs the store little. The error tells that no answer
	// came, of whatever kind.
	Pulse(ctx context.Context) error
}

// pulse finds out whether the store still answers this node while it waits there.
type pulse struct {
	store    Pulser
	fleet    *fleet
	contacts []*contact
	log      zerolog.Logger
	timing   roster.Pulse
}

// run works until ctx ends.
func (p *pulse) run(ctx context.Context) {
	every.Do(ctx, roster.PulseEvery, func() {
		if p.due() {
			p.beat(ctx)
		}
	})
}

// due reports whether a watch waits at the store, or would if that answered.
func (p *pulse) due() bool {
	for _, c := range p.contacts {
		if c.waits.Load() {
			return true
		}
	}
	return p.fleet.isSilent()
}

// beat sends one pulse and waits for what becomes of it.
func (p *pulse) beat(ctx context.Context) {
	p.timing.Sent(boottime.Now())
	answered := make(chan error, 1)
	go func() { answered <- p.store.Pulse(ctx) }()
	late := time.NewTimer(p.timing.Allowed())
	defer late.Stop()
	select {
	case err := <-answered:
		p.ended(err)
	case <-late.C:
		p.set(true)
		p.ended(<-answered)
	}
}

// ended takes the end of a pulse. One without an answer leaves things as they are: a call
// that failed at once, as its connection was reset, tells nothing of the next.
func (p *pulse) ended(err error) {
	if err != nil {
		return
	}
	p.timing.Answered(boottime.Now())
	p.set(false)
	for _, c := range p.contacts {
		c.pulsed()
	}
}

// set notes whether the store has stopped answering.
func (p *pulse) set(silent bool) {
	if p.fleet.setSilent(silent) {
		p.log.Info().Str("event", "store_silent").Bool("silent", silent).Dur("allowed_ms", p.timing.Allowed()).Send()
	}
}

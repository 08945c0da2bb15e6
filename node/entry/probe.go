package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/decide/roster"
)

// Prober is the platform's store as far as it answers at all.
type Prober interface {
	// Probe makes a call that costs the store little. The error tells that no answer
	// came, of whatever kind.
	Probe(ctx context.Context) error
}

// probe finds out whether the store still answers this node while it waits there.
type probe struct {
	store    Prober
	fleet    *fleet
	contacts []*contact
	log      zerolog.Logger
	timing   roster.Probe
	// soon is told that one is wanted before its time.
	soon chan struct{}
}

// newProbe makes the duty for watches of some collections.
func newProbe(store Prober, f *fleet, log zerolog.Logger, contacts ...*contact) *probe {
	return &probe{store: store, fleet: f, contacts: contacts, log: log, soon: make(chan struct{}, 1)}
}

// hurry has a probe sent at once, or after the one under way. A watch that begins tells
// nothing until something changes; its view counts once a probe is answered.
func (p *probe) hurry() {
	select {
	case p.soon <- struct{}{}:
	default:
	}
}

// run works until ctx ends.
func (p *probe) run(ctx context.Context) {
	every.DoOrOnSignal(ctx, roster.ProbeInterval, p.soon, func() {
		if p.due() {
			p.send(ctx)
		}
	})
}

// due reports whether a watch waits at the store, or would if that answered.
func (p *probe) due() bool {
	for _, c := range p.contacts {
		if c.waits.Load() {
			return true
		}
	}
	return p.fleet.isSilent()
}

// send sends one probe and waits for what becomes of it.
func (p *probe) send(ctx context.Context) {
	p.timing.Sent(boottime.Now())
	answered := make(chan error, 1)
	go func() { answered <- p.store.Probe(ctx) }()
	late := time.NewTimer(p.timing.Timeout())
	defer late.Stop()
	select {
	case err := <-answered:
		p.ended(err)
	case <-late.C:
		p.set(true)
		p.ended(<-answered)
	}
}

// ended takes the end of a probe. One without an answer leaves things as they are: a call
// that failed at once, as its connection was reset, tells nothing of the next.
func (p *probe) ended(err error) {
	if err != nil {
		return
	}
	p.timing.Answered(boottime.Now())
	p.set(false)
	for _, c := range p.contacts {
		c.probed()
	}
}

// set notes whether the store has stopped answering.
func (p *probe) set(silent bool) {
	if p.fleet.setSilent(silent) {
		p.log.Info().Str("event", "store_silent").Bool("silent", silent).Dur("allowed_ms", p.timing.Timeout()).Send()
	}
}

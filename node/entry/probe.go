package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/decide/roster"
)

// Prober checks whether the platform's store answers.
type Prober interface {
	// Probe makes a cheap call to the store. Any answer counts as success. The
	// error means that no answer arrived.
	Probe(ctx context.Context) error
}

// probe checks whether the store still answers this node while a watch waits
// there.
type probe struct {
	store    Prober
	fleet    *fleet
	contacts []*storeContact
	log      zerolog.Logger
	timing   roster.Probe
	// trigger requests a probe before the next interval.
	trigger chan struct{}
}

// newProbe creates a probe whose answers also count as answers to the waiting
// watches of the given collections.
func newProbe(store Prober, f *fleet, log zerolog.Logger, contacts ...*storeContact) *probe {
	return &probe{store: store, fleet: f, contacts: contacts, log: log, trigger: make(chan struct{}, 1)}
}

// probeNow requests a probe at once, or directly after the one in progress. A
// new watch yields no answer until something changes, so without a probe the
// node's state would not count as recent.
func (p *probe) probeNow() {
	select {
	case p.trigger <- struct{}{}:
	default:
	}
}

// run sends probes until ctx ends.
func (p *probe) run(ctx context.Context) {
	every.DoOrOnSignal(ctx, roster.ProbeInterval, p.trigger, func() {
		if p.due() {
			p.send(ctx)
		}
	})
}

// due reports whether probes are needed: while a watch waits at the store, and
// while the store is unresponsive.
func (p *probe) due() bool {
	for _, c := range p.contacts {
		if c.watching.Load() {
			return true
		}
	}
	return p.fleet.isStoreUnresponsive()
}

// send sends one probe and waits for its end. The store is marked as
// unresponsive if the probe exceeds its timeout.
func (p *probe) send(ctx context.Context) {
	p.timing.Sent(boottime.Now())
	answered := make(chan error, 1)
	go func() { answered <- p.store.Probe(ctx) }()
	limit := time.NewTimer(p.timing.Timeout())
	defer limit.Stop()
	select {
	case err := <-answered:
		p.handleResult(err)
	case <-limit.C:
		p.setUnresponsive(true)
		p.handleResult(<-answered)
	}
}

// handleResult handles the end of a probe. An error changes nothing: a call
// that failed at once, for example because its connection was reset, does not
// predict the result of the next one.
func (p *probe) handleResult(err error) {
	if err != nil {
		return
	}
	p.timing.Answered(boottime.Now())
	p.setUnresponsive(false)
	for _, c := range p.contacts {
		c.probeAnswered()
	}
}

// setUnresponsive records whether the store is unresponsive, and logs changes.
func (p *probe) setUnresponsive(unresponsive bool) {
	if p.fleet.setStoreUnresponsive(unresponsive) {
		p.log.Info().Str("event", "store_silent").Bool("silent", unresponsive).Dur("allowed_ms", p.timing.Timeout()).Send()
	}
}

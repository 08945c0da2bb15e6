package forward

import (
	"time"

	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/chain"
)

// recordAffinity counts and logs whether the chain chosen for a request of a route with
// affinity holds a prefix of its prompt. The caller holds mu.
func (p *picker) recordAffinity(now time.Time, id string, m *layered.Model, r chain.Request, c chain.Chain) {
	if len(r.Prefix) == 0 {
		return
	}
	saved := p.chains.SavedMs(now, m, r, c)
	if saved <= 0 {
		p.opts.Metrics.Add("affinity.missed", 1)
		return
	}
	p.opts.Metrics.Add("affinity.shared", 1)
	p.opts.Log.Info().Str("event", "prefix_shared").Str("request", logged(id)).Str("service", string(r.Service)).Str("upstream", c[0].Engine.ID.String()).
		Float64("saved_ms", saved).Send()
}

package bench

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
	standins "mimosaarch.example/standin/fleet"
)

// Bound returns the upper bound of the throughput of a set of stand-ins, in token
// steps per second: the maximum flow through its engines and links.
func Bound(cfg standins.Config) float64 {
	var engines []topology.Engine
	var links []topology.Link
	for _, spec := range cfg.Engines {
		e := spec.Engine
		engines = append(engines, topology.Engine{
			ID:    ids.Upstream(e.ID),
			Zone:  ids.Zone(spec.Zone),
			First: e.First,
			Last:  e.Last,
			Slots: e.Slots,
			Rate:  e.Rate,
		})
		for _, l := range e.Links {
			links = append(links, topology.Link{
				From:    ids.Upstream(e.ID),
				To:      ids.Upstream(l.To),
				Latency: time.Duration(l.LatencyUs) * time.Microsecond,
				Rate:    l.Rate,
			})
		}
	}
	return topology.Bound(topology.NewGraph(cfg.Layers, engines, links))
}

package balancer

import (
	"math"

	"mimosaarch.example/decide/topology"
)

// shortestPath finds the chain of least cost over all engines of a graph. It
// reuses its memory between calls.
type shortestPath struct {
	cost []float64
	next []int
	path []int
	// engineCost returns the cost of an engine, +Inf when it can't be used now.
	engineCost func(i int) float64
	// linkCost returns the cost of a link, +Inf when it can't be used now.
	linkCost func(from int, e topology.Edge) float64
}

// find returns the engine indices of the cheapest chain, nil when there is
// none. The slice is valid until the next call.
func (c *shortestPath) find(g *topology.Graph) []int {
	n := len(g.Engines())
	c.cost = resized(c.cost, n)
	c.next = resized(c.next, n)
	// Engines are sorted by their first layer, so successors have higher
	// indices and are done first.
	for i := n - 1; i >= 0; i-- {
		c.setCost(g, i)
	}
	best, least := sourceNode, math.Inf(1)
	for _, i := range g.Heads() {
		if c.cost[i] < least {
			best, least = i, c.cost[i]
		}
	}
	if best == sourceNode {
		return nil
	}
	c.path = c.path[:0]
	for i := best; i != sourceNode; i = c.next[i] {
		c.path = append(c.path, i)
	}
	return c.path
}

// setCost sets the least cost from an engine to the end of the model, +Inf
// when no chain leads there. engineCost isn't called for such an engine.
func (c *shortestPath) setCost(g *topology.Graph, i int) {
	c.cost[i] = math.Inf(1)
	c.next[i] = sourceNode
	rest := 0.0
	if !g.IsTail(i) {
		rest = c.remainingCost(g, i)
	}
	if !math.IsInf(rest, 1) {
		c.cost[i] = rest + c.engineCost(i)
	}
}

// remainingCost returns the least cost of the chain after an engine and
// records the successor in next.
func (c *shortestPath) remainingCost(g *topology.Graph, i int) float64 {
	least := math.Inf(1)
	for _, e := range g.Next(i) {
		if c.cost[e.To] >= least {
			continue
		}
		if cost := c.cost[e.To] + c.linkCost(i, e); cost < least {
			least = cost
			c.next[i] = e.To
		}
	}
	return least
}

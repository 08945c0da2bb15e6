package balancer

import (
	"math"

	"mimosaarch.example/decide/topology"
)

// cheapest finds the chain of least cost over all engines of a graph. It
// reuses its memory.
type cheapest struct {
	cost []float64
	next []int
	path []int
	// engine gives the cost of an engine, +Inf when it can't be used now.
	engine func(i int) float64
	// edge gives the cost of a link, +Inf when it can't be used now.
	edge func(from int, e topology.Edge) float64
}

// find gives the chain's path, valid until the next call; nil when there is none.
func (c *cheapest) find(g *topology.Graph) []int {
	n := len(g.Engines())
	c.cost = grown(c.cost, n)
	c.next = grown(c.next, n)
	// Engines are in order of their first layers: followers come later.
	for i := n - 1; i >= 0; i-- {
		c.weigh(g, i)
	}
	best, least := source, math.Inf(1)
	for _, i := range g.Heads() {
		if c.cost[i] < least {
			best, least = i, c.cost[i]
		}
	}
	if best == source {
		return nil
	}
	c.path = c.path[:0]
	for i := best; i != source; i = c.next[i] {
		c.path = append(c.path, i)
	}
	return c.path
}

// weigh sets the least cost from an engine to the end of the model. An engine
// that leads nowhere isn't looked at.
func (c *cheapest) weigh(g *topology.Graph, i int) {
	c.cost[i] = math.Inf(1)
	c.next[i] = source
	rest := 0.0
	if !g.IsTail(i) {
		rest = c.onward(g, i)
	}
	if !math.IsInf(rest, 1) {
		c.cost[i] = rest + c.engine(i)
	}
}

// onward gives the least cost after an engine and notes the follower.
func (c *cheapest) onward(g *topology.Graph, i int) float64 {
	least := math.Inf(1)
	for _, e := range g.Next(i) {
		if c.cost[e.To] >= least {
			continue
		}
		if cost := c.cost[e.To] + c.edge(i, e); cost < least {
			least = cost
			c.next[i] = e.To
		}
	}
	return least
}

package queue

import (
	"time"

	"mimosaarch.example/core/ids"
)

// maxIdle bounds the accounts without waiting requests whose past use is
// still remembered by a class.
const maxIdle = 1024

// class holds the items of one priority and shares between accounts by
// start-time fair queueing: an account's start tag grows by cost over weight
// with each item served, and the least start tag is served next.
type class struct {
	priority int
	flows    map[ids.Account]*flow
	ready    indexed[*flow]
	ages     entryHeap
	// virtual is the start tag of the item served last.
	virtual float64
	// idle remembers the start tags of accounts that ran out of items, so
	// that leaving and coming back gains nothing.
	idle       map[ids.Account]float64
	cost       float64
	lastServed time.Time
	seq        uint64
}

// flow holds the items of one account within a class.
type flow struct {
	account ids.Account
	weight  float64
	start   float64
	cost    float64
	seq     uint64
	index   int
	items   entryHeap
}

func newClass(priority int) class {
	return class{
		priority: priority,
		flows:    make(map[ids.Account]*flow),
		ready:    indexed[*flow]{less: earlierStart, place: func(f *flow, i int) { f.index = i }},
		ages:     newEntryHeap(earlierEnqueued, placeAge),
		idle:     make(map[ids.Account]float64),
	}
}

// earlierStart orders by start tag, then by arrival.
func earlierStart(a, b *flow) bool {
	if a.start == b.start {
		return a.seq < b.seq
	}
	return a.start < b.start
}

func (c *class) len() int { return c.ages.Len() }

// rank is the priority, raised by one for each step that the class has gone
// unserved while something waited. The class must not be empty.
func (c *class) rank(now time.Time, step time.Duration) int {
	since := c.ages.top().Enqueued
	if c.lastServed.After(since) {
		since = c.lastServed
	}
	unserved := max(now.Sub(since), 0)
	return c.priority + int(unserved/step)
}

// head gives the entry to serve next. The class must not be empty.
func (c *class) head() *entry { return c.ready.top().items.top() }

// startOf gives the start tag an account would join with.
func (c *class) startOf(account ids.Account) float64 {
	if f, ok := c.flows[account]; ok {
		return f.start
	}
	return max(c.virtual, c.idle[account])
}

func (c *class) add(e *entry) {
	f, ok := c.flows[e.Account]
	if !ok {
		f = c.join(e.Account)
	}
	f.weight = float64(e.Weight)
	f.cost += e.Cost
	c.cost += e.Cost
	e.flow = f
	f.items.push(e)
	c.ages.push(e)
}

// join adds an account that has nothing waiting.
func (c *class) join(account ids.Account) *flow {
	c.seq++
	f := &flow{
		account: account,
		start:   c.startOf(account),
		seq:     c.seq,
		items:   newEntryHeap(earlierDeadline, placeFlow),
	}
	delete(c.idle, account)
	c.flows[account] = f
	c.ready.push(f)
	return f
}

// serve removes an entry and charges its account.
func (c *class) serve(now time.Time, e *entry) {
	f := e.flow
	c.lastServed = now
	c.virtual = max(c.virtual, f.start)
	f.start += e.Cost / f.weight
	c.ready.fix(f.index)
	c.remove(e)
}

// remove takes an entry out without charging for it.
func (c *class) remove(e *entry) {
	f := e.flow
	f.items.remove(e.flowIndex)
	c.ages.remove(e.ageIndex)
	f.cost -= e.Cost
	c.cost -= e.Cost
	if f.items.Len() == 0 {
		c.leave(f)
	}
	if c.len() == 0 {
		c.reset()
	}
}

// leave removes an account that has nothing waiting any more.
func (c *class) leave(f *flow) {
	c.ready.remove(f.index)
	delete(c.flows, f.account)
	c.idle[f.account] = f.start
	if len(c.idle) <= maxIdle {
		return
	}
	for account, start := range c.idle {
		if start <= c.virtual {
			delete(c.idle, account)
		}
	}
	if len(c.idle) > maxIdle {
		clear(c.idle)
	}
}

// reset forgets past use: an empty class has nobody to be unfair to.
func (c *class) reset() {
	clear(c.idle)
	c.virtual = 0
	c.cost = 0
}

// ahead gives the work that would be served before an item: that of its own
// account with an earlier deadline, and what fair sharing gives the others in
// the meantime.
func (c *class) ahead(item Item) float64 {
	own := c.ownAhead(item)
	tag := c.startOf(item.Account) + own/float64(item.Weight)
	total := own
	for account, f := range c.flows {
		if account == item.Account || f.start > tag {
			continue
		}
		share := (tag-f.start)*f.weight + f.items.top().Cost
		total += min(f.cost, share)
	}
	return total
}

// ownAhead gives the work of the item's account with no later deadline.
func (c *class) ownAhead(item Item) float64 {
	f, ok := c.flows[item.Account]
	if !ok {
		return 0
	}
	total := 0.0
	for _, e := range f.items.items {
		if !item.Deadline.IsZero() && (e.Deadline.IsZero() || e.Deadline.After(item.Deadline)) {
			continue
		}
		total += e.Cost
	}
	return total
}

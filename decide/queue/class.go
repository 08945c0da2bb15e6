package queue

import (
	"time"

	"mimosaarch.example/core/ids"
)

// maxIdle is the maximum number of accounts without waiting requests whose start
// tag a class keeps.
const maxIdle = 1024

// class holds the items of one priority. It shares service between accounts by
// start-time fair queueing: serving an item raises the start tag of its account by
// cost/weight, and the account with the lowest start tag is served next.
type class struct {
	priority int
	flows    map[ids.Account]*flow
	// byStart orders the flows by start tag, byAge the entries by enqueue time.
	byStart indexedHeap[*flow]
	byAge   entryHeap
	// virtualTime is the highest start tag of the items served.
	virtualTime float64
	// idle holds the start tags of accounts that ran out of items, so that an
	// account gains nothing by leaving the queue and returning.
	idle map[ids.Account]float64
	// cost is the total cost of the waiting items.
	cost       float64
	lastServed time.Time
	// unservedSince is when the first item was added after the class was last served,
	// zero if none was. lastAdded is when the latest item was added. Both are used only
	// with Options.KeepAge.
	unservedSince, lastAdded time.Time
	// seq numbers the flows in the order in which they were added.
	seq uint64
}

// flow holds the waiting items of one account within a class.
type flow struct {
	account ids.Account
	weight  float64
	// start is the start tag of the next item.
	start float64
	// cost is the total cost of items.
	cost float64
	seq  uint64
	// index is the flow's position in class.byStart.
	index int
	// items is ordered by deadline.
	items entryHeap
}

// newClass returns an empty class.
func newClass(priority int) class {
	return class{
		priority: priority,
		flows:    make(map[ids.Account]*flow),
		byStart:  indexedHeap[*flow]{less: earlierStart, setIndex: func(f *flow, i int) { f.index = i }},
		byAge:    newEntryHeap(earlierEnqueued, setAgeIndex),
		idle:     make(map[ids.Account]float64),
	}
}

// earlierStart orders flows by start tag, then by the order in which they were
// added.
func earlierStart(a, b *flow) bool {
	if a.start == b.start {
		return a.seq < b.seq
	}
	return a.start < b.start
}

// len returns the number of waiting items.
func (c *class) len() int { return c.byAge.Len() }

// effectivePriority returns the priority of the class, raised by one for each step of
// time that an item has waited without the class being served. The class must not be
// empty.
func (c *class) effectivePriority(now time.Time, opts *Options) int {
	since := c.byAge.top().Enqueued
	if c.lastServed.After(since) {
		since = c.lastServed
	}
	if opts.KeepAge > 0 && !c.unservedSince.IsZero() && c.unservedSince.Before(since) {
		since = c.unservedSince
	}
	unserved := max(now.Sub(since), 0)
	return c.priority + int(unserved/opts.AgeStep)
}

// recordAdded updates unservedSince when an item is added.
func (c *class) recordAdded(now time.Time, keepAge time.Duration) {
	if c.unservedSince.IsZero() || c.len() == 0 && now.Sub(c.lastAdded) > keepAge {
		c.unservedSince = now
	}
	c.lastAdded = now
}

// head returns the entry to serve next. The class must not be empty.
func (c *class) head() *entry { return c.byStart.top().items.top() }

// startTag returns the start tag of an account, or the one it would get if it had
// items.
func (c *class) startTag(account ids.Account) float64 {
	if f, ok := c.flows[account]; ok {
		return f.start
	}
	return max(c.virtualTime, c.idle[account])
}

// add queues an entry.
func (c *class) add(e *entry) {
	f, ok := c.flows[e.Account]
	if !ok {
		f = c.addFlow(e.Account)
	}
	f.weight = float64(e.Weight)
	f.cost += e.Cost
	c.cost += e.Cost
	e.flow = f
	f.items.push(e)
	c.byAge.push(e)
}

// addFlow adds a flow for an account that has none.
func (c *class) addFlow(account ids.Account) *flow {
	c.seq++
	f := &flow{
		account: account,
		start:   c.startTag(account),
		seq:     c.seq,
		items:   newEntryHeap(earlierDeadline, setFlowIndex),
	}
	delete(c.idle, account)
	c.flows[account] = f
	c.byStart.push(f)
	return f
}

// serve removes an entry and charges its cost to its account.
func (c *class) serve(now time.Time, e *entry) {
	f := e.flow
	c.lastServed = now
	c.unservedSince = time.Time{}
	c.virtualTime = max(c.virtualTime, f.start)
	f.start += e.Cost / f.weight
	c.byStart.fix(f.index)
	c.remove(e)
}

// remove removes an entry without charging its account.
func (c *class) remove(e *entry) {
	f := e.flow
	f.items.remove(e.flowIndex)
	c.byAge.remove(e.ageIndex)
	f.cost -= e.Cost
	c.cost -= e.Cost
	if f.items.Len() == 0 {
		c.removeFlow(f)
	}
	if c.len() == 0 {
		c.reset()
	}
}

// removeFlow removes the flow of an account without waiting items and keeps its
// start tag in idle. If idle is full, it drops the tags that have no effect any more,
// and all of them if that isn't enough.
func (c *class) removeFlow(f *flow) {
	c.byStart.remove(f.index)
	delete(c.flows, f.account)
	c.idle[f.account] = f.start
	if len(c.idle) <= maxIdle {
		return
	}
	for account, start := range c.idle {
		if start <= c.virtualTime {
			delete(c.idle, account)
		}
	}
	if len(c.idle) > maxIdle {
		clear(c.idle)
	}
}

// reset clears the start tags of an empty class: no account is left to compete
// with.
func (c *class) reset() {
	clear(c.idle)
	c.virtualTime = 0
	c.cost = 0
}

// workAhead returns the cost that would be served before an item: the items of its own
// account with no later deadline, and what fair sharing gives to the other accounts
// in the meantime.
func (c *class) workAhead(item Item) float64 {
	own := c.ownWorkAhead(item)
	tag := c.startTag(item.Account) + own/float64(item.Weight)
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

// ownWorkAhead returns the cost of the items of the item's account that have no later
// deadline.
func (c *class) ownWorkAhead(item Item) float64 {
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

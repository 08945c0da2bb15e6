package claim

// Counts tell what a Group did since it was made.
type Counts struct {
	// Reads and Writes are calls to the platform.
	Reads, Writes uint64
	// Conflicts, Lost and Failed count answers of those kinds.
	Conflicts, Lost, Failed uint64
	// Won, Taken, Refused and Uncertain count the ends of claims; Full is
	// the part of Refused for want of room in a shard.
	Won, Taken, Refused, Uncertain, Full uint64
	// Abandoned counts releases and settlements given up for newer ones.
	Abandoned uint64
	// Forwarded counts operations handed to other VMs. ForwardsDone,
	// ForwardsRefused and ForwardsSilent count what came of them.
	Forwarded, ForwardsDone, ForwardsRefused, ForwardsSilent uint64
	// Served counts operations taken from other VMs.
	Served uint64
}

// Sub gives what was added since earlier counts.
func (c Counts) Sub(earlier Counts) Counts {
	was, now := earlier.all(), c.all()
	for i, count := range now {
		*count.n -= *was[i].n
	}
	return c
}

// Each gives each count by a name in snake case, always in the same order.
func (c Counts) Each(visit func(name string, count uint64)) {
	for _, count := range c.all() {
		visit(count.name, *count.n)
	}
}

// named is a count of a Counts.
type named struct {
	name string
	n    *uint64
}

// all lists the counts.
func (c *Counts) all() []named {
	return []named{
		{"reads", &c.Reads},
		{"writes", &c.Writes},
		{"conflicts", &c.Conflicts},
		{"lost", &c.Lost},
		{"failed", &c.Failed},
		{"won", &c.Won},
		{"taken", &c.Taken},
		{"refused", &c.Refused},
		{"uncertain", &c.Uncertain},
		{"full", &c.Full},
		{"abandoned", &c.Abandoned},
		{"forwarded", &c.Forwarded},
		{"forwards_done", &c.ForwardsDone},
		{"forwards_refused", &c.ForwardsRefused},
		{"forwards_silent", &c.ForwardsSilent},
		{"served", &c.Served},
	}
}

// Counts tells what was done so far.
func (g *Group) Counts() Counts { return g.counts }

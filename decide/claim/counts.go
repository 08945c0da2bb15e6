package claim

// Counts are the counters of a Group since it was created.
type Counts struct {
	// Reads and Writes count calls to the platform.
	Reads, Writes uint64
	// Conflicts, Lost and Failed count the platform's answers of these kinds.
	Conflicts, Lost, Failed uint64
	// Won, Taken, Refused and Uncertain count the results of claims. Refused
	// counts failed claims; Full counts those of them that failed because the
	// shard's object had no room.
	Won, Taken, Refused, Uncertain, Full uint64
	// Abandoned counts background releases and settlements dropped to make room
	// for newer ones.
	Abandoned uint64
	// Forwarded counts operations forwarded to other VMs. Of these, ForwardsDone
	// were committed, ForwardsRefused were refused, and ForwardsSilent got no
	// answer in time.
	Forwarded, ForwardsDone, ForwardsRefused, ForwardsSilent uint64
	// Served counts operations accepted from other VMs.
	Served uint64
}

// Sub returns the increase of each counter since earlier.
func (c Counts) Sub(earlier Counts) Counts {
	before, after := earlier.all(), c.all()
	for i, count := range after {
		*count.n -= *before[i].n
	}
	return c
}

// Each calls visit with each counter and its name in snake case, always in the
// same order.
func (c Counts) Each(visit func(name string, count uint64)) {
	for _, count := range c.all() {
		visit(count.name, *count.n)
	}
}

// namedCount is a counter and its name.
type namedCount struct {
	name string
	n    *uint64
}

// all lists the counters.
func (c *Counts) all() []namedCount {
	return []namedCount{
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

// Counts returns the counters.
func (g *Group) Counts() Counts { return g.counts }

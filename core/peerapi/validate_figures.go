package peerapi

import (
	"math"
	"time"
)

// figures checks the figures and the base that came with them.
func (c *checker) figures(d *Digest) {
	if d.Figures == nil {
		if d.Base != 0 || d.BaseDigest != nil {
			c.fail("figures", "missing")
		}
		return
	}
	if d.Base == 0 || d.Base > d.Seq {
		c.fail("base", "not an earlier digest")
	}
	f := d.Figures
	c.size("figures.in_flight", len(f.InFlight), MaxUpstreams)
	c.size("figures.demands", len(f.Demands), MaxUsageEntries)
	c.size("figures.running", len(f.Running), MaxUpstreams)
	c.size("figures.report_ages", len(f.ReportAges), MaxUpstreams)
	c.size("figures.ages", len(f.Ages), MaxUpstreams)
	c.all("figures.in_flight", f.InFlight, 0)
	c.all("figures.running", f.Running, 0)
	c.ages("figures.report_ages", f.ReportAges, 0)
	c.ages("figures.ages", f.Ages, absent)
	for _, demand := range f.Demands {
		c.figure("figures.demands", demand)
	}
	c.base(d)
}

// all checks the lower bound of counts.
func (c *checker) all(field string, counts []int, bound int64) {
	for _, n := range counts {
		c.least(field, int64(n), bound)
	}
}

// maxAgeMs is the highest age that can be told, in milliseconds.
const maxAgeMs = math.MaxInt64 / int64(time.Millisecond)

// ages checks the bounds of ages.
func (c *checker) ages(field string, ages []int64, bound int64) {
	for _, age := range ages {
		c.least(field, age, bound)
		if age > maxAgeMs {
			c.fail(field, "too high")
		}
	}
}

// base checks the base that came with figures.
func (c *checker) base(d *Digest) {
	b := d.BaseDigest
	if c.err != nil || b == nil {
		return
	}
	if b.Base != 0 || b.Figures != nil || b.BaseDigest != nil || b.Seq != d.Base || b.VM != d.VM || b.Boot != d.Boot || b.Zone != d.Zone {
		c.fail("base_digest", "not the base of the digest")
		return
	}
	c.err = b.Validate()
}

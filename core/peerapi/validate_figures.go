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
	c.sizeAtMost("figures.in_flight", len(f.InFlight), MaxUpstreams)
	c.sizeAtMost("figures.demands", len(f.Demands), MaxUsageEntries)
	c.sizeAtMost("figures.running", len(f.Running), MaxUpstreams)
	c.sizeAtMost("figures.report_ages", len(f.ReportAges), MaxUpstreams)
	c.sizeAtMost("figures.ages", len(f.Ages), MaxUpstreams)
	c.eachAtLeast("figures.in_flight", f.InFlight, 0)
	c.eachAtLeast("figures.running", f.Running, 0)
	c.ages("figures.report_ages", f.ReportAges, 0)
	c.ages("figures.ages", f.Ages, ageAbsent)
	for _, demand := range f.Demands {
		c.finite("figures.demands", demand)
	}
	c.base(d)
}

// eachAtLeast checks a lower bound of each count.
func (c *checker) eachAtLeast(field string, counts []int, bound int64) {
	for _, n := range counts {
		c.atLeast(field, int64(n), bound)
	}
}

// maxAgeMs is the highest age that fits in a time.Duration.
const maxAgeMs = math.MaxInt64 / int64(time.Millisecond)

// ages checks the bounds of each age.
func (c *checker) ages(field string, ages []int64, bound int64) {
	for _, age := range ages {
		c.atLeast(field, age, bound)
		if age > maxAgeMs {
			c.fail(field, "too high")
		}
	}
}

// base checks that the base that came with the figures is a full, valid digest of
// the same sender.
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

package load

import "time"

// Counts is the load that the requests of one or more nodes put on an engine. All values
// are at least 0.
type Counts struct {
	// Streams is the number of streams whose chain the engine is part of.
	Streams int64
	// KiloTokenLayers is the KV cache of these streams: tokens times layers, in thousands.
	KiloTokenLayers int64
	// FirstStages is the number of streams whose first stage the engine is.
	FirstStages int64
	// Sends is the number of requests that the engine was sent within SendWindow, and
	// Refusals the number of those that it refused although it had capacity, or whose
	// connection it closed before it responded although it was alive.
	Sends, Refusals int64
}

// add adds the counts of o.
func (c *Counts) add(o Counts) {
	c.Streams += o.Streams
	c.KiloTokenLayers += o.KiloTokenLayers
	c.FirstStages += o.FirstStages
	c.Sends += o.Sends
	c.Refusals += o.Refusals
}

// subtract removes the counts of o, which were added before.
func (c *Counts) subtract(o Counts) {
	c.Streams -= o.Streams
	c.KiloTokenLayers -= o.KiloTokenLayers
	c.FirstStages -= o.FirstStages
	c.Sends -= o.Sends
	c.Refusals -= o.Refusals
}

const (
	// SendWindow is the time over which sends and refusals are counted.
	SendWindow = 2 * time.Second
	// sendBuckets is the number of parts of a SendWindow. A send is forgotten at most
	// one part early.
	sendBuckets = 8
	bucketTime  = SendWindow / sendBuckets
)

// SendHistory counts the sends to an engine, and its refusals, over SendWindow. The zero
// value has none.
type SendHistory struct {
	sends, refusals [sendBuckets]int32
	// latest is the number of the bucket that is being filled, counted in bucketTime.
	latest int64
}

// advance clears the buckets that began before the window that ends at now.
func (h *SendHistory) advance(now time.Time) {
	current := now.UnixNano() / int64(bucketTime)
	for b := max(h.latest+1, current-sendBuckets+1); b <= current; b++ {
		h.sends[b%sendBuckets], h.refusals[b%sendBuckets] = 0, 0
	}
	h.latest = max(h.latest, current)
}

// Sent counts a send.
func (h *SendHistory) Sent(now time.Time) {
	h.advance(now)
	h.sends[h.latest%sendBuckets]++
}

// Refused counts a refusal that was not for lack of capacity.
func (h *SendHistory) Refused(now time.Time) {
	h.advance(now)
	h.refusals[h.latest%sendBuckets]++
}

// Totals returns the numbers of sends and refusals in the window that ends at now.
func (h *SendHistory) Totals(now time.Time) (sends, refusals int64) {
	h.advance(now)
	for i := range sendBuckets {
		sends += int64(h.sends[i])
		refusals += int64(h.refusals[i])
	}
	return sends, refusals
}

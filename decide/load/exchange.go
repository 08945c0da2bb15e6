package load

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// EngineCounts are a node's own counts of one engine.
type EngineCounts struct {
	ID     ids.Instance
	Counts Counts
}

// Output takes what an Exchange decides. Its arguments are valid during the call only.
type Output interface {
	// SendCounts sends a node's counts to a collector, SendSums sums from a collector.
	SendCounts(to ids.VM, payload []byte)
	SendSums(to ids.VM, payload []byte)
	// Apply passes sums on to the node's View.
	Apply(s *Sums)
}

// DropError reports a message that was dropped although it could be decoded.
type DropError struct {
	// Reason is one of "disabled", "unlisted" (the sender is not in the list of nodes), "zone"
	// (the sender is in a zone from which no such message comes), "shards" (the sender has
	// another number of shards) and "old".
	Reason string
}

// Error implements error.
func (e *DropError) Error() string { return "load message dropped: " + e.Reason }

// Reasons of dropped messages.
var (
	errDisabled = &DropError{"disabled"}
	errUnlisted = &DropError{"unlisted"}
	errZone     = &DropError{"zone"}
	errShards   = &DropError{"shards"}
	errOld      = &DropError{"old"}
)

// sentRounds is the number of rounds whose times are kept. They cover more than MaxAge.
const sentRounds = 8

// Limits on the bytes of sums. At 390 nodes and 3,100 engines the sums of all engines would
// take 62 KB per second for each node, and a node may spend 16 KB per second on control.
const (
	// answerBytesPerS is for the answers of all collectors to one node.
	answerBytesPerS = 5000
	// zoneSumBytesPerS is for the sums of one shard that a collector sends to all other zones.
	zoneSumBytesPerS = 16000
	// minSumBytes is for some 28 engines. maxSequenceBytes is for all parts of a message.
	minSumBytes      = 300
	maxSequenceBytes = maxParts * MaxMessageBytes
)

// sumBytes returns the limit of each of n messages per round that share a rate.
func sumBytes(bytesPerS, n int) int {
	perRound := bytesPerS * int(RoundInterval/time.Millisecond) / 1000
	return min(max(perRound/max(n, 1), minSumBytes), maxSequenceBytes)
}

// zoneShard is a shard in a zone.
type zoneShard struct {
	zone  ids.Zone
	shard int
}

// zoneRanking is a ranking of the nodes as of one list.
type zoneRanking struct {
	ranking
	listing int
}

// answerState is what this node has received of the latest answer for a shard.
type answerState struct {
	from  ids.VM
	asked uint64
	parts uint8
}

// Exchange decides which messages a node sends about the load of engines, as a node and as a
// collector, and turns those that it receives into sums for the node's View. It is not safe
// for concurrent use and reads no clock.
type Exchange struct {
	self  Node
	start uint64
	// sequence numbers the rounds; sentAt holds their times, indexed by sequence modulo
	// sentRounds.
	sequence uint64
	sentAt   [sentRounds]time.Time

	nodes, minNodes int
	// zoneOf holds the nodes of the list, and byZone their names by zone, for zones in
	// ascending order. listing counts the lists.
	zoneOf   map[ids.VM]ids.Zone
	byZone   map[ids.Zone][]ids.VM
	zones    []ids.Zone
	listing  int
	rankings map[zoneShard]*zoneRanking

	index      *Index
	collectors []collector
	totals     totals
	answers    []answerState

	// Buffers that are reused: the node's own counts by shard, messages in both directions,
	// and the sums for the View.
	own      [][]slotCounts
	packer   packer
	received message
	sums     Sums
	unknown  int64
}

// NewExchange returns the Exchange of a node that knows no other node yet. start is the time
// at which the node started, in Unix milliseconds. Messages of an earlier start are dropped
// by those that have received a later one.
func NewExchange(self Node, start uint64) *Exchange {
	x := &Exchange{self: self, start: start, minNodes: MinNodes, rankings: make(map[zoneShard]*zoneRanking)}
	x.SetNodes(nil)
	x.SetIndex(NewIndex(nil, 1, self.Zone))
	return x
}

// SetNodes replaces the list of nodes. Messages of others are dropped.
func (x *Exchange) SetNodes(nodes []Node) {
	x.nodes = len(nodes)
	x.listing++
	x.zoneOf, x.byZone, x.zones = make(map[ids.VM]ids.Zone, len(nodes)), make(map[ids.Zone][]ids.VM), nil
	for _, n := range nodes {
		if x.byZone[n.Zone] == nil {
			x.zones = append(x.zones, n.Zone)
		}
		x.zoneOf[n.Name] = n.Zone
		x.byZone[n.Zone] = append(x.byZone[n.Zone], n.Name)
	}
	slices.Sort(x.zones)
	for key := range x.rankings {
		if x.byZone[key.zone] == nil {
			delete(x.rankings, key)
		}
	}
}

// SetIndex replaces the engines. The contributions of senders are kept if the number of
// shards is the same.
func (x *Exchange) SetIndex(ix *Index) {
	x.totals = totals{zone: make([]Counts, ix.Len()), others: make([]Counts, ix.Len())}
	if len(x.collectors) != ix.Shards() {
		clear(x.rankings)
		x.collectors = make([]collector, ix.Shards())
		x.answers, x.own = make([]answerState, ix.Shards()), make([][]slotCounts, ix.Shards())
	}
	for i := range x.collectors {
		if x.collectors[i].contributions == nil {
			x.collectors[i].contributions = make(map[ids.VM]*contribution)
		}
		x.collectors[i].moveTo(x.index, ix, &x.totals)
	}
	x.index = ix
}

// SetMinNodes sets the number of nodes from which on the load is exchanged, MinNodes if it is
// not called. All nodes of a fleet must have the same.
func (x *Exchange) SetMinNodes(nodes int) { x.minNodes = nodes }

// Enabled reports whether the fleet is large enough for the exchange.
func (x *Exchange) Enabled() bool { return x.nodes >= x.minNodes }

// Unknown returns the number of entries of messages so far whose engines are not in the
// Index.
func (x *Exchange) Unknown() int64 { return x.unknown }

// Collects reports whether nodes of its zone take this node for a collector.
func (x *Exchange) Collects() bool {
	return slices.ContainsFunc(x.collectors, func(c collector) bool { return c.collects() })
}

// ranking returns the candidates for the collector of a shard in a zone.
func (x *Exchange) ranking(zone ids.Zone, shard int) ranking {
	key := zoneShard{zone, shard}
	r := x.rankings[key]
	if r == nil {
		r = &zoneRanking{}
		x.rankings[key] = r
	}
	if r.listing != x.listing {
		r.ranking, r.listing = newRanking(x.byZone[zone], shard, r.ranking), x.listing
	}
	return r.ranking
}

// Round sends the node's own counts to the collectors of its zone and, as a collector, its
// zone's sums to those of the other zones. It must be called once per RoundInterval. Engines
// without counts may be missing in own.
func (x *Exchange) Round(now time.Time, own []EngineCounts, out Output) {
	if !x.Enabled() {
		return
	}
	x.sequence++
	x.sentAt[x.sequence%sentRounds] = now
	x.splitOwn(own)
	for shard := range x.collectors {
		x.collectors[shard].expire(now, &x.totals)
		x.sendCounts(now, shard, out)
	}
	for shard := range x.collectors {
		if x.collectors[shard].collects() {
			x.sendZoneSums(now, shard, out)
		}
	}
}

// splitOwn distributes the node's own counts to the shards.
func (x *Exchange) splitOwn(own []EngineCounts) {
	for shard := range x.own {
		x.own[shard] = x.own[shard][:0]
	}
	for _, e := range own {
		slot, ok := x.index.byID[e.ID]
		if ok && e.Counts != (Counts{}) {
			shard := x.index.engines[slot].shard
			x.own[shard] = append(x.own[shard], slotCounts{slot, e.Counts})
		}
	}
}

// head returns the header of a message about a shard.
func (x *Exchange) head(kind messageType, shard int) header {
	return header{kind: kind, parts: 1, start: x.start, sequence: x.sequence, shards: len(x.collectors), shard: shard}
}

// sendCounts sends the node's own counts of a shard to the collector, or takes them itself
// if it is the collector.
func (x *Exchange) sendCounts(now time.Time, shard int, out Output) {
	var messages [][]byte
	x.ranking(x.self.Zone, shard).targets(now, x.self.Name, func(to ids.VM) {
		if to == x.self.Name {
			// While a node of higher rank is tried, its sums would lack those of the others.
			if messages == nil || x.collectors[shard].collects() {
				x.collectOwn(now, shard, out)
			}
			return
		}
		if messages == nil {
			messages = x.packOwn(shard)
		}
		for _, payload := range messages {
			out.SendCounts(to, payload)
		}
	})
}

// packOwn returns the messages with the node's own counts of a shard.
func (x *Exchange) packOwn(shard int) [][]byte {
	h := x.head(nodeCounts, shard)
	x.packer.begin(&h, maxSequenceBytes)
	complete := true
	for _, e := range x.own[shard] {
		complete = complete && x.packer.add(x.index.engines[e.slot].hash, e.counts)
	}
	return x.packer.finish(complete)
}

// collectOwn adds the node's own counts of a shard to its sums as the collector, and passes
// the sums over the others to its View.
func (x *Exchange) collectOwn(now time.Time, shard int, out Output) {
	c := &x.collectors[shard]
	h := x.head(nodeCounts, shard)
	h.complete = true
	if k := c.begin(now, x.self.Name, &h, &x.totals); k != nil {
		k.entries = append(k.entries, x.own[shard]...)
		x.totals.add(k)
	}
	s := x.beginSums(shard, now)
	s.heard, s.oldest = c.heard(now, x.self.Name, false)
	s.complete = c.isWhole()
	x.withoutSender(shard, x.self.Name, func() {
		for slot := x.index.begin[shard]; slot < x.index.begin[shard+1]; slot++ {
			if sum := x.totals.all(slot); sum != (Counts{}) {
				s.entries = append(s.entries, slotCounts{int32(slot), sum})
			}
		}
	})
	out.Apply(s)
}

// beginSums returns the reused Sums, empty.
func (x *Exchange) beginSums(shard int, at time.Time) *Sums {
	x.sums = Sums{index: x.index, shard: shard, at: at, entries: x.sums.entries[:0]}
	return &x.sums
}

// withoutSender calls f while the contribution of a sender is not in the sums.
func (x *Exchange) withoutSender(shard int, sender ids.VM, f func()) {
	k := x.collectors[shard].contributions[sender]
	if k == nil {
		f()
		return
	}
	x.totals.remove(k)
	f()
	x.totals.add(k)
}

// sendZoneSums sends the sums over the nodes of the own zone to the collectors of the other
// zones.
func (x *Exchange) sendZoneSums(now time.Time, shard int, out Output) {
	h := x.head(zoneSums, shard)
	h.heard, h.oldest = x.collectors[shard].heard(now, "", true)
	for _, zone := range x.zones {
		if zone == x.self.Zone {
			continue
		}
		messages := x.packZoneSums(&h, zone)
		x.ranking(zone, shard).targets(now, x.self.Name, func(to ids.VM) {
			for _, payload := range messages {
				out.SendSums(to, payload)
			}
		})
	}
}

// packZoneSums returns the messages with the sums of a shard for another zone. The engines of
// that zone come first, then those of the own zone. Other zones hear more about the rest from
// the zones of those engines.
func (x *Exchange) packZoneSums(h *header, zone ids.Zone) [][]byte {
	x.packer.begin(h, sumBytes(zoneSumBytesPerS, len(x.zones)-1))
	begin, own, end := x.index.begin[h.shard], x.index.ownZoneEnd[h.shard], x.index.begin[h.shard+1]
	ofZone := func(slot int) bool { return x.index.engines[slot].Zone == zone }
	complete := x.addZoneSums(own, end, ofZone) && x.addZoneSums(begin, own, nil) &&
		x.addZoneSums(own, end, func(slot int) bool { return !ofZone(slot) })
	return x.packer.finish(complete && x.collectors[h.shard].isWhole())
}

// addZoneSums adds the sums over the own zone's nodes for the slots from begin to end that
// pass include, nil for all. It returns false if there is no room for all.
func (x *Exchange) addZoneSums(begin, end int, include func(slot int) bool) bool {
	for slot := begin; slot < end; slot++ {
		sum := x.totals.zone[slot]
		if sum != (Counts{}) && (include == nil || include(slot)) && !x.packer.add(x.index.engines[slot].hash, sum) {
			return false
		}
	}
	return true
}

// Receive applies a message of a node, and answers it if this node is its collector. The error
// is a *MessageError or a *DropError; the message then had no effect.
func (x *Exchange) Receive(now time.Time, from ids.VM, payload []byte, out Output) error {
	if !x.Enabled() {
		return errDisabled
	}
	zone, listed := x.zoneOf[from]
	if !listed || from == x.self.Name {
		return errUnlisted
	}
	m := &x.received
	if err := m.decode(payload); err != nil {
		return err
	}
	switch {
	case m.shards != len(x.collectors):
		return errShards
	case (zone == x.self.Zone) == (m.kind == zoneSums):
		return errZone
	case m.kind == othersSums:
		return x.receiveAnswer(now, from, out)
	case !x.collect(now, from):
		return errOld
	case m.kind == zoneSums:
		x.ranking(zone, m.shard).answered(from, x.self.Name)
	case m.part == m.parts-1:
		x.answer(now, from, out)
	}
	return nil
}

// collect adds the received message to the sums of its shard. It returns false if the message
// is older than the latest one of its sender.
func (x *Exchange) collect(now time.Time, from ids.VM) bool {
	m := &x.received
	k := x.collectors[m.shard].begin(now, from, &m.header, &x.totals)
	if k == nil {
		return false
	}
	sums := x.totals.of(k)
	for _, e := range m.entries {
		slot, ok := x.index.slot(e.hash, m.shard)
		if !ok {
			k.partial = true
			x.unknown++
			continue
		}
		k.entries = append(k.entries, slotCounts{slot, e.counts})
		sums[slot].add(e.counts)
	}
	return true
}

// answer sends the sums over all other nodes to a node whose counts have just been received.
func (x *Exchange) answer(now time.Time, to ids.VM, out Output) {
	m := &x.received
	x.collectors[m.shard].expire(now, &x.totals)
	h := x.head(othersSums, m.shard)
	h.heard, h.oldest = x.collectors[m.shard].heard(now, to, false)
	h.askedStart, h.asked = m.start, m.sequence
	x.packer.begin(&h, sumBytes(answerBytesPerS, len(x.collectors)))
	complete := false
	x.withoutSender(m.shard, to, func() { complete = x.addSums(x.collectors[m.shard].contributions[to], m.shard) })
	for _, payload := range x.packer.finish(complete && x.collectors[m.shard].isWhole()) {
		out.SendSums(to, payload)
	}
}

// addSums adds the sums of a shard to the messages for one sender: those of the engines in
// the own zone, and then those of the others. It returns false if there is no room for all.
func (x *Exchange) addSums(k *contribution, shard int) bool {
	own := x.index.ownZoneEnd[shard]
	return x.addSumsFrom(&k.resumeOwn, x.index.begin[shard], own) && x.addSumsFrom(&k.resumeOthers, own, x.index.begin[shard+1])
}

// addSumsFrom adds the sums of the slots from begin to end. It begins resume slots later and
// goes around. If there is no room for all it returns false, and resume is the place of the
// first one that is missing.
func (x *Exchange) addSumsFrom(resume *int, begin, end int) bool {
	n := end - begin
	for i := range n {
		place := (*resume + i) % n
		slot := begin + place
		if sum := x.totals.all(slot); sum != (Counts{}) && !x.packer.add(x.index.engines[slot].hash, sum) {
			*resume = place
			return false
		}
	}
	return true
}

// receiveAnswer passes the received answer of a collector on to the View. Answers of other
// nodes than the best collector that answers are ignored.
func (x *Exchange) receiveAnswer(now time.Time, from ids.VM, out Output) error {
	m := &x.received
	if m.askedStart != x.start || m.asked > x.sequence || x.sequence-m.asked >= sentRounds {
		return errOld
	}
	at := x.sentAt[m.asked%sentRounds]
	if now.Sub(at) >= MaxAge {
		return errOld
	}
	a := &x.answers[m.shard]
	switch {
	case a.from != from || m.asked > a.asked:
		*a = answerState{from: from, asked: m.asked}
	case m.asked < a.asked, a.parts&(1<<m.part) != 0:
		return errOld
	}
	a.parts |= 1 << m.part
	if !x.ranking(x.self.Zone, m.shard).answered(from, x.self.Name) {
		return nil
	}
	s := x.beginSums(m.shard, at)
	s.heard, s.oldest = m.heard, m.oldest
	s.complete = m.complete && a.parts == 1<<m.parts-1
	for _, e := range m.entries {
		if slot, ok := x.index.slot(e.hash, m.shard); ok {
			s.entries = append(s.entries, slotCounts{slot, e.counts})
		} else {
			x.unknown++
		}
	}
	out.Apply(s)
	return nil
}

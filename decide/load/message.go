package load

import (
	"encoding/binary"
	"fmt"
	"time"
)

// MaxMessageBytes is the size limit of a message, that of datagrams between nodes.
const MaxMessageBytes = 1200

// maxParts is the largest number of messages with the same sequence number.
const maxParts = 4

// messageType tells what a message contains.
type messageType byte

const (
	// nodeCounts are the counts of one node, for a collector of its zone.
	nodeCounts messageType = 1
	// othersSums answers nodeCounts with the sums over all other nodes.
	othersSums messageType = 2
	// zoneSums are the sums over the nodes of a zone, for a collector of another zone.
	zoneSums messageType = 3
)

// header is the head of a message. The first four bytes are the type, the number of the part,
// the number of parts, and flags. The rest is in varints.
type header struct {
	kind messageType
	// part is the number of the part, from 0, of parts with the same sequence number.
	part, parts int
	// complete is set if the parts together name every engine of the shard whose counts are
	// not zero.
	complete bool
	// start is the sender's start time in Unix milliseconds.
	start    uint64
	sequence uint64
	// shard is the number of the shard, of shards in all.
	shards, shard int
	// heard is the number of nodes in the sums, and oldest the age of the oldest
	// contribution, both 0 in nodeCounts.
	heard  int
	oldest time.Duration
	// askedStart and asked are the start time and the sequence number of the message that is
	// answered. They are only in othersSums.
	askedStart, asked uint64
}

// Positions of fixed bytes, and the flag of a complete message.
const (
	partByte, partsByte, flagsByte, fixedBytes = 1, 2, 3, 4

	completeFlag = 1
)

// Limits of values in messages. They keep sums far from overflow.
const (
	maxCount  = 1<<28 - 1
	maxHeard  = 1 << 16
	maxAgeMs  = 1 << 20
	hashBytes = 4
	// maxEntryBytes is the size of an entry whose five counts are maxCount.
	maxEntryBytes = hashBytes + 5*4
	// maxEntries is the number of entries of the smallest size in a message.
	maxEntries = MaxMessageBytes / (hashBytes + 5)
)

// append appends the encoded header to out.
func (h *header) append(out []byte) []byte {
	out = append(out, byte(h.kind), byte(h.part), byte(h.parts), 0)
	out = binary.AppendUvarint(out, h.start)
	out = binary.AppendUvarint(out, h.sequence)
	out = binary.AppendUvarint(out, uint64(h.shards))
	out = binary.AppendUvarint(out, uint64(h.shard))
	if h.kind == nodeCounts {
		return out
	}
	out = binary.AppendUvarint(out, uint64(min(h.heard, maxHeard)))
	out = binary.AppendUvarint(out, uint64(min(max(h.oldest.Milliseconds(), 0), maxAgeMs)))
	if h.kind == zoneSums {
		return out
	}
	out = binary.AppendUvarint(out, h.askedStart)
	return binary.AppendUvarint(out, h.asked)
}

// appendEntry appends the counts of one engine. Counts above maxCount are sent as maxCount.
func appendEntry(out []byte, hash uint32, c Counts) []byte {
	out = binary.BigEndian.AppendUint32(out, hash)
	out = binary.AppendUvarint(out, encodedCount(c.Streams))
	out = binary.AppendUvarint(out, encodedCount(c.KiloTokenLayers))
	out = binary.AppendUvarint(out, encodedCount(c.FirstStages))
	out = binary.AppendUvarint(out, encodedCount(c.Sends))
	return binary.AppendUvarint(out, encodedCount(c.Refusals))
}

// encodedCount returns a count within the limits of messages.
func encodedCount(n int64) uint64 { return uint64(min(max(n, 0), maxCount)) }

// packer distributes entries over the messages of one sequence number. It reuses its
// buffers.
type packer struct {
	buffers [maxParts][]byte
	used    int
	head    header
	// left is the number of bytes that the messages may still have together.
	left int
}

// begin starts messages with the given header, of at most limit bytes together, and at
// least one message.
func (p *packer) begin(h *header, limit int) {
	p.head, p.used, p.left = *h, 0, limit
	p.openPart()
}

// openPart starts the next message. It returns false if there is no room for another one.
func (p *packer) openPart() bool {
	if p.used == maxParts {
		return false
	}
	b := p.head.append(p.buffers[p.used][:0])
	p.buffers[p.used] = b
	p.left -= len(b)
	p.used++
	return true
}

// add adds the counts of one engine. It returns false if there is no room left.
func (p *packer) add(hash uint32, c Counts) bool {
	b := p.buffers[p.used-1]
	if p.left < maxEntryBytes {
		return false
	}
	if len(b)+maxEntryBytes > MaxMessageBytes {
		if !p.openPart() {
			return false
		}
		b = p.buffers[p.used-1]
	}
	after := appendEntry(b, hash, c)
	p.left -= len(after) - len(b)
	p.buffers[p.used-1] = after
	return true
}

// finish returns the messages, which are valid until the next call of begin.
func (p *packer) finish(complete bool) [][]byte {
	for i := range p.used {
		p.buffers[i][partByte], p.buffers[i][partsByte] = byte(i), byte(p.used)
		if complete {
			p.buffers[i][flagsByte] = completeFlag
		}
	}
	return p.buffers[:p.used]
}

// engineCounts are the counts of one engine in a message.
type engineCounts struct {
	hash   uint32
	counts Counts
}

// message is a decoded message. Its slice is reused by the next call of decode.
type message struct {
	header
	entries []engineCounts
}

// MessageError reports a message that cannot be decoded. It has no effect.
type MessageError struct {
	// Field is the value that is missing or out of range, and Offset the position in bytes
	// behind the last one that was read.
	Field  string
	Offset int
}

// Error implements error.
func (e *MessageError) Error() string {
	return fmt.Sprintf("load message: invalid %s at byte %d", e.Field, e.Offset)
}

// reader reads the values of a message one after another. After an error all further values
// are 0.
type reader struct {
	payload []byte
	offset  int
	err     *MessageError
}

// fail records the first error.
func (r *reader) fail(field string) {
	if r.err == nil {
		r.err = &MessageError{Field: field, Offset: r.offset}
	}
}

// uvarint reads a varint of at most limit.
func (r *reader) uvarint(field string, limit uint64) uint64 {
	if r.err != nil {
		return 0
	}
	v, n := binary.Uvarint(r.payload[r.offset:])
	if n <= 0 || v > limit {
		r.fail(field)
		return 0
	}
	r.offset += n
	return v
}

// count reads a count.
func (r *reader) count(field string) int64 { return int64(r.uvarint(field, maxCount)) }

// hash reads the hash of an engine.
func (r *reader) hash() uint32 {
	if r.err != nil || len(r.payload)-r.offset < hashBytes {
		r.fail("engine")
		return 0
	}
	r.offset += hashBytes
	return binary.BigEndian.Uint32(r.payload[r.offset-hashBytes:])
}

// noLimit allows every value.
const noLimit = 1<<64 - 1

// decode decodes a payload, which is not kept. The error is a *MessageError; the message is
// then not valid.
func (m *message) decode(payload []byte) error {
	r := &reader{payload: payload}
	m.header, m.entries = header{}, m.entries[:0]
	m.decodeHeader(r)
	for r.err == nil && r.offset < len(payload) {
		if len(m.entries) == maxEntries {
			r.fail("size")
			break
		}
		m.entries = append(m.entries, engineCounts{r.hash(), Counts{
			Streams: r.count("streams"), KiloTokenLayers: r.count("token_layers"), FirstStages: r.count("first_stages"),
			Sends: r.count("sends"), Refusals: r.count("refusals"),
		}})
	}
	if r.err != nil {
		return r.err
	}
	return nil
}

// decodeHeader reads the header.
func (m *message) decodeHeader(r *reader) {
	if len(r.payload) < fixedBytes || len(r.payload) > MaxMessageBytes {
		r.fail("size")
		return
	}
	m.kind = messageType(r.payload[0])
	m.part, m.parts = int(r.payload[partByte]), int(r.payload[partsByte])
	m.complete = r.payload[flagsByte]&completeFlag != 0
	r.offset = fixedBytes
	if m.kind < nodeCounts || m.kind > zoneSums {
		r.fail("type")
	}
	if m.parts < 1 || m.parts > maxParts || m.part >= m.parts {
		r.fail("part")
	}
	m.start, m.sequence = r.uvarint("start", noLimit), r.uvarint("sequence", noLimit)
	m.shards = int(r.uvarint("shards", maxShards))
	if m.shard = int(r.uvarint("shard", maxShards)); m.shard >= m.shards {
		r.fail("shard")
	}
	if m.kind == nodeCounts {
		return
	}
	m.heard = int(r.uvarint("nodes", maxHeard))
	m.oldest = time.Duration(r.uvarint("age", maxAgeMs)) * time.Millisecond
	if m.kind == othersSums {
		m.askedStart, m.asked = r.uvarint("asked_start", noLimit), r.uvarint("asked", noLimit)
	}
}

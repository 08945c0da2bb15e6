package claim

import (
	"encoding/binary"
	"math"
	"time"
)

// reader decodes parts of encoded data in order. After a missing or malformed
// part, malformed is true and all further parts are zero.
type reader struct {
	data      []byte
	malformed bool
}

// markMalformed records that a part is missing or malformed.
func (r *reader) markMalformed() {
	r.malformed = true
	r.data = nil
}

// uvarint decodes an unsigned varint.
func (r *reader) uvarint() uint64 {
	n, used := binary.Uvarint(r.data)
	if used <= 0 {
		r.markMalformed()
		return 0
	}
	r.data = r.data[used:]
	return n
}

// count decodes a number of parts of at least one byte each, so it cannot exceed
// the number of remaining bytes.
func (r *reader) count() int {
	n := r.uvarint()
	if n > uint64(len(r.data)) {
		r.markMalformed()
		return 0
	}
	return int(n)
}

// bytes decodes a length and that many bytes. The result aliases the data.
func (r *reader) bytes() []byte {
	n := r.count()
	text := r.data[:n]
	r.data = r.data[n:]
	return text
}

// readInto fills a slice with the next bytes.
func (r *reader) readInto(into []byte) {
	if len(r.data) < len(into) {
		r.markMalformed()
		return
	}
	r.data = r.data[copy(into, r.data):]
}

// seconds decodes a duration in seconds.
func (r *reader) seconds() time.Duration {
	return time.Duration(min(r.uvarint(), math.MaxInt32)) * time.Second
}

// internedString decodes an index and returns the interned string at that index.
func (r *reader) internedString(names []string) string {
	place := r.uvarint()
	if place >= uint64(len(names)) {
		r.markMalformed()
		return ""
	}
	return names[place]
}

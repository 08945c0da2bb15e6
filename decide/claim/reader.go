package claim

import (
	"encoding/binary"
	"math"
	"time"
)

// reader takes parts off encoded data. Once one is missing, short stays true
// and all further parts are zero.
type reader struct {
	data  []byte
	short bool
}

// fail notes that a part is missing or wrong.
func (r *reader) fail() {
	r.short = true
	r.data = nil
}

// number takes a number.
func (r *reader) number() uint64 {
	n, used := binary.Uvarint(r.data)
	if used <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[used:]
	return n
}

// count takes a count of parts, each of which has at least one byte.
func (r *reader) count() int {
	n := r.number()
	if n > uint64(len(r.data)) {
		r.fail()
		return 0
	}
	return int(n)
}

// text takes a text, which is valid as long as the data.
func (r *reader) text() []byte {
	n := r.count()
	text := r.data[:n]
	r.data = r.data[n:]
	return text
}

// fill takes as many bytes as fit.
func (r *reader) fill(into []byte) {
	if len(r.data) < len(into) {
		r.fail()
		return
	}
	r.data = r.data[copy(into, r.data):]
}

// seconds takes a time.
func (r *reader) seconds() time.Duration {
	return time.Duration(min(r.number(), math.MaxInt32)) * time.Second
}

// name takes the place of a name and gives the name.
func (r *reader) name(names []string) string {
	place := r.number()
	if place >= uint64(len(names)) {
		r.fail()
		return ""
	}
	return names[place]
}

// Package segment holds bytes in pieces, so that a buffer grows with the bytes that arrive and
// without copies of those that it has.
package segment

import "io"

const (
	// firstBytes is the size of the first piece, maxBytes that of the largest ones. Each piece is
	// at most twice as large as the one before.
	firstBytes = 4 << 10
	maxBytes   = 32 << 10
)

// Buffer is a sequence of bytes. The zero value is empty. It must be used by one goroutine at a
// time, but Parts may be read by several once it does not grow any more.
type Buffer struct {
	parts [][]byte
	size  int
	held  int64
}

// Len returns the number of bytes.
func (b *Buffer) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Held returns the size of the memory of the pieces, in bytes.
func (b *Buffer) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held
}

// Parts returns the pieces in order. They must not be changed.
func (b *Buffer) Parts() [][]byte {
	if b == nil {
		return nil
	}
	return b.parts
}

// AppendTo appends the bytes to out.
func (b *Buffer) AppendTo(out []byte) []byte {
	for _, part := range b.Parts() {
		out = append(out, part...)
	}
	return out
}

// Fill reads once from r, at most limit bytes. reserve is called with the size of a new piece
// before it is allocated; its error ends the call. The result is that of r.
func (b *Buffer) Fill(r io.Reader, limit int, reserve func(n int64) error) (int, error) {
	room, err := b.room(limit, reserve)
	if err != nil {
		return 0, err
	}
	n, err := r.Read(room[:min(len(room), limit)])
	last := len(b.parts) - 1
	b.parts[last] = b.parts[last][:len(b.parts[last])+n]
	b.size += n
	return n, err
}

// room returns the free part of the last piece. If there is none, it adds a piece of at most limit
// bytes.
func (b *Buffer) room(limit int, reserve func(n int64) error) ([]byte, error) {
	size := firstBytes
	if last := len(b.parts) - 1; last >= 0 {
		part := b.parts[last]
		if len(part) < cap(part) {
			return part[len(part):cap(part)], nil
		}
		size = min(2*cap(part), maxBytes)
	}
	size = max(min(size, limit), 1)
	if err := reserve(int64(size)); err != nil {
		return nil, err
	}
	b.parts = append(b.parts, make([]byte, 0, size))
	b.held += int64(size)
	return b.parts[len(b.parts)-1][:size], nil
}

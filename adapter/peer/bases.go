package peer

import (
	"fmt"
	"sync"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
)

// ownState is what the node last told of itself. It is not changed once made.
type ownState struct {
	// digest is whole; update tells it against base.
	digest, update peerapi.Digest
	// base is an earlier digest, or this one.
	base *peerapi.Digest
}

// When a digest becomes the base of those after it.
const (
	// baseRounds is how many rounds a base serves.
	baseRounds = 240
	// besideLeast and besidePart bound what may stand beside the figures: this
	// many entries, and one of besidePart of the entries.
	besideLeast = 8
	besidePart  = 4
)

// newOwnState takes the digest of a round, by the base of the last where that
// still serves.
func newOwnState(digest peerapi.Digest, last *ownState) *ownState {
	out := &ownState{digest: digest, base: last.base}
	if out.base != nil && digest.Seq-out.base.Seq < baseRounds {
		out.update = digest.Delta(out.base)
		if entries(&out.update) <= besideLeast+entries(&digest)/besidePart {
			return out
		}
	}
	out.base = &out.digest
	out.update = digest.Delta(out.base)
	return out
}

// entries counts the parts of a digest that figures can stand for.
func entries(d *peerapi.Digest) int { return len(d.InFlight) + len(d.Usage) + len(d.Loads) }

// to gives the digest for a peer that holds the base of the given Seq; 0 means
// none.
func (s *ownState) to(have uint64) peerapi.Digest {
	if have == 0 || s.base == nil {
		return s.digest
	}
	out := s.update
	if have != s.base.Seq {
		out.BaseDigest = s.base
	}
	return out
}

// maxBases bounds the peers whose base is kept.
const maxBases = 1024

// bases holds the whole digest of each peer that its next may refer to. Any goroutine may use it.
type bases struct {
	mu   sync.Mutex
	byVM map[ids.VM]peerapi.Digest
}

func newBases() *bases { return &bases{byVM: make(map[ids.VM]peerapi.Digest)} }

// unknownBaseError refuses a digest whose base is not held.
type unknownBaseError struct {
	VM   ids.VM
	Base uint64
}

// Error implements error.
func (e *unknownBaseError) Error() string {
	return fmt.Sprintf("digest %d of %s, the base of this one, is not held", e.Base, e.VM)
}

// whole gives a peer's digest as a whole one, and keeps a new base. The error
// is an *unknownBaseError or a *peerapi.InvalidError. The digest must be valid.
func (b *bases) whole(d peerapi.Digest) (peerapi.Digest, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.Base == 0 {
		b.keep(d)
		return d, nil
	}
	if d.BaseDigest != nil {
		b.keep(*d.BaseDigest)
	}
	base, held := b.byVM[d.VM]
	if !held || base.Boot != d.Boot || base.Seq != d.Base {
		return d, &unknownBaseError{VM: d.VM, Base: d.Base}
	}
	return d.Expand(&base)
}

// keep notes a base in place of the one held, which may be the newer: the
// sender refers to the base that it sent last. Where there is no room another
// peer's is dropped; that peer then sends it again.
func (b *bases) keep(d peerapi.Digest) {
	if _, known := b.byVM[d.VM]; !known && len(b.byVM) >= maxBases {
		for vm := range b.byVM {
			delete(b.byVM, vm)
			break
		}
	}
	b.byVM[d.VM] = d
}

// of gives the Seq of the base held of a boot of a peer; 0 means none.
func (b *bases) of(vm ids.VM, boot string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if base, held := b.byVM[vm]; held && base.Boot == boot {
		return base.Seq
	}
	return 0
}

package peer

import (
	"fmt"
	"sync"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
)

// localDigest is the newest digest of this node, in full and as a delta. It is
// immutable.
type localDigest struct {
	// digest is the full digest. delta is the same digest relative to base.
	digest, delta peerapi.Digest
	// base is the full digest that delta refers to: an earlier digest or this
	// one. It is nil before the first round.
	base *peerapi.Digest
}

// Rules for when a digest becomes the base of the digests after it.
const (
	// maxBaseRounds is the number of rounds after which a base is replaced.
	maxBaseRounds = 240
	// A delta holds in full the entries that its base lacks. If it holds more
	// of them than deltaSlackEntries plus a deltaEntriesDivisor-th of the
	// digest's entries, the digest becomes a new base.
	deltaSlackEntries   = 8
	deltaEntriesDivisor = 4
)

// newLocalDigest returns the digest of a round together with its delta. It
// keeps the base of the last round as long as that base is recent and the delta
// is small.
func newLocalDigest(digest peerapi.Digest, last *localDigest) *localDigest {
	out := &localDigest{digest: digest, base: last.base}
	if out.base != nil && digest.Seq-out.base.Seq < maxBaseRounds {
		out.delta = digest.Delta(out.base)
		if countEntries(&out.delta) <= deltaSlackEntries+countEntries(&digest)/deltaEntriesDivisor {
			return out
		}
	}
	out.base = &out.digest
	out.delta = digest.Delta(out.base)
	return out
}

// countEntries counts the entries of a digest that a delta can replace by
// figures.
func countEntries(d *peerapi.Digest) int { return len(d.InFlight) + len(d.Usage) + len(d.Loads) }

// forPeer returns the digest to send to a peer that holds the base with the
// sequence number heldSeq: the full digest if heldSeq is 0, the delta if the
// peer holds the current base, otherwise the delta together with its base.
func (s *localDigest) forPeer(heldSeq uint64) peerapi.Digest {
	if heldSeq == 0 || s.base == nil {
		return s.digest
	}
	out := s.delta
	if heldSeq != s.base.Seq {
		out.BaseDigest = s.base
	}
	return out
}

// maxBases is the number of peers whose base is kept.
const maxBases = 1024

// baseStore holds, for each peer, the full digest that its next delta may refer
// to. It is safe for concurrent use.
type baseStore struct {
	mu   sync.Mutex
	byVM map[ids.VM]peerapi.Digest
}

func newBaseStore() *baseStore { return &baseStore{byVM: make(map[ids.VM]peerapi.Digest)} }

// unknownBaseError reports a delta whose base is not stored here.
type unknownBaseError struct {
	VM   ids.VM
	Base uint64
}

// Error implements error.
func (e *unknownBaseError) Error() string {
	return fmt.Sprintf("digest %d of %s, the base of this one, is not held", e.Base, e.VM)
}

// expand returns a peer's digest in full and stores any base that it carries. d
// must be valid. The error is an *unknownBaseError or a *peerapi.InvalidError.
func (b *baseStore) expand(d peerapi.Digest) (peerapi.Digest, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.Base == 0 {
		b.put(d)
		return d, nil
	}
	if d.BaseDigest != nil {
		b.put(*d.BaseDigest)
	}
	base, held := b.byVM[d.VM]
	if !held || base.Boot != d.Boot || base.Seq != d.Base {
		return d, &unknownBaseError{VM: d.VM, Base: d.Base}
	}
	return d.Expand(&base)
}

// put replaces the stored base of a peer, even by an older one, because the
// sender refers to the base that it sent last. If the store is full it drops
// another peer's base; that peer then sends its base again.
func (b *baseStore) put(d peerapi.Digest) {
	if _, known := b.byVM[d.VM]; !known && len(b.byVM) >= maxBases {
		for vm := range b.byVM {
			delete(b.byVM, vm)
			break
		}
	}
	b.byVM[d.VM] = d
}

// seqOf returns the sequence number of the base stored for a VM if that base is
// from the given boot, or 0.
func (b *baseStore) seqOf(vm ids.VM, boot string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if base, held := b.byVM[vm]; held && base.Boot == boot {
		return base.Seq
	}
	return 0
}

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// FingerprintOf returns the fingerprint of a request that consists of the given
// parts. It depends on the parts, their order and the boundaries between them.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

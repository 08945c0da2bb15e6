package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// FingerprintOf gives the fingerprint of a request with these parts, which is
// another if a part, their order or their borders differ.
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

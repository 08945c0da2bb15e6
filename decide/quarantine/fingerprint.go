package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"

	"mimosaarch.example/core/ids"
)

// partPrefix begins the fingerprints of parts of prompts.
const partPrefix = "part-"

// PartFingerprint returns the fingerprint that stands for all requests of a service whose
// prompts have a part.
func PartFingerprint(service ids.Service, part ids.PromptPart) Fingerprint {
	return partPrefix + FingerprintOf([]byte(service), []byte(part))
}

// IsPart reports whether the fingerprint stands for a part of prompts.
func (fp Fingerprint) IsPart() bool { return strings.HasPrefix(string(fp), partPrefix) }

// FingerprintOf returns the fingerprint of a request that consists of the given
// parts. It depends on the parts, their order and the boundaries between them.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, part := range parts {
		writePart(h, part)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// FingerprintOfBody is FingerprintOf with a body, which is given in pieces, as the last part. The
// boundaries between the pieces do not matter.
func FingerprintOfBody(body [][]byte, parts ...[]byte) Fingerprint {
	h := sha256.New()
	for _, part := range parts {
		writePart(h, part)
	}
	writePart(h, body...)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// writePart hashes one part, given in pieces, with its length.
func writePart(h hash.Hash, pieces ...[]byte) {
	length := 0
	for _, piece := range pieces {
		length += len(piece)
	}
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(length))
	h.Write(size[:])
	for _, piece := range pieces {
		h.Write(piece)
	}
}

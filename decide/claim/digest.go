package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"mimosaarch.example/decide/router"
)

const (
	digestBytes = 16
	nonceBytes  = 8
)

// digest stands for a key or a fingerprint: the first half of its SHA-256.
// Two keys with one digest would refuse a caller, so it is a cryptographic
// hash of 128 bits.
type digest [digestBytes]byte

// nonce stands for an operation's nonce. It has to differ only among the
// claims of one key.
type nonce [nonceBytes]byte

// digestOf hashes a text.
func digestOf(text string) digest {
	sum := sha256.Sum256([]byte(text))
	return digest(sum[:digestBytes])
}

// nonceOf hashes an operation's nonce.
func nonceOf(text string) nonce {
	sum := sha256.Sum256([]byte(text))
	return nonce(sum[:nonceBytes])
}

// keyOf names a claimed key within all shards.
func keyOf(record router.ClaimRecord) digest {
	return digestOf(string(record.Account) + "\x00" + record.Key)
}

// shard gives the shard of a key.
func (d digest) shard(shards int) int {
	return int(binary.BigEndian.Uint64(d[:]) % uint64(shards))
}

// String gives the hex form.
func (d digest) String() string { return hex.EncodeToString(d[:]) }

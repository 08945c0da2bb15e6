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

// digest is the first 16 bytes of the SHA-256 of a key or fingerprint. Two keys
// with the same digest would be treated as one and a caller would be refused,
// hence 128 bits of a cryptographic hash.
type digest [digestBytes]byte

// nonce is the hash of an operation's nonce. It only has to be unique among the
// claims of one key.
type nonce [nonceBytes]byte

// digestOf hashes a key or fingerprint.
func digestOf(text string) digest {
	sum := sha256.Sum256([]byte(text))
	return digest(sum[:digestBytes])
}

// nonceOf hashes the nonce of an operation.
func nonceOf(text string) nonce {
	sum := sha256.Sum256([]byte(text))
	return nonce(sum[:nonceBytes])
}

// keyOf returns the digest of the account and key of a record. It identifies the
// key across all shards.
func keyOf(record router.ClaimRecord) digest {
	return digestOf(string(record.Account) + "\x00" + record.Key)
}

// shard returns the shard of a key, given the number of shards.
func (d digest) shard(shards int) int {
	return int(binary.BigEndian.Uint64(d[:]) % uint64(shards))
}

// String returns the digest in hexadecimal.
func (d digest) String() string { return hex.EncodeToString(d[:]) }

// Package fnvhash provides the hash by which nodes agree on choices without talking to each
// other: equal texts give equal values on all nodes.
package fnvhash

// Parameters of the 64-bit FNV-1a hash.
const (
	offset = 14695981039346656037
	prime  = 1099511628211
)

// Sum returns the 64-bit FNV-1a hash of the concatenated texts.
func Sum(texts ...string) uint64 {
	h := uint64(offset)
	for _, text := range texts {
		for i := range len(text) {
			h = (h ^ uint64(text[i])) * prime
		}
	}
	return h
}

// mixingFactor is an odd factor that spreads the bits of a number.
const mixingFactor = 0x9e3779b97f4a7c15

// Fraction returns a number in [0, 1) that depends on all bits of v.
func Fraction(v uint64) float64 {
	v = (v ^ v>>31) * mixingFactor
	v = (v ^ v>>29) * mixingFactor
	return float64(v>>11) / (1 << 53)
}

// separator is between the two texts of a rank, so that their boundary counts.
const separator = "\x00"

// Rank returns the rendezvous hash of a node and a key, in [0, 1). The nodes with the highest
// ranks for a key are the same for all that know the same nodes, and change for few keys
// when a node joins or leaves.
func Rank(node, key string) float64 { return Fraction(Sum(node, separator, key)) }

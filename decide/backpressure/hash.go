package backpressure

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hash continues a 64-bit FNV-1a hash with a text.
func hash(h uint64, text string) uint64 {
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * fnvPrime
	}
	return h
}

// mixingFactor is an odd factor that spreads the bits of a number.
const mixingFactor = 0x9e3779b97f4a7c15

// fractionOf returns a number in [0, 1) that depends on all bits of v.
func fractionOf(v uint64) float64 {
	v = (v ^ v>>31) * mixingFactor
	v = (v ^ v>>29) * mixingFactor
	return float64(v>>11) / (1 << 53)
}

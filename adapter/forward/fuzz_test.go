package forward

import (
	"math"
	"testing"
)

// A parsed limit is a number that can be used in calculations.
func FuzzParseLimit(f *testing.F) {
	for _, value := range []string{"3.7", " 4 ", "", "-1", "NaN", "+Inf", "1e400", "0x1p3", "3,7", "1_000"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		limit, ok := parseLimit(value)
		if ok && (math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0) || !ok && limit != 0 {
			t.Errorf("%q: limit %v, ok %v", value, limit, ok)
		}
	})
}

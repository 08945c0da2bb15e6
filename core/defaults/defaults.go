// Package defaults fills in settings that are not set.
package defaults

import "time"

// Positive gives v, or def when v is not above zero: the rule of settings that
// are counts, sizes, parts or times.
func Positive[T int | float64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

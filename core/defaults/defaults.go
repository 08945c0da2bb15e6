// Package defaults replaces unset settings by their defaults.
package defaults

import "time"

// Positive returns v if it is positive and def otherwise. It is for settings where
// zero means unset and negative values make no sense: counts, sizes, fractions and
// durations.
func Positive[T int | int64 | float64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

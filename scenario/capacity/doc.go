// Package capacity holds the benchmarks that docs/CAPACITY.md takes its slopes
// from. It has no code besides them: run it with go test -bench.
package capacity

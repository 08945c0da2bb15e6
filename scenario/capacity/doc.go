// Package capacity holds the benchmarks behind docs/CAPACITY.md, which derives
// the cost of each additional peer, account and request from them. It contains
// nothing else; run it with go test -bench.
package capacity

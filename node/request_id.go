package node

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"mimosaarch.example/core/ids"
)

// bootIDBytes is the number of random bytes that distinguish restarts of a VM.
const bootIDBytes = 6

// requestIDGenerator returns a function that creates request IDs that are
// unique across VMs and restarts. An ID is the VM name, a random boot ID and a
// counter, joined by hyphens.
func requestIDGenerator(vm string) func() ids.Request {
	var boot [bootIDBytes]byte
	// Read never returns an error.
	_, _ = rand.Read(boot[:])
	prefix := vm + "-" + hex.EncodeToString(boot[:]) + "-"
	var count atomic.Uint64
	return func() ids.Request {
		return ids.Request(prefix + strconv.FormatUint(count.Add(1), 10))
	}
}

// randomSeed returns a seed for the router's random source.
func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

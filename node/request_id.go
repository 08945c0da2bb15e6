package node

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"mimosaarch.example/core/ids"
)

// bootIDBytes are the random bytes that tell one life of a VM from another.
const bootIDBytes = 6

// requestIDGenerator gives names that are unique across VMs and restarts: the VM,
// random bytes drawn once, and a count.
func requestIDGenerator(vm string) func() ids.Request {
	var boot [bootIDBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(boot[:])
	prefix := vm + "-" + hex.EncodeToString(boot[:]) + "-"
	var count atomic.Uint64
	return func() ids.Request {
		return ids.Request(prefix + strconv.FormatUint(count.Add(1), 10))
	}
}

// randomSeed draws the seed of the router's random source.
func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

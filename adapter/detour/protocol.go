// Package detour connects a node to upstreams that it cannot reach itself through another
// node that can. The other node connects to the upstream and passes bytes both ways. It does
// not read requests: which requests are sent, and what may follow a failed one, is decided
// by the node that has the caller. A connection passes one other node at most, since nodes
// connect for others over their own links only.
//
// A detour begins on the port on which nodes serve their peers, with the byte preface, which
// begins no JSON-RPC message. Then both sides send one message each, encoded like those. After
// an answer with the result connected, all bytes are the upstream's and its client's. Those of the
// upstream come in frames if both nodes know them.
package detour

import (
	"bufio"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/ids"
)

// preface is the first byte of a detour. A JSON-RPC message begins with its length, which is
// not 0, so a node that knows no detours closes the connection.
const preface = 0

// openRequest asks a node to connect to an upstream.
type openRequest struct {
	Upstream ids.Upstream `json:"upstream"`
	Address  string       `json:"address"`
	// TTLMs is the longest time in milliseconds for which the connection is needed.
	TTLMs int64 `json:"ttl_ms"`
	// Framed asks for the upstream's bytes in frames.
	Framed bool `json:"framed,omitempty"`
}

// result is the outcome of an openRequest.
type result string

const (
	// connected: what follows are bytes of the upstream.
	connected result = "connected"
	// refused: nothing listens at the upstream's address, although other upstreams accept
	// connections of the node that answers.
	refused result = "refused"
	// unreachable: the node could not connect.
	unreachable result = "unreachable"
	// unknown: no upstream with this address is in the node's directory.
	unknown result = "unknown"
	// busy: the node connects for others as often as it may.
	busy result = "busy"
)

// openAnswer answers an openRequest.
type openAnswer struct {
	Result result `json:"result"`
	// LinksLost is true if the node that answers has lost its own links to all upstreams.
	LinksLost bool `json:"links_lost,omitempty"`
	// Stopping is true if the node is about to stop.
	Stopping bool `json:"stopping,omitempty"`
	// Open is the number of connections that the node has open for others.
	Open int `json:"open,omitempty"`
	// Framed is true if the upstream's bytes come in frames. A node of an earlier release
	// sends them as they are.
	Framed bool `json:"framed,omitempty"`
	// EndChecked is true if the last frame is sent only after an orderly end, also where a write to
	// the upstream was told of a reset. A node of an earlier release asks its reads alone.
	EndChecked bool `json:"end_checked,omitempty"`
}

// codec encodes the messages.
var codec = jsonrpc2.VarintObjectCodec{}

// maxTTL is the longest time for which a connection through a node stays open.
const maxTTL = 2 * time.Minute

// headerBufferBytes is the size of the buffer from which a message is read.
const headerBufferBytes = 512

// newReader returns a reader of one message and the bytes after it.
func newReader(c interface{ Read([]byte) (int, error) }) *bufio.Reader {
	return bufio.NewReaderSize(c, headerBufferBytes)
}

package relay

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// largeMessage is the size from which on messages are decoded in turns. Other calls of peers are
// shorter, except for reports and verdicts about crashes.
const largeMessage = 1 << 10

// turns lets large messages be decoded one at a time. All nodes that lose runs when an
// engine crashes report it within a few milliseconds. Without turns, a request that becomes ready
// to run on a node with one core waits until all of these reports are decoded, since each has a
// goroutine of its own.
type turns struct{ mu sync.Mutex }

// do calls f when no other call runs, and lets other goroutines run before the next one. A nil
// turns only calls f.
func (t *turns) do(f func()) {
	if t == nil {
		f()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
	// Unlock would let the next turn follow at once, before goroutines that have waited for longer.
	runtime.Gosched()
}

// maxMessageBytes is the longest message that a node reads from a peer that calls it. Lists and
// configurations are in responses.
const maxMessageBytes = 8 << 20

// MessageTooLargeError is returned for a message of more than maxMessageBytes.
type MessageTooLargeError struct{ Size uint64 }

// Error implements error.
func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes, at most %d are read", e.Size, maxMessageBytes)
}

// turnCodec is the codec of jsonrpc2.VarintObjectCodec, with large messages decoded in turns.
type turnCodec struct {
	jsonrpc2.VarintObjectCodec
	turns *turns
}

// ReadObject implements jsonrpc2.ObjectCodec. A message is decoded once all of it has arrived, so
// a slow peer keeps no others waiting.
func (c turnCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return &MessageTooLargeError{Size: size}
	}
	message := io.LimitReader(stream, int64(size))
	if size < largeMessage {
		return json.NewDecoder(message).Decode(v)
	}
	data, err := io.ReadAll(message)
	if err != nil {
		return err
	}
	if uint64(len(data)) < size {
		return io.ErrUnexpectedEOF
	}
	c.turns.do(func() { err = json.Unmarshal(data, v) })
	return err
}

package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/klauspost/compress/flate"

	"mimosaarch.example/core/peerapi"
)

// codec frames messages by their length and compresses each. What was sent
// before on the connection, up to historySize, serves as the dictionary, so
// that a message much like the last costs little. Nothing but this history is
// kept between two messages. One codec serves one connection.
type codec struct {
	// wrote and read are the ends of the plain bytes of either direction. The
	// stream writes one message at a time and reads one at a time.
	wrote, read []byte
	// invalid is told of bytes that are no message; may be nil.
	invalid func()
}

// historySize is the most plain bytes that are kept for either direction.
const historySize = 4 << 10

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(stream io.Writer, v any) error {
	plain, err := marshal(v)
	if err != nil {
		return err
	}
	if len(plain) > peerapi.MaxMessageBytes {
		return &peerapi.OversizeError{Field: "message", Size: len(plain), Limit: peerapi.MaxMessageBytes}
	}
	var packed bytes.Buffer
	if err := flate.StatelessDeflate(&packed, plain, true, c.wrote); err != nil {
		return err
	}
	c.wrote = remember(c.wrote, plain)
	var head [binary.MaxVarintLen64]byte
	size := binary.PutUvarint(head[:], uint64(packed.Len()))
	if _, err := stream.Write(head[:size]); err != nil {
		return err
	}
	_, err = stream.Write(packed.Bytes())
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. A message above the bound,
// packed or plain, is refused with an *OversizeError before it is held.
func (c *codec) ReadObject(stream *bufio.Reader, v any) error {
	err := c.readObject(stream, v)
	if c.invalid != nil && outOfForm(err) {
		c.invalid()
	}
	return err
}

// outOfForm tells bytes that are no message from a connection that ended.
func outOfForm(err error) bool {
	var broken net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
	return err != nil && !ended && !errors.As(err, &broken)
}

// readObject reads one message.
func (c *codec) readObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > peerapi.MaxMessageBytes {
		return &peerapi.OversizeError{Field: "message", Size: int(min(size, maxInt)), Limit: peerapi.MaxMessageBytes}
	}
	plain, err := unpack(io.LimitReader(stream, int64(size)), c.read)
	if err != nil {
		return err
	}
	c.read = remember(c.read, plain)
	if own, ok := v.(json.Unmarshaler); ok {
		return own.UnmarshalJSON(plain)
	}
	return json.Unmarshal(plain, v)
}

// marshal encodes a value. Where the value does so itself its result is taken
// as it is, without a second pass over it.
func marshal(v any) ([]byte, error) {
	if own, ok := v.(json.Marshaler); ok {
		return own.MarshalJSON()
	}
	return json.Marshal(v)
}

// maxInt bounds the size that an OversizeError tells.
const maxInt = 1<<31 - 1

// inflaters holds idle decompressors.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// unpack decompresses one message, and takes all of packed.
func unpack(packed io.Reader, history []byte) ([]byte, error) {
	inflater := inflaters.Get().(io.Reader)
	defer inflaters.Put(inflater)
	source := bufio.NewReaderSize(packed, packedBuffer)
	if err := inflater.(flate.Resetter).Reset(source, history); err != nil {
		return nil, err
	}
	var plain bytes.Buffer
	n, err := plain.ReadFrom(io.LimitReader(inflater, peerapi.MaxMessageBytes+1))
	if err != nil {
		return nil, &peerapi.InvalidError{Field: "message", Detail: err.Error()}
	}
	if n > peerapi.MaxMessageBytes {
		return nil, &peerapi.OversizeError{Field: "message", Size: int(n), Limit: peerapi.MaxMessageBytes}
	}
	if rest, _ := io.Copy(io.Discard, source); rest > 0 {
		return nil, &peerapi.InvalidError{Field: "message", Detail: "bytes after its end"}
	}
	return plain.Bytes(), nil
}

// packedBuffer is how much of a packed message is read at once.
const packedBuffer = 512

// remember adds a message to a history and keeps its end.
func remember(history, plain []byte) []byte {
	if len(plain) >= historySize {
		return append(history[:0], plain[len(plain)-historySize:]...)
	}
	keep := min(len(history), historySize-len(plain))
	history = append(history[:0], history[len(history)-keep:]...)
	return append(history, plain...)
}

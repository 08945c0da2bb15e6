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

// codec frames each message by its length and compresses it. It uses the last
// historyBytes of plain text sent on the connection as the compression
// dictionary, so that a message similar to the previous ones takes few bytes.
// It keeps no other state between messages. One codec serves one connection.
type codec struct {
	// writeHistory and readHistory are the last plain bytes written and read.
	// They need no lock: the stream writes one message at a time and reads one
	// at a time.
	writeHistory, readHistory []byte
	// onMalformed is called for each message that cannot be decoded. It may be
	// nil.
	onMalformed func()
}

// historyBytes is the most plain bytes that are kept for each direction.
const historyBytes = 4 << 10

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(stream io.Writer, v any) error {
	plain, err := marshal(v)
	if err != nil {
		return err
	}
	if len(plain) > peerapi.MaxMessageBytes {
		return &peerapi.OversizeError{Field: "message", Size: len(plain), Limit: peerapi.MaxMessageBytes}
	}
	var compressed bytes.Buffer
	if err := flate.StatelessDeflate(&compressed, plain, true, c.writeHistory); err != nil {
		return err
	}
	c.writeHistory = appendHistory(c.writeHistory, plain)
	var head [binary.MaxVarintLen64]byte
	size := binary.PutUvarint(head[:], uint64(compressed.Len()))
	if _, err := stream.Write(head[:size]); err != nil {
		return err
	}
	_, err = stream.Write(compressed.Bytes())
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. It rejects a message above
// peerapi.MaxMessageBytes, compressed or plain, with an *OversizeError before it
// buffers the message whole.
func (c *codec) ReadObject(stream *bufio.Reader, v any) error {
	err := c.readObject(stream, v)
	if c.onMalformed != nil && isMalformed(err) {
		c.onMalformed()
	}
	return err
}

// isMalformed reports whether err is caused by invalid bytes rather than by the
// end or failure of the connection.
func isMalformed(err error) bool {
	var netErr net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
	return err != nil && !ended && !errors.As(err, &netErr)
}

// readObject reads and decodes one message.
func (c *codec) readObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > peerapi.MaxMessageBytes {
		return &peerapi.OversizeError{Field: "message", Size: int(min(size, maxReportedBytes)), Limit: peerapi.MaxMessageBytes}
	}
	plain, err := decompress(io.LimitReader(stream, int64(size)), c.readHistory)
	if err != nil {
		return err
	}
	c.readHistory = appendHistory(c.readHistory, plain)
	if own, ok := v.(json.Unmarshaler); ok {
		return own.UnmarshalJSON(plain)
	}
	return json.Unmarshal(plain, v)
}

// marshal encodes a value as JSON. It calls MarshalJSON directly where the
// value has it, because json.Marshal would parse and compact that result again.
func marshal(v any) ([]byte, error) {
	if own, ok := v.(json.Marshaler); ok {
		return own.MarshalJSON()
	}
	return json.Marshal(v)
}

// maxReportedBytes bounds the size in an OversizeError, so that it fits an int
// on any platform.
const maxReportedBytes = 1<<31 - 1

// inflaters pools decompressors.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// decompress decompresses one message with history as its dictionary. It reads
// compressed to its end and rejects trailing bytes.
func decompress(compressed io.Reader, history []byte) ([]byte, error) {
	inflater := inflaters.Get().(io.Reader)
	defer inflaters.Put(inflater)
	source := bufio.NewReaderSize(compressed, compressedReadBytes)
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
	if trailing, _ := io.Copy(io.Discard, source); trailing > 0 {
		return nil, &peerapi.InvalidError{Field: "message", Detail: "bytes after its end"}
	}
	return plain.Bytes(), nil
}

// compressedReadBytes is the buffer size for reading a compressed message.
const compressedReadBytes = 512

// appendHistory appends a message to a history and keeps the last historyBytes.
func appendHistory(history, plain []byte) []byte {
	if len(plain) >= historyBytes {
		return append(history[:0], plain[len(plain)-historyBytes:]...)
	}
	keep := min(len(history), historyBytes-len(plain))
	history = append(history[:0], history[len(history)-keep:]...)
	return append(history, plain...)
}

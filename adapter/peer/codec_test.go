package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/klauspost/compress/flate"

	"mimosaarch.example/core/peerapi"
)

// frame returns plain compressed and framed as a message on the wire.
func frame(t *testing.T, plain []byte) []byte {
	t.Helper()
	var body bytes.Buffer
	if err := flate.StatelessDeflate(&body, plain, true, nil); err != nil {
		t.Fatal(err)
	}
	return append(binary.AppendUvarint(nil, uint64(body.Len())), body.Bytes()...)
}

func TestCodecCompressesWithHistory(t *testing.T) {
	var wire bytes.Buffer
	writer, reader := new(codec), new(codec)
	stream := bufio.NewReader(&wire)
	sizes := []int{100, 3, historyBytes - 1, historyBytes, 3 * historyBytes, 100}
	for i, size := range sizes {
		text := strings.Repeat("0123456789abcdef ", size)[:size]
		for range 2 {
			if err := writer.WriteObject(&wire, text); err != nil {
				t.Fatal(err)
			}
			var got string
			if err := reader.ReadObject(stream, &got); err != nil || got != text {
				t.Fatalf("message %d: %d bytes, %v", i, len(got), err)
			}
			if len(writer.writeHistory) > historyBytes || !bytes.Equal(writer.writeHistory, reader.readHistory) {
				t.Fatalf("message %d: histories of %d and %d bytes", i, len(writer.writeHistory), len(reader.readHistory))
			}
		}
	}
	message, err := json.Marshal(testDigest(1))
	if err != nil {
		t.Fatal(err)
	}
	alone := len(frame(t, message))
	_ = writer.WriteObject(&wire, json.RawMessage(message))
	wire.Reset()
	_ = writer.WriteObject(&wire, json.RawMessage(message))
	if wire.Len()*4 > alone {
		t.Fatalf("a repeated message takes %d bytes of %d", wire.Len(), alone)
	}
}

func TestCodecRefuses(t *testing.T) {
	spaces := bytes.Repeat([]byte(" "), peerapi.MaxMessageBytes+1)
	bomb := frame(t, bytes.Repeat(spaces, 4))
	if len(bomb) > peerapi.MaxMessageBytes/100 {
		t.Fatalf("the bomb has %d bytes", len(bomb))
	}
	var oversize *peerapi.OversizeError
	var invalid *peerapi.InvalidError
	// The decoder must stop one byte above the limit.
	if err := read(bomb); !errors.As(err, &oversize) || oversize.Size != peerapi.MaxMessageBytes+1 {
		t.Errorf("bomb: %v", err)
	}
	if err := read(frame(t, spaces[1:])); errors.As(err, &oversize) {
		t.Errorf("at the bound: %v", err)
	}
	if err := read([]byte{3, 0xff, 0xff, 0xff}); !errors.As(err, &invalid) {
		t.Errorf("no deflate: %v", err)
	}
	good := frame(t, []byte("1"))
	trailing := append([]byte{good[0] + 1}, append(bytes.Clone(good[1:]), 0)...)
	if err := read(trailing); !errors.As(err, &invalid) {
		t.Errorf("trailing byte: %v", err)
	}
	if err := read(good); err != nil {
		t.Errorf("good: %v", err)
	}
	if err := new(codec).WriteObject(new(bytes.Buffer), json.RawMessage(spaces)); err == nil {
		t.Error("an oversized message was written")
	}
}

// read decodes one framed message.
func read(message []byte) error {
	return new(codec).ReadObject(bufio.NewReader(bytes.NewReader(message)), new(any))
}

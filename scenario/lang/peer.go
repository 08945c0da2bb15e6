package lang

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"mimosaarch.example/core/peerapi"
)

// message is the command "message ADDRESS FORM FILE". It sends a message to the
// peer port of a node. The form bytes sends the file unchanged, and oversize
// sends a length prefix above the limit; for both the node must close the
// connection without an answer. The form packed sends the file as a valid frame,
// which the node must answer; the answer is printed to stdout.
func message(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: message address bytes|oversize|packed file")
	}
	text := []byte(ts.ReadFile(args[2]))
	switch args[1] {
	case "bytes":
		ts.Check(expectClose(args[0], text))
	case "oversize":
		ts.Check(expectClose(args[0], binary.AppendUvarint(nil, peerapi.MaxMessageBytes+1)))
	case "packed":
		reply, err := callPeer(args[0], text)
		ts.Check(err)
		_, err = fmt.Fprintf(ts.Stdout(), "%s\n", reply)
		ts.Check(err)
	default:
		ts.Fatalf("unknown form %q", args[1])
	}
}

// dialPeer connects to the peer port of a node, with maxWait for all reads and
// writes together.
func dialPeer(address string) (net.Conn, error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(maxWait))
}

// expectClose sends bytes and waits for the node to close the connection. It
// returns an error if the node answers or keeps the connection open.
func expectClose(address string, data []byte) error {
	conn, err := dialPeer(address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(data); err != nil {
		return err
	}
	got, err := io.ReadAll(conn)
	switch {
	case len(got) > 0:
		return mismatch("got an answer of %d bytes, want none", len(got))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	// The read ended with EOF, or with a connection reset because the node left
	// bytes unread.
	return nil
}

// callPeer sends a message in a frame and returns the decompressed message of
// the answering frame.
func callPeer(address string, text []byte) ([]byte, error) {
	conn, err := dialPeer(address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	frame, err := encodeFrame(text)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(frame); err != nil {
		return nil, err
	}
	return readFrame(conn)
}

// encodeFrame compresses a message and prefixes it with its compressed length as
// a varint.
func encodeFrame(text []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	_, _ = w.Write(text)
	if err := w.Close(); err != nil {
		return nil, err
	}
	return append(binary.AppendUvarint(nil, uint64(compressed.Len())), compressed.Bytes()...), nil
}

// readFrame reads the first frame on a connection and returns its decompressed
// message, which must be JSON. It can't read later frames, which are compressed
// with the earlier messages as their dictionary.
func readFrame(conn net.Conn) ([]byte, error) {
	var one [1]byte
	var prefix []byte
	for len(prefix) == 0 || prefix[len(prefix)-1]&0x80 != 0 {
		if _, err := io.ReadFull(conn, one[:]); err != nil {
			return nil, err
		}
		prefix = append(prefix, one[0])
	}
	size, _ := binary.Uvarint(prefix)
	text, err := io.ReadAll(flate.NewReader(io.LimitReader(conn, int64(size))))
	if err != nil {
		return nil, err
	}
	if !json.Valid(text) {
		return nil, mismatch("the answer is not JSON: %q", text)
	}
	return text, nil
}

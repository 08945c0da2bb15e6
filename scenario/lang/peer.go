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

// message is "message ADDRESS FORM FILE": it sends one message to a node as a
// peer would and prints what comes back. Forms: bytes, the file as it is;
// oversize, a head that tells of more bytes than are allowed; packed, the file
// as a well-formed frame. After bytes and oversize the node has to end the
// connection, and a packed one has to be answered.
func message(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: message address bytes|oversize|packed file")
	}
	text := []byte(ts.ReadFile(args[2]))
	switch args[1] {
	case "bytes":
		ts.Check(refusedBytes(args[0], text))
	case "oversize":
		ts.Check(refusedBytes(args[0], binary.AppendUvarint(nil, peerapi.MaxMessageBytes+1)))
	case "packed":
		reply, err := peerCall(args[0], text)
		ts.Check(err)
		_, err = fmt.Fprintf(ts.Stdout(), "%s\n", reply)
		ts.Check(err)
	default:
		ts.Fatalf("unknown form %q", args[1])
	}
}

// dialPeer connects as a peer would.
func dialPeer(address string) (net.Conn, error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(waitAtMost))
}

// refusedBytes sends bytes and waits for the node to end the connection without
// an answer.
func refusedBytes(address string, sent []byte) error {
	conn, err := dialPeer(address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(sent); err != nil {
		return err
	}
	got, err := io.ReadAll(conn)
	switch {
	case len(got) > 0:
		return mismatch("an answer of %d bytes", len(got))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	// The end, or a reset since bytes were left unread.
	return nil
}

// peerCall sends a frame and gives the plain text of the one that answers.
func peerCall(address string, text []byte) ([]byte, error) {
	conn, err := dialPeer(address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	frame, err := pack(text)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(frame); err != nil {
		return nil, err
	}
	return unpack(conn)
}

// pack frames a message.
func pack(text []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	_, _ = w.Write(text)
	if err := w.Close(); err != nil {
		return nil, err
	}
	return append(binary.AppendUvarint(nil, uint64(packed.Len())), packed.Bytes()...), nil
}

// unpack reads a frame, the first one of its direction.
func unpack(conn net.Conn) ([]byte, error) {
	var one [1]byte
	var head []byte
	for len(head) == 0 || head[len(head)-1]&0x80 != 0 {
		if _, err := io.ReadFull(conn, one[:]); err != nil {
			return nil, err
		}
		head = append(head, one[0])
	}
	size, _ := binary.Uvarint(head)
	plain, err := io.ReadAll(flate.NewReader(io.LimitReader(conn, int64(size))))
	if err != nil {
		return nil, err
	}
	if !json.Valid(plain) {
		return nil, mismatch("no JSON: %q", plain)
	}
	return plain, nil
}

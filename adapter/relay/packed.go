package relay

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"mimosaarch.example/decide/routing"
)

// Packed is a configuration as nodes send it to each other: compressed JSON. The sender
// encodes it once for all peers.
//
// Many nodes fetch the configuration from a few that have slow links. Uncompressed, one
// with a thousand routes would take seconds to reach all nodes.
type Packed []byte

// maxUnpackedBytes limits the size of an unpacked configuration. The platform's store
// accepts at most 1 MB.
const maxUnpackedBytes = 16 << 20

// Pack encodes and compresses a configuration.
func Pack(c *routing.Config) (Packed, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// UnpackError reports that a peer's configuration cannot be decoded.
type UnpackError struct{ Cause error }

// Error implements error.
func (e *UnpackError) Error() string { return "packed configuration: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnpackError) Unwrap() error { return e.Cause }

// Unpack decodes the configuration. The error is an *UnpackError.
func (p Packed) Unpack() (*routing.Config, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpackedBytes))
	if err != nil {
		return nil, &UnpackError{err}
	}
	var c routing.Config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, &UnpackError{err}
	}
	return &c, nil
}

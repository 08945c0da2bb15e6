package relay

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"mimosaarch.example/decide/routing"
)

// Packed is a configuration as it goes from node to node: its JSON, compressed. Its
// sender makes it once for all who ask.
//
// Many nodes ask the same few, whose links are thin: sent as it is, one with a thousand
// routes would take seconds to reach all.
type Packed []byte

// maxUnpacked bounds what a packed configuration may grow to, in bytes. The largest that
// the platform's store takes has one MB.
const maxUnpacked = 16 << 20

// Pack packs a configuration.
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

// UnpackError tells that a peer's configuration cannot be read.
type UnpackError struct{ Cause error }

// Error implements error.
func (e *UnpackError) Error() string { return "packed configuration: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *UnpackError) Unwrap() error { return e.Cause }

// Unpack gives the configuration. The error is an *UnpackError.
func (p Packed) Unpack() (*routing.Config, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpacked))
	if err != nil {
		return nil, &UnpackError{err}
	}
	var c routing.Config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, &UnpackError{err}
	}
	return &c, nil
}

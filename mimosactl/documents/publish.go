package documents

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/platformapi"
)

// Published is a document that was written.
type Published struct {
	Path    string `json:"path"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Change  string `json:"change"`
}

// AnyVersion, as expected version, stands for the one published when Publish
// begins.
const AnyVersion = -1

// changeBytes is the length of a change id's random part.
const changeBytes = 8

// NewChangeID draws a change id.
func NewChangeID() string {
	var b [changeBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Publish writes files in the order given, each under the condition that the
// published document is at the version expected: 0 means that none exists.
// The versions for AnyVersion are all read, and all files are encoded, before
// anything is written. change marks the documents and must be new.
//
// It stops at the first file that is not written, and gives those written
// before it. Errors: *InvalidFilesError, *FailedError, *ConflictError,
// *SupersededError, *UnsettledError.
func Publish(ctx context.Context, store platform.Store, files []File, expected int64, change string) ([]Published, error) {
	ready, err := encodeAll(files, change)
	if err != nil {
		return nil, err
	}
	versions, err := currentVersions(ctx, store, ready, expected)
	if err != nil {
		return nil, err
	}
	var out []Published
	for i, file := range ready {
		object, err := write(ctx, store, file, versions[i])
		if err != nil {
			return out, err
		}
		out = append(out, Published{Path: file.Path, Key: file.Key(), Version: object.Version, Change: change})
	}
	return out, nil
}

// encodeAll encodes every file, or lists what is wrong.
func encodeAll(files []File, change string) ([]encoded, error) {
	out := make([]encoded, 0, len(files))
	var faults []error
	for _, file := range files {
		e, err := encode(file, change)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		out = append(out, e)
	}
	if len(faults) > 0 {
		return nil, &InvalidFilesError{Errors: faults}
	}
	return out, nil
}

// currentVersions gives the version that each write is conditional on. The
// error is a *FailedError.
func currentVersions(ctx context.Context, store platform.Store, files []encoded, expected int64) ([]int64, error) {
	out := make([]int64, len(files))
	for i, file := range files {
		if expected != AnyVersion {
			out[i] = expected
			continue
		}
		version, err := versionOf(ctx, store, file.Key())
		if err != nil {
			return nil, &NotPublishedError{Key: file.Key(), Cause: err}
		}
		out[i] = version
	}
	return out, nil
}

// versionOf reads an object's version; 0 when there is none.
func versionOf(ctx context.Context, store platform.Store, key string) (int64, error) {
	object, err := store.Get(ctx, key)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	return object.Version, err
}

// write writes one file and tells what is known of it.
func write(ctx context.Context, store platform.Store, file encoded, ifMatch int64) (platformapi.Object, error) {
	isMine := func(value []byte) bool { return ChangeIDOf(value) == file.change }
	result := platform.PutAndVerify(ctx, store, file.Key(), file.value, ifMatch, isMine)
	key, current := file.Key(), result.Object
	switch result.Outcome {
	case platform.PutWritten:
		return current, nil
	case platform.PutConflict:
		return current, &ConflictError{Key: key, Expected: ifMatch, Current: current.Version, Change: ChangeIDOf(current.Value)}
	case platform.PutSuperseded:
		return current, &SupersededError{Key: key, Current: current.Version, Change: ChangeIDOf(current.Value)}
	case platform.PutUnknown:
		return current, &UnknownResultError{Key: key, Change: file.change, Cause: result.Err}
	default:
		return current, &NotPublishedError{Key: key, Cause: result.Err}
	}
}

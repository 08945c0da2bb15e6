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

// AnyVersion, as the expected version, means the version that is published when
// Publish starts.
const AnyVersion = -1

// changeIDBytes is the length of a change ID before hex encoding, in bytes.
const changeIDBytes = 8

// NewChangeID returns a random change ID.
func NewChangeID() string {
	var b [changeIDBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Publish writes files in the given order, each on condition that the published
// document has the expected version; 0 means that no document may exist. Before
// the first write, it encodes all files and reads the versions that AnyVersion
// stands for. The documents are marked with the change ID change, which must be
// unique: Publish uses it to recognize its own writes.
//
// It stops at the first file that is not written and returns the files written
// before. Errors: *InvalidFilesError, *NotPublishedError, *ConflictError,
// *SupersededError, *UnknownResultError.
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
		object, err := writeFile(ctx, store, file, versions[i])
		if err != nil {
			return out, err
		}
		out = append(out, Published{Path: file.Path, Key: file.Key(), Version: object.Version, Change: change})
	}
	return out, nil
}

// encodeAll encodes all files. The error is an *InvalidFilesError with all errors
// found.
func encodeAll(files []File, change string) ([]encodedFile, error) {
	out := make([]encodedFile, 0, len(files))
	var errs []error
	for _, file := range files {
		e, err := encodeFile(file, change)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		out = append(out, e)
	}
	if len(errs) > 0 {
		return nil, &InvalidFilesError{Errors: errs}
	}
	return out, nil
}

// currentVersions returns the version that each write is conditional on. The error
// is a *NotPublishedError.
func currentVersions(ctx context.Context, store platform.Store, files []encodedFile, expected int64) ([]int64, error) {
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

// versionOf returns an object's version; 0 if it does not exist.
func versionOf(ctx context.Context, store platform.Store, key string) (int64, error) {
	object, err := store.Get(ctx, key)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	return object.Version, err
}

// writeFile writes one file on condition that the object has version ifMatch. If
// the response is lost, it reads the object back to find the result.
func writeFile(ctx context.Context, store platform.Store, file encodedFile, ifMatch int64) (platformapi.Object, error) {
	hasChangeID := func(value []byte) bool { return ChangeIDOf(value) == file.change }
	result := platform.PutAndVerify(ctx, store, file.Key(), file.value, ifMatch, hasChangeID)
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

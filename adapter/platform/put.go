package platform

import (
	"context"
	"errors"
	"fmt"

	"mimosaarch.example/core/platformapi"
)

// PutOutcome is what PutAndVerify found out about a write.
type PutOutcome int

const (
	// PutWritten: the write took effect.
	PutWritten PutOutcome = iota
	// PutConflict: the write was refused because a newer object is stored.
	PutConflict
	// PutSuperseded: the response was lost, and a newer object of another writer is
	// stored. The write may have been stored before it, but can no longer take
	// effect.
	PutSuperseded
	// PutUnknown: the write may have taken effect or may still do so.
	PutUnknown
	// PutFailed: the write had no effect and will have none.
	PutFailed
)

// putOutcomeNames is indexed by PutOutcome.
var putOutcomeNames = [...]string{"written", "conflict", "superseded", "unknown", "failed"}

// String implements fmt.Stringer.
func (s PutOutcome) String() string {
	if s < 0 || int(s) >= len(putOutcomeNames) {
		return fmt.Sprintf("put_state(%d)", int(s))
	}
	return putOutcomeNames[s]
}

// PutResult is the result of PutAndVerify.
type PutResult struct {
	Outcome PutOutcome
	// Object is the written object after PutWritten, the newer one after
	// PutConflict and PutSuperseded, and zero otherwise.
	Object platformapi.Object
	// Err is the last error if Outcome is PutFailed or PutUnknown.
	Err error
}

// Store is the part of Client that PutAndVerify uses.
type Store interface {
	Get(ctx context.Context, key string) (platformapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error)
}

// maxPutAttempts limits how often PutAndVerify sends the write.
const maxPutAttempts = 3

// PutAndVerify writes an object if its version is ifMatch. If the response is lost,
// it reads the object back to find out whether the write took effect. isMine
// reports whether a value is the one written.
//
// While the object read back is still at version ifMatch, the lost write may yet
// arrive. PutAndVerify then sends it again with the same condition, so that at most
// one of the writes takes effect.
func PutAndVerify(ctx context.Context, store Store, key string, value []byte, ifMatch int64, isMine func(value []byte) bool) PutResult {
	lost := false
	var lastErr error
	for range maxPutAttempts {
		object, err := store.Put(ctx, key, value, ifMatch)
		if err == nil {
			return PutResult{Outcome: PutWritten, Object: object}
		}
		lastErr = err
		if current, ok := conflictingObject(ctx, store, key, err); ok {
			return resultFor(current, lost, isMine)
		}
		if !MayHaveTakenEffect(err) {
			break
		}
		lost = true
		object, err = store.Get(ctx, key)
		if err == nil && object.Version > ifMatch {
			return resultFor(object, lost, isMine)
		}
	}
	if lost {
		return PutResult{Outcome: PutUnknown, Err: lastErr}
	}
	return PutResult{Outcome: PutFailed, Err: lastErr}
}

// conflictingObject returns the object that made the platform refuse a write. It
// returns false if err is not a *ConflictError or the object could not be read.
func conflictingObject(ctx context.Context, store Store, key string, err error) (platformapi.Object, bool) {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return platformapi.Object{}, false
	}
	if conflict.Current.Version != UnknownVersion {
		return conflict.Current, true
	}
	object, err := store.Get(ctx, key)
	return object, err == nil
}

// resultFor returns the result of a write after which a newer object is stored.
// lost reports that a response was lost before.
func resultFor(current platformapi.Object, lost bool, isMine func(value []byte) bool) PutResult {
	switch {
	case !lost:
		return PutResult{Outcome: PutConflict, Object: current}
	case !current.Deleted && isMine(current.Value):
		return PutResult{Outcome: PutWritten, Object: current}
	}
	return PutResult{Outcome: PutSuperseded, Object: current}
}

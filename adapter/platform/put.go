package platform

import (
	"context"
	"errors"
	"fmt"

	"mimosaarch.example/core/platformapi"
)

// PutOutcome is what is known of a write.
type PutOutcome int

const (
	// PutWritten: the write took effect.
	PutWritten PutOutcome = iota
	// PutConflict: the write was refused, since a newer object stands.
	PutConflict
	// PutSuperseded: the answer was lost, and a newer object that is not
	// ours stands. Ours may have stood before it; it can't come back.
	PutSuperseded
	// PutUnknown: the write may stand, or may yet come to stand.
	PutUnknown
	// PutFailed: the write had no effect, and will have none.
	PutFailed
)

// putStateNames are indexed by PutState.
var putStateNames = [...]string{"written", "conflict", "superseded", "unknown", "failed"}

// String implements fmt.Stringer.
func (s PutOutcome) String() string {
	if s < 0 || int(s) >= len(putStateNames) {
		return fmt.Sprintf("put_state(%d)", int(s))
	}
	return putStateNames[s]
}

// PutResult is the outcome of PutKnown.
type PutResult struct {
	Outcome PutOutcome
	// Object is ours when written, the newer one on conflict or when
	// superseded; else zero.
	Object platformapi.Object
	// Err is the failure behind PutFailed and PutUnknown.
	Err error
}

// Store is the part of Client that settles writes.
type Store interface {
	Get(ctx context.Context, key string) (platformapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error)
}

// Tries of PutKnown after a lost answer.
const maxPutTries = 3

// PutAndVerify writes an object and settles a lost answer by reading it back.
// isMine tells whether a value is the one written. While the object read back
// is still at version ifMatch, the lost write may yet arrive: the write is
// then sent again under the same condition, which lets only one of them take
// effect.
func PutAndVerify(ctx context.Context, store Store, key string, value []byte, ifMatch int64, isMine func(value []byte) bool) PutResult {
	lost := false
	var last error
	for range maxPutTries {
		object, err := store.Put(ctx, key, value, ifMatch)
		if err == nil {
			return PutResult{Outcome: PutWritten, Object: object}
		}
		last = err
		if current, ok := currentOf(ctx, store, key, err); ok {
			return settled(current, lost, isMine)
		}
		if !MayHaveTakenEffect(err) {
			break
		}
		lost = true
		object, err = store.Get(ctx, key)
		if err == nil && object.Version > ifMatch {
			return settled(object, lost, isMine)
		}
	}
	if lost {
		return PutResult{Outcome: PutUnknown, Err: last}
	}
	return PutResult{Outcome: PutFailed, Err: last}
}

// currentOf gives the object that refused a write; false when err is no
// conflict, or the object could not be read.
func currentOf(ctx context.Context, store Store, key string, err error) (platformapi.Object, bool) {
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

// settled judges a write by the newer object that stands.
func settled(current platformapi.Object, lost bool, isMine func(value []byte) bool) PutResult {
	switch {
	case !lost:
		return PutResult{Outcome: PutConflict, Object: current}
	case !current.Deleted && isMine(current.Value):
		return PutResult{Outcome: PutWritten, Object: current}
	}
	return PutResult{Outcome: PutSuperseded, Object: current}
}

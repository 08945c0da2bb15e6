package claim

import "mimosaarch.example/core/platformapi"

// AnswerKind is the outcome of a Read or Write.
type AnswerKind int

// Outcomes of a Read or Write.
const (
	// AnswerObject: the Read returned the object.
	AnswerObject AnswerKind = iota
	// AnswerNotFound: the Read found no object.
	AnswerNotFound
	// AnswerWritten: the Write took effect.
	AnswerWritten
	// AnswerConflict: the Write had no effect because the object's version did
	// not match.
	AnswerConflict
	// AnswerFailed: the Read returned nothing, or the Write had no effect and
	// never will.
	AnswerFailed
	// AnswerLost: the outcome of the Write is unknown. It may have taken effect
	// or may still do so.
	AnswerLost
)

// Answer is the platform's answer to a shard's Read or Write.
type Answer struct {
	Shard int
	Kind  AnswerKind
	// Object is the object that was read or written, or the one that caused a
	// conflict. Version 0 means that the object does not exist. A negative
	// Version, possible only after a conflict, means that the current object is
	// unknown.
	Object platformapi.Object
}

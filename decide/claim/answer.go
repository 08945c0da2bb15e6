package claim

import "mimosaarch.example/core/platformapi"

// AnswerKind is what came of a Read or Write.
type AnswerKind int

// Kinds of answers.
const (
	// AnswerObject: a Read found the object.
	AnswerObject AnswerKind = iota
	// AnswerNotFound: a Read found that there is no object.
	AnswerNotFound
	// AnswerWritten: a Write took effect.
	AnswerWritten
	// AnswerConflict: a Write was refused because of the object's version.
	AnswerConflict
	// AnswerFailed: a Read brought nothing, or a Write certainly had no
	// effect and will have none.
	AnswerFailed
	// AnswerLost: a Write may have taken effect, or may yet do so.
	AnswerLost
)

// Answer is the platform's answer to a shard's Read or Write.
type Answer struct {
	Shard int
	Kind  AnswerKind
	// Object is the one found, written or in the way. After a conflict it
	// may be unknown: then Version is below 0. Version 0 means that there is
	// none.
	Object platformapi.Object
}

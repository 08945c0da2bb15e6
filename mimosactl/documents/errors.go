package documents

import (
	"fmt"
	"strings"

	"mimosaarch.example/core/platformapi"
)

// ReadError tells that a file could not be read.
type ReadError struct{ Cause error }

// Error implements error.
func (e *ReadError) Error() string { return e.Cause.Error() }

// Unwrap gives the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// FileError tells that a file holds no valid document.
type FileError struct {
	Path string
	// Cause is a *fleet.InvalidError, *fleet.EncodeError or *TooLargeError.
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// TooLargeError tells that a document is larger than a platform object.
type TooLargeError struct {
	// Size is in bytes.
	Size int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%d bytes with its defaults, at most %d are allowed", e.Size, platformapi.MaxValueBytes)
}

// DuplicateError tells that two files hold the same document.
type DuplicateError struct {
	Key   string
	Paths [2]string
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s: %s is in %s already", e.Paths[1], e.Key, e.Paths[0])
}

// InvalidFilesError lists every fault found in a set of files; nothing was
// written.
type InvalidFilesError struct {
	// Errors are of type *FileError or *DuplicateError.
	Errors []error
}

// Error implements error.
func (e *InvalidFilesError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, fault := range e.Errors {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// ConflictError tells that a publish was refused, since the published document
// is not at the version expected.
type ConflictError struct {
	Key string
	// Expected is the version asked for; 0 means that none was to exist.
	Expected int64
	// Current is the version that stands; 0 means that none exists.
	Current int64
	// Change is the id of the publish that wrote it; empty when not known.
	Change string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: %s is at version %d (change %q), not at %d", e.Key, e.Current, e.Change, e.Expected)
}

// SupersededError tells that the answer to a publish was lost and a newer
// document of somebody else stands. Ours may have been in force before it, and
// won't come back.
type SupersededError struct {
	Key     string
	Current int64
	Change  string
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("conflict: %s was superseded by version %d (change %q)", e.Key, e.Current, e.Change)
}

// UnknownResultError tells that it is not known whether a publish took effect.
// Change is its id: it has taken effect once the document shows that id.
type UnknownResultError struct {
	Key    string
	Change string
	Cause  error
}

// Error implements error.
func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("unknown: %s may be published or not, look for change %q: %v", e.Key, e.Change, e.Cause)
}

// Unwrap gives the cause.
func (e *UnknownResultError) Unwrap() error { return e.Cause }

// NotPublishedError tells that a publish had no effect and will have none.
type NotPublishedError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("not published: %s: %v", e.Key, e.Cause)
}

// Unwrap gives the cause.
func (e *NotPublishedError) Unwrap() error { return e.Cause }

package documents

import (
	"fmt"
	"strings"

	"mimosaarch.example/core/platformapi"
)

// ReadError reports that a file could not be read.
type ReadError struct{ Cause error }

// Error implements error.
func (e *ReadError) Error() string { return e.Cause.Error() }

// Unwrap returns Cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// FileError reports that a file does not hold a valid document.
type FileError struct {
	Path string
	// Cause is a *fleet.InvalidError, *fleet.EncodeError or *TooLargeError.
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *FileError) Unwrap() error { return e.Cause }

// TooLargeError reports that an encoded document exceeds the maximum size of a
// platform object.
type TooLargeError struct {
	// Size is in bytes.
	Size int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%d bytes with defaults filled in, at most %d are allowed", e.Size, platformapi.MaxValueBytes)
}

// DuplicateError reports that two files hold the same document.
type DuplicateError struct {
	Key   string
	Paths [2]string
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s: %s is already defined in %s", e.Paths[1], e.Key, e.Paths[0])
}

// InvalidFilesError lists all errors found in a set of files, of which none was
// written.
type InvalidFilesError struct {
	// Errors holds errors of type *FileError or *DuplicateError.
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

// ConflictError reports that a publish was refused because the published document
// is not at the expected version.
type ConflictError struct {
	Key string
	// Expected is the expected version; 0 means that no document should exist.
	Expected int64
	// Current is the published version; 0 means that no document exists.
	Current int64
	// Change is the change ID of the current version; empty if unknown.
	Change string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: %s is at version %d (change %q), not at %d", e.Key, e.Current, e.Change, e.Expected)
}

// SupersededError reports that the response to a publish was lost and that another
// publish has written a newer version since. The lost publish may have been active
// before that version and will not become active again.
type SupersededError struct {
	Key     string
	Current int64
	Change  string
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("conflict: %s was superseded by version %d (change %q)", e.Key, e.Current, e.Change)
}

// UnknownResultError reports that it is unknown whether a publish took effect.
// Change is its change ID: the publish has taken effect once the published document
// has this ID.
type UnknownResultError struct {
	Key    string
	Change string
	Cause  error
}

// Error implements error.
func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("unknown: %s may be published or not, look for change %q: %v", e.Key, e.Change, e.Cause)
}

// Unwrap returns Cause.
func (e *UnknownResultError) Unwrap() error { return e.Cause }

// NotPublishedError reports that a publish had no effect and will have none.
type NotPublishedError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("not published: %s: %v", e.Key, e.Cause)
}

// Unwrap returns Cause.
func (e *NotPublishedError) Unwrap() error { return e.Cause }

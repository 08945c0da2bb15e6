package configorder

import "fmt"

// StaleVersionError tells that an object is older than the one in force.
type StaleVersionError struct {
	Key string
	// Version is the object's; Active is the one that stands.
	Version, Active int64
}

// Error implements error.
func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("object %s: version %d is older than %d", e.Key, e.Version, e.Active)
}

// InvalidObjectError tells that an object holds no valid document. The one in
// force before stays.
type InvalidObjectError struct {
	Key     string
	Version int64
	// Cause is the parser's error, a *KeyError, or nil for an object outside
	// the configuration or without a version.
	Cause error
}

// Error implements error.
func (e *InvalidObjectError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("object %q, version %d, is no configuration", e.Key, e.Version)
	}
	return fmt.Sprintf("object %s, version %d: %v", e.Key, e.Version, e.Cause)
}

// Unwrap gives the cause.
func (e *InvalidObjectError) Unwrap() error { return e.Cause }

// KeyMismatchError tells that a document belongs under another key.
type KeyMismatchError struct{ Want string }

// Error implements error.
func (e *KeyMismatchError) Error() string { return "the document belongs under " + e.Want }

// FullError tells that a limit of the Settings is reached.
type FullError struct {
	Key string
	// Objects and Bytes are what the Store holds.
	Objects, Bytes int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no room for object %s beside %d objects of %d bytes", e.Key, e.Objects, e.Bytes)
}

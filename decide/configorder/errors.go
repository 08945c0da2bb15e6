package configorder

import "fmt"

// StaleVersionError reports an object that is older than the active one.
type StaleVersionError struct {
	Key string
	// Version is that of the refused object, Active that of the active one. For
	// an unknown key, Active is the highest version of an evicted tombstone.
	Version, Active int64
}

// Error implements error.
func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("object %s: version %d is older than version %d", e.Key, e.Version, e.Active)
}

// InvalidObjectError reports an object without a valid document. The object that
// was active before stays active.
type InvalidObjectError struct {
	Key     string
	Version int64
	// Cause is the error of fleet.Parse or a *KeyMismatchError. It is nil if the key
	// is not a configuration key or the version is not positive.
	Cause error
}

// Error implements error.
func (e *InvalidObjectError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("object %q, version %d: not a versioned configuration object", e.Key, e.Version)
	}
	return fmt.Sprintf("object %s, version %d: %v", e.Key, e.Version, e.Cause)
}

// Unwrap returns Cause.
func (e *InvalidObjectError) Unwrap() error { return e.Cause }

// KeyMismatchError reports a document that is stored under the wrong key. Want is
// the key that its kind and name require.
type KeyMismatchError struct{ Want string }

// Error implements error.
func (e *KeyMismatchError) Error() string { return "document must be stored under key " + e.Want }

// FullError reports an object that would exceed a limit of the Settings.
type FullError struct {
	Key string
	// Objects and Bytes are the number of keys and the size of values that the
	// Store holds.
	Objects, Bytes int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("store full: cannot add object %s to %d objects of %d bytes", e.Key, e.Objects, e.Bytes)
}

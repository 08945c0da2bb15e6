package fleet

import (
	"go.yaml.in/yaml/v3"
)

// Document is a Profile, Service or Accounts.
type Document interface {
	// DocumentKind returns KindProfile, KindService or KindAccounts.
	DocumentKind() string
	// DocumentName returns the name, which is unique among documents of one kind.
	DocumentName() string
	// ChangeID returns the ID of the publish operation that wrote the document; may
	// be empty.
	ChangeID() string
	// WithChange returns a copy with the ID of a publish operation.
	WithChange(id string) Document
}

// DocumentKind implements Document.
func (p Profile) DocumentKind() string { return KindProfile }

// DocumentName implements Document.
func (p Profile) DocumentName() string { return string(p.Name) }

// ChangeID implements Document.
func (p Profile) ChangeID() string { return p.Change }

// WithChange implements Document.
func (p Profile) WithChange(id string) Document {
	p.Change = id
	return p
}

// DocumentKind implements Document.
func (s Service) DocumentKind() string { return KindService }

// DocumentName implements Document.
func (s Service) DocumentName() string { return string(s.Name) }

// ChangeID implements Document.
func (s Service) ChangeID() string { return s.Change }

// WithChange implements Document.
func (s Service) WithChange(id string) Document {
	s.Change = id
	return s
}

// DocumentKind implements Document.
func (a Accounts) DocumentKind() string { return KindAccounts }

// DocumentName implements Document.
func (a Accounts) DocumentName() string { return a.Name }

// ChangeID implements Document.
func (a Accounts) ChangeID() string { return a.Change }

// WithChange implements Document.
func (a Accounts) WithChange(id string) Document {
	a.Change = id
	return a
}

// Key returns the key of the platform object that holds a document.
func Key(doc Document) string {
	return keyPrefixes[doc.DocumentKind()] + doc.DocumentName()
}

// keyPrefixes are the prefixes of object keys by document kind.
var keyPrefixes = map[string]string{
	KindProfile:  ProfilePrefix,
	KindService:  ServicePrefix,
	KindAccounts: AccountPrefix,
}

// EncodeError is returned if a document cannot be written as YAML.
type EncodeError struct{ Cause error }

// Error implements error.
func (e *EncodeError) Error() string { return "encode document: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// Encode returns a document as YAML. If the document came from Parse, Parse of the
// result returns an equal one. The error is an *EncodeError.
func Encode(doc Document) ([]byte, error) {
	out, err := yaml.Marshal(doc)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return out, nil
}

package fleet

import (
	"go.yaml.in/yaml/v3"
)

// Document is one Profile, Service or Accounts value.
type Document interface {
	// DocumentKind is the kind of document: KindProfile, KindService or KindAccounts.
	DocumentKind() string
	// DocumentName is the name, unique among documents of one kind.
	DocumentName() string
	// ChangeID is the id of the publish that wrote the document; may be empty.
	ChangeID() string
	// WithChange gives a copy that carries the id of a publish.
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

// Key is the key of the platform object that holds a document.
func Key(doc Document) string {
	return prefixes[doc.DocumentKind()] + doc.DocumentName()
}

// prefixes are the object key prefixes by kind.
var prefixes = map[string]string{
	KindProfile:  ProfilePrefix,
	KindService:  ServicePrefix,
	KindAccounts: AccountPrefix,
}

// EncodeError tells that a document could not be written as YAML.
type EncodeError struct{ Cause error }

// Error implements error.
func (e *EncodeError) Error() string { return "encode document: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// Encode writes a document as YAML. Parse of the result gives the same
// document, if Parse made it.
func Encode(doc Document) ([]byte, error) {
	out, err := yaml.Marshal(doc)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return out, nil
}

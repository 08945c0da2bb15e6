package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes limits the size of a document. It is below the platform's limit
// for a value, because Encode may write more bytes than Parse read.
const MaxDocumentBytes = 768 << 10

// Parse parses one YAML document and fills in the defaults. Unknown fields are
// errors. The error is an *InvalidError that lists every violation.
func Parse(data []byte) (Document, error) {
	root, err := parseNode(data)
	if err != nil {
		return nil, err
	}
	r := &reader{}
	doc := r.document(root)
	if err := r.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// parseNode parses data, which must hold exactly one YAML document, to a tree.
func parseNode(data []byte) (*yaml.Node, error) {
	if len(data) > MaxDocumentBytes {
		size := fmt.Sprintf("(%d bytes)", len(data))
		return nil, documentError(0, size, fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var root, next yaml.Node
	if err := decoder.Decode(&root); err != nil {
		return nil, syntaxError(err)
	}
	err := decoder.Decode(&next)
	if err == nil {
		return nil, documentError(next.Line, "(a second document)", "one YAML document")
	}
	if !errors.Is(err, io.EOF) {
		return nil, syntaxError(err)
	}
	if root.Kind != yaml.DocumentNode || len(root.Content) != 1 {
		return nil, documentError(root.Line, "", "one YAML document")
	}
	return root.Content[0], nil
}

// syntaxError returns the error for data that is not well-formed YAML.
func syntaxError(err error) error {
	var line int
	// The line number is only in the text of the error; if it is absent, line stays
	// 0.
	if _, scanErr := fmt.Sscanf(err.Error(), "yaml: line %d:", &line); scanErr != nil {
		line = 0
	}
	return documentError(line, err.Error(), "one well-formed YAML document")
}

// documentError returns an error with one violation for the document as a whole.
func documentError(line int, value, expected string) *InvalidError {
	return &InvalidError{Violations: []Violation{{Line: line, Value: value, Expected: expected}}}
}

// document reads a document of any kind.
func (r *reader) document(node *yaml.Node) Document {
	kind := findKind(node)
	if kind == nil {
		r.addMissing(node, "kind", kindExpected)
		return nil
	}
	switch kind.Value {
	case KindProfile:
		return r.profile(node)
	case KindService:
		return r.service(node)
	case KindAccounts:
		return r.accounts(node)
	}
	r.addViolation(kind, "kind", kindExpected)
	return nil
}

// kindExpected describes the allowed values of the field kind.
const kindExpected = "one of profile, service, accounts"

// findKind returns the first value of the field kind, or nil if there is none.
func findKind(node *yaml.Node) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == "kind" {
			return node.Content[i+1]
		}
	}
	return nil
}

// require adds a violation for each required field that was not seen. A nil seen
// means that the mapping itself was invalid, which is already a violation.
func (r *reader) require(node *yaml.Node, path string, seen map[string]bool, names ...string) {
	if seen == nil {
		return
	}
	for _, name := range names {
		if !seen[name] {
			r.addMissing(node, joinPath(path, name), "a value")
		}
	}
}

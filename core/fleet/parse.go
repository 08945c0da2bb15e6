package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes is the largest document, in bytes. It leaves room for what
// Encode adds within the platform's largest value.
const MaxDocumentBytes = 768 << 10

// Parse reads one YAML document and fills in its defaults. Unknown fields are
// refused. The error is an *InvalidError that lists every violation.
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

// parseNode reads the one YAML document in data as a tree.
func parseNode(data []byte) (*yaml.Node, error) {
	if len(data) > MaxDocumentBytes {
		size := fmt.Sprintf("(%d bytes)", len(data))
		return nil, invalid(0, size, fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var root, next yaml.Node
	if err := decoder.Decode(&root); err != nil {
		return nil, syntaxError(err)
	}
	err := decoder.Decode(&next)
	if err == nil {
		return nil, invalid(next.Line, "(a second document)", "one YAML document")
	}
	if !errors.Is(err, io.EOF) {
		return nil, syntaxError(err)
	}
	if root.Kind != yaml.DocumentNode || len(root.Content) != 1 {
		return nil, invalid(root.Line, "", "one YAML document")
	}
	return root.Content[0], nil
}

// syntaxError tells that data is no YAML.
func syntaxError(err error) error {
	var line int
	// The line is only in the library's text; without it the line stays 0.
	if _, scanErr := fmt.Sscanf(err.Error(), "yaml: line %d:", &line); scanErr != nil {
		line = 0
	}
	return invalid(line, err.Error(), "one well-formed YAML document")
}

// invalid is an error of one violation for the document as a whole.
func invalid(line int, value, expected string) *InvalidError {
	return &InvalidError{Violations: []Violation{{Line: line, Value: value, Expected: expected}}}
}

// document reads a document of any kind.
func (r *reader) document(node *yaml.Node) Document {
	kind := kindNode(node)
	if kind == nil {
		r.missing(node, "kind", kindExpected)
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
	r.fail(kind, "kind", kindExpected)
	return nil
}

// kindExpected describes the field kind.
const kindExpected = "one of profile, service, accounts"

// kindNode finds the first value of the field kind; nil if there is none.
func kindNode(node *yaml.Node) *yaml.Node {
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

// require notes each required field that was not seen. A nil seen means that
// the mapping itself was refused already.
func (r *reader) require(node *yaml.Node, path string, seen map[string]bool, names ...string) {
	if seen == nil {
		return
	}
	for _, name := range names {
		if !seen[name] {
			r.missing(node, join(path, name), "a value")
		}
	}
}

package fleet

import (
	"fmt"
	"strings"
)

// Violation describes one error in a document.
type Violation struct {
	// Path is the path of the field, for instance "accounts[3].rate"; empty for the
	// document as a whole.
	Path string
	// Line is the line number, counted from 1; 0 means unknown.
	Line int
	// Value is the text found, truncated to maxValueBytes; empty if a field is
	// missing.
	Value string
	// Expected describes the allowed values.
	Expected string
}

// maxValueBytes limits the text of a wrong value that a Violation keeps.
const maxValueBytes = 80

// String returns the violation as one line.
func (v Violation) String() string {
	path := v.Path
	if path == "" {
		path = "document"
	}
	return fmt.Sprintf("line %d: %s: got %q, expected %s", v.Line, path, v.Value, v.Expected)
}

// InvalidError lists every violation in a document, ordered by line.
type InvalidError struct{ Violations []Violation }

// Error implements error. The text has one line per violation.
func (e *InvalidError) Error() string {
	var b strings.Builder
	b.WriteString("invalid document")
	for _, v := range e.Violations {
		b.WriteString("\n  ")
		b.WriteString(v.String())
	}
	return b.String()
}

package fleet

import (
	"fmt"
	"strings"
)

// Violation is one fault of a document.
type Violation struct {
	// Path is the place, for instance "accounts[3].rate"; empty for the
	// document as a whole.
	Path string
	// Line counts from 1; 0 means that the line is not known.
	Line int
	// Value is the text found, shortened to maxValueShown bytes; empty when
	// a field is missing.
	Value string
	// Expected describes what is allowed there.
	Expected string
}

// maxValueShown is the most bytes of a wrong value that a Violation keeps.
const maxValueShown = 80

// String gives the violation in one line.
func (v Violation) String() string {
	path := v.Path
	if path == "" {
		path = "document"
	}
	return fmt.Sprintf("line %d: %s: got %q, expected %s", v.Line, path, v.Value, v.Expected)
}

// InvalidError lists every violation found in a document, by line.
type InvalidError struct{ Violations []Violation }

// Error implements error. It has one line for each violation.
func (e *InvalidError) Error() string {
	var b strings.Builder
	b.WriteString("invalid document")
	for _, v := range e.Violations {
		b.WriteString("\n  ")
		b.WriteString(v.String())
	}
	return b.String()
}

// Package check finds faults of a configuration before it is published that no document
// shows on its own: entries that can never match, limits that contradict each other,
// and names that nothing defines. It compares the configuration with the one in force.
//
// The package does no I/O. The documents come from mimosactl/documents, with their
// defaults filled in.
package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/rogpeppe/go-internal/diff"

	"mimosaarch.example/core/fleet"
)

// Severity states whether a finding should keep the configuration from being published.
type Severity string

const (
	// Error: the configuration does not do what it says.
	Error Severity = "error"
	// Warning: the configuration works, but a part of it has no effect.
	Warning Severity = "warning"
)

// Kind is the kind of a finding.
type Kind string

const (
	// KindInvalid: a document cannot be read. Its Message has every violation.
	KindInvalid Kind = "invalid"
	// KindContradiction: two limits cannot both take effect.
	KindContradiction Kind = "contradiction"
	// KindNeverMatches: no request can match the entry.
	KindNeverMatches Kind = "never_matches"
	// KindUndefined: the entry names something that no document defines.
	KindUndefined Kind = "undefined"
	// KindUnused: no other document uses the document.
	KindUnused Kind = "unused"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     Kind     `json:"kind"`
	// Document is the object key of the document, or the path of its file if it cannot
	// be read. Field is the path of the field in it, empty for the whole document.
	Document string `json:"document"`
	Field    string `json:"field,omitempty"`
	Message  string `json:"message"`
	// InForce is set if the configuration in force has the same fault.
	InForce bool `json:"in_force"`
}

// String returns the finding as one line, unless its message has several.
func (f Finding) String() string {
	where := f.Document
	if f.Field != "" {
		where += ": " + f.Field
	}
	text := fmt.Sprintf("%s: %s: %s: %s", f.Severity, where, f.Kind, f.Message)
	if f.InForce {
		text += " (in force already)"
	}
	return text
}

// ChangeState states how a document differs from the one in force.
type ChangeState string

// States of a Change. Publishing removes no document, so there is none for that.
const (
	Added     ChangeState = "added"
	Changed   ChangeState = "changed"
	Unchanged ChangeState = "unchanged"
)

// Change is the difference of one document from the one in force.
type Change struct {
	Document string      `json:"document"`
	State    ChangeState `json:"state"`
	// Diff is a unified diff, both sides with defaults filled in and without change
	// IDs. It is empty for an unchanged document.
	Diff string `json:"diff,omitempty"`
}

// Result is the result of a check.
type Result struct {
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"`
}

// Errors returns the number of findings that are errors.
func (r Result) Errors() int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// Run checks the configuration that results if documents are published over those in
// force, and compares the two. All documents must have their defaults filled in, and no
// key may occur twice in either list. The error is a *fleet.EncodeError.
func Run(inForce, documents []fleet.Document) (Result, error) {
	before := byKey(inForce)
	after := maps.Clone(before)
	maps.Copy(after, byKey(documents))
	result := Result{Findings: findings(after), Changes: []Change{}}
	known := make(map[Finding]bool)
	for _, f := range findings(before) {
		known[f] = true
	}
	for i, f := range result.Findings {
		result.Findings[i].InForce = known[f]
	}
	for _, doc := range documents {
		change, err := compare(before[fleet.Key(doc)], doc)
		if err != nil {
			return Result{}, err
		}
		result.Changes = append(result.Changes, change)
	}
	return result, nil
}

// byKey returns documents by their object key.
func byKey(documents []fleet.Document) map[string]fleet.Document {
	out := make(map[string]fleet.Document, len(documents))
	for _, doc := range documents {
		out[fleet.Key(doc)] = doc
	}
	return out
}

// compare compares a document with the one in force, nil if there is none.
func compare(old, doc fleet.Document) (Change, error) {
	key := fleet.Key(doc)
	text, err := fleet.Encode(doc.WithChange(""))
	if err != nil {
		return Change{}, err
	}
	change := Change{Document: key, State: Added}
	var oldText []byte
	if old != nil {
		if oldText, err = fleet.Encode(old.WithChange("")); err != nil {
			return Change{}, err
		}
		change.State = Changed
	}
	change.Diff = string(diff.Diff("in force "+key, oldText, "to publish "+key, text))
	if old != nil && change.Diff == "" {
		change.State = Unchanged
	}
	return change, nil
}

// findings returns the faults of a configuration: errors first, ordered by document and
// field.
func findings(documents map[string]fleet.Document) []Finding {
	c := newConfiguration(documents)
	out := slices.Concat(c.checkProfiles(), c.checkServices(), c.checkAccounts())
	slices.SortStableFunc(out, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Document, b.Document), cmp.Compare(a.Field, b.Field))
	})
	return out
}

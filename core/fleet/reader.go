package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// field reads the YAML node of one field. path is the path of the field in the
// document.
type field func(r *reader, node *yaml.Node, path string)

// fields are the known fields of a mapping by name.
type fields map[string]field

// reader reads a YAML document and collects its violations.
type reader struct{ violations []Violation }

// addViolation adds a violation for a node that is not as expected.
func (r *reader) addViolation(node *yaml.Node, path, expected string) {
	r.violations = append(r.violations, Violation{
		Path:     path,
		Line:     node.Line,
		Value:    nodeText(node),
		Expected: expected,
	})
}

// addMissing adds a violation for a required field that is absent from a mapping.
func (r *reader) addMissing(parent *yaml.Node, path, expected string) {
	r.violations = append(r.violations, Violation{
		Path:     path,
		Line:     parent.Line,
		Expected: expected + " (required)",
	})
}

// err returns the violations ordered by line, or nil if there are none.
func (r *reader) err() error {
	if len(r.violations) == 0 {
		return nil
	}
	slices.SortStableFunc(r.violations, func(a, b Violation) int {
		return cmp.Compare(a.Line, b.Line)
	})
	return &InvalidError{Violations: r.violations}
}

// mapping reads the known fields of a mapping and adds a violation for any other.
// It returns the names of the fields found, or nil if node is not a mapping.
func (r *reader) mapping(node *yaml.Node, path string, known fields) map[string]bool {
	if node.Kind != yaml.MappingNode {
		r.addViolation(node, path, "a mapping with the fields "+known.names())
		return nil
	}
	seen := make(map[string]bool, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		r.entry(node.Content[i], node.Content[i+1], path, known, seen)
	}
	return seen
}

// entry reads one key and value of a mapping.
func (r *reader) entry(key, value *yaml.Node, path string, known fields, seen map[string]bool) {
	read, ok := known[key.Value]
	if key.Kind != yaml.ScalarNode || !ok {
		r.addViolation(key, path, "one of the fields "+known.names())
		return
	}
	fieldPath := joinPath(path, key.Value)
	if seen[key.Value] {
		r.addViolation(key, fieldPath, "the field only once")
		return
	}
	seen[key.Value] = true
	read(r, value, fieldPath)
}

// names returns the sorted names of the fields, separated by commas.
func (f fields) names() string {
	names := make([]string, 0, len(f))
	for name := range f {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// sequence reads each item of a sequence.
func (r *reader) sequence(node *yaml.Node, path, expected string, item field) {
	if node.Kind != yaml.SequenceNode {
		r.addViolation(node, path, expected)
		return
	}
	for i, child := range node.Content {
		item(r, child, path+"["+strconv.Itoa(i)+"]")
	}
}

// joinPath appends the name of a field to the path of its mapping.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// nodeKindNames describe nodes that are not scalars.
var nodeKindNames = map[yaml.Kind]string{
	yaml.MappingNode:  "(a mapping)",
	yaml.SequenceNode: "(a sequence)",
	yaml.AliasNode:    "(an alias)",
}

// nodeText returns the text of a node for a Violation, truncated to maxValueBytes.
func nodeText(node *yaml.Node) string {
	if name, ok := nodeKindNames[node.Kind]; ok {
		return name
	}
	if len(node.Value) <= maxValueBytes {
		return node.Value
	}
	return strings.ToValidUTF8(node.Value[:maxValueBytes], "") + "..."
}

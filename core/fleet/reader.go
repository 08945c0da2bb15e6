package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// field reads the YAML node of one field that stands at path.
type field func(r *reader, node *yaml.Node, path string)

// fields are the known fields of a mapping by name.
type fields map[string]field

// reader walks a YAML document and gathers its violations.
type reader struct{ violations []Violation }

// fail notes that the node at path is not what was expected.
func (r *reader) fail(node *yaml.Node, path, expected string) {
	r.violations = append(r.violations, Violation{
		Path:     path,
		Line:     node.Line,
		Value:    shown(node),
		Expected: expected,
	})
}

// missing notes that a required field of a mapping is absent.
func (r *reader) missing(parent *yaml.Node, path, expected string) {
	r.violations = append(r.violations, Violation{
		Path:     path,
		Line:     parent.Line,
		Expected: expected + " (required)",
	})
}

// err gives the violations found, ordered by line; nil if there are none.
func (r *reader) err() error {
	if len(r.violations) == 0 {
		return nil
	}
	slices.SortStableFunc(r.violations, func(a, b Violation) int {
		return cmp.Compare(a.Line, b.Line)
	})
	return &InvalidError{Violations: r.violations}
}

// mapping reads the known fields of a mapping and refuses all others. It
// reports which fields were there; nil means that node is no mapping.
func (r *reader) mapping(node *yaml.Node, path string, known fields) map[string]bool {
	if node.Kind != yaml.MappingNode {
		r.fail(node, path, "a mapping with the fields "+known.names())
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
		r.fail(key, path, "one of the fields "+known.names())
		return
	}
	at := join(path, key.Value)
	if seen[key.Value] {
		r.fail(key, at, "the field only once")
		return
	}
	seen[key.Value] = true
	read(r, value, at)
}

// names lists the fields' names in order.
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
		r.fail(node, path, expected)
		return
	}
	for i, child := range node.Content {
		item(r, child, path+"["+strconv.Itoa(i)+"]")
	}
}

// join adds a field's name to the path of its mapping.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// kindNames describe nodes that are no scalars.
var kindNames = map[yaml.Kind]string{
	yaml.MappingNode:  "(a mapping)",
	yaml.SequenceNode: "(a sequence)",
	yaml.AliasNode:    "(an alias)",
}

// shown gives a node's text for a Violation.
func shown(node *yaml.Node) string {
	if name, ok := kindNames[node.Kind]; ok {
		return name
	}
	if len(node.Value) <= maxValueShown {
		return node.Value
	}
	return strings.ToValidUTF8(node.Value[:maxValueShown], "") + "..."
}

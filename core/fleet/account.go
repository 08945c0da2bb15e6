package fleet

import (
	"go.yaml.in/yaml/v3"
)

// account reads an Account.
func (r *reader) account(node *yaml.Node, path string) Account {
	var a Account
	seen := r.mapping(node, path, fields{
		"id":         name(&a.ID),
		"key_sha256": text(&a.KeySHA256, hashPattern, hashExpected),
		"rate":       number(&a.Rate, minRate, maxRate),
		"burst":      number(&a.Burst, 1, 2*maxRate),
		"weight":     integer(&a.Weight, 1, maxWeight),
		"services":   names(&a.Services, "service"),
	})
	r.require(node, path, seen, "id", "key_sha256")
	return a
}

// names returns a field that reads a sequence of at least one name without
// duplicates. what describes the names in violations.
func names[T ~string](target *[]T, what string) field {
	return func(r *reader, node *yaml.Node, path string) {
		known := make(map[string]bool)
		expected := "a sequence of at least one " + what + " name"
		r.sequence(node, path, expected, func(r *reader, node *yaml.Node, path string) {
			var id T
			name(&id)(r, node, path)
			r.rejectDuplicate(node, path, string(id), known)
			*target = append(*target, id)
		})
		if node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
			r.addViolation(node, path, expected)
		}
	}
}

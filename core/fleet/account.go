package fleet

import (
	"go.yaml.in/yaml/v3"
)

// account reads one Account.
func (r *reader) account(node *yaml.Node, path string) Account {
	var a Account
	seen := r.mapping(node, path, fields{
		"id":         name(&a.ID),
		"key_sha256": text(&a.KeySHA256, hashForm, hashExpected),
		"rate":       number(&a.Rate, leastRate, maxRate),
		"burst":      number(&a.Burst, 1, 2*maxRate),
		"weight":     whole(&a.Weight, 1, maxWeight),
		"services":   names(&a.Services, "service"),
	})
	r.require(node, path, seen, "id", "key_sha256")
	return a
}

// names reads a sequence of at least one name, each once.
func names[T ~string](target *[]T, what string) field {
	return func(r *reader, node *yaml.Node, path string) {
		known := make(map[string]bool)
		expected := "a sequence of at least one " + what + " name"
		r.sequence(node, path, expected, func(r *reader, node *yaml.Node, path string) {
			var one T
			name(&one)(r, node, path)
			r.once(node, path, string(one), known)
			*target = append(*target, one)
		})
		if node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
			r.fail(node, path, expected)
		}
	}
}

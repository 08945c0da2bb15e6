package fleet

import (
	"go.yaml.in/yaml/v3"

	"mimosaarch.example/core/ids"
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
		"services":   serviceNames(&a.Services),
	})
	r.require(node, path, seen, "id", "key_sha256")
	return a
}

// serviceNames reads the services an account may call.
func serviceNames(target *[]ids.Service) field {
	return func(r *reader, node *yaml.Node, path string) {
		known := make(map[string]bool)
		const expected = "a sequence of at least one service name"
		r.sequence(node, path, expected, func(r *reader, node *yaml.Node, path string) {
			var service ids.Service
			name(&service)(r, node, path)
			r.once(node, path, string(service), known)
			*target = append(*target, service)
		})
		if node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
			r.fail(node, path, expected)
		}
	}
}

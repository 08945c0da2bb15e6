package fleet

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Forms of text fields.
var (
	nameForm   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hashForm   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	prefixForm = regexp.MustCompile(`^/[!-"$->@-~]{0,255}$`)
)

// Descriptions of those forms.
const (
	nameExpected   = "a name of 1 to 64 letters, digits, '.', '_' or '-' that starts with a letter or digit"
	hashExpected   = "a SHA-256 as 64 lower-case hex digits"
	prefixExpected = "a path of at most 256 visible ASCII characters that starts with '/', without '?' and '#'"
)

// scalarTags are the YAML types whose text may stand for a string.
var scalarTags = []string{"!!str", "!!int", "!!float", "!!bool", "!!timestamp"}

// scalarText gives a scalar's text; false for null and all that is no scalar.
func scalarText(node *yaml.Node) (string, bool) {
	if node.Kind != yaml.ScalarNode || !slices.Contains(scalarTags, node.ShortTag()) {
		return "", false
	}
	return node.Value, true
}

// text reads a string of a given form.
func text[T ~string](target *T, form *regexp.Regexp, expected string) field {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := scalarText(node)
		if !ok || !form.MatchString(value) {
			r.fail(node, path, expected)
			return
		}
		*target = T(value)
	}
}

// name reads a name.
func name[T ~string](target *T) field { return text(target, nameForm, nameExpected) }

// oneOf reads a string out of a fixed set.
func oneOf[T ~string](target *T, allowed ...T) field {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := scalarText(node)
		if !ok || !slices.Contains(allowed, T(value)) {
			r.fail(node, path, "one of "+list(allowed))
			return
		}
		*target = T(value)
	}
}

// list joins allowed values for a description.
func list[T ~string](allowed []T) string {
	parts := make([]string, len(allowed))
	for i, value := range allowed {
		parts[i] = string(value)
	}
	return strings.Join(parts, ", ")
}

// whole reads a whole number from least to most.
func whole(target *int, least, most int) field {
	expected := fmt.Sprintf("a whole number from %d to %d", least, most)
	return func(r *reader, node *yaml.Node, path string) {
		value, err := strconv.Atoi(node.Value)
		ok := node.Kind == yaml.ScalarNode && node.ShortTag() == "!!int" && err == nil
		if !ok || value < least || value > most {
			r.fail(node, path, expected)
			return
		}
		*target = value
	}
}

// number reads a number from least to most.
func number(target *float64, least, most float64) field {
	expected := fmt.Sprintf("a number from %v to %v", least, most)
	return func(r *reader, node *yaml.Node, path string) {
		value, err := strconv.ParseFloat(node.Value, 64)
		ok := node.Kind == yaml.ScalarNode && isNumber(node) && err == nil && !math.IsNaN(value)
		if !ok || value < least || value > most {
			r.fail(node, path, expected)
			return
		}
		*target = value
	}
}

// isNumber reports whether a scalar is a whole or a floating number.
func isNumber(node *yaml.Node) bool {
	tag := node.ShortTag()
	return tag == "!!int" || tag == "!!float"
}

// duration reads a duration from least to most.
func duration(target *Duration, least, most time.Duration) field {
	expected := fmt.Sprintf("a duration such as 1.5s, from %v to %v", least, most)
	return func(r *reader, node *yaml.Node, path string) {
		var value Duration
		ok := node.Kind == yaml.ScalarNode && value.UnmarshalYAML(node) == nil
		if !ok || value.D() < least || value.D() > most {
			r.fail(node, path, expected)
			return
		}
		*target = value
	}
}

// truth reads true or false.
func truth(target **bool) field {
	return func(r *reader, node *yaml.Node, path string) {
		value, err := strconv.ParseBool(node.Value)
		if node.Kind != yaml.ScalarNode || node.ShortTag() != "!!bool" || err != nil {
			r.fail(node, path, "true or false")
			return
		}
		*target = &value
	}
}

// object reads a mapping.
func object(known fields) field {
	return func(r *reader, node *yaml.Node, path string) {
		r.mapping(node, path, known)
	}
}

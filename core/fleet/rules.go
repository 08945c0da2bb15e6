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

// Patterns of text fields.
var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	prefixPattern = regexp.MustCompile(`^/[!-"$->@-~]{0,255}$`)
)

// Descriptions of the patterns for violations.
const (
	nameExpected   = "a name of 1 to 64 letters, digits, '.', '_' or '-' that starts with a letter or digit"
	hashExpected   = "a SHA-256 as 64 lower-case hex digits"
	prefixExpected = "a path of at most 256 visible ASCII characters that starts with '/', without '?' and '#'"
)

// scalarTags are the YAML types that are accepted as strings.
var scalarTags = []string{"!!str", "!!int", "!!float", "!!bool", "!!timestamp"}

// scalarText returns the text of a scalar. It returns false for null and for nodes
// that are not scalars.
func scalarText(node *yaml.Node) (string, bool) {
	if node.Kind != yaml.ScalarNode || !slices.Contains(scalarTags, node.ShortTag()) {
		return "", false
	}
	return node.Value, true
}

// text returns a field that reads a string that matches a pattern. expected
// describes the pattern in violations.
func text[T ~string](target *T, form *regexp.Regexp, expected string) field {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := scalarText(node)
		if !ok || !form.MatchString(value) {
			r.addViolation(node, path, expected)
			return
		}
		*target = T(value)
	}
}

// name returns a field that reads a name.
func name[T ~string](target *T) field { return text(target, namePattern, nameExpected) }

// oneOf returns a field that reads a string that is one of the allowed values.
func oneOf[T ~string](target *T, allowed ...T) field {
	return func(r *reader, node *yaml.Node, path string) {
		value, ok := scalarText(node)
		if !ok || !slices.Contains(allowed, T(value)) {
			r.addViolation(node, path, "one of "+joinValues(allowed))
			return
		}
		*target = T(value)
	}
}

// joinValues joins allowed values for the text of a violation.
func joinValues[T ~string](allowed []T) string {
	parts := make([]string, len(allowed))
	for i, value := range allowed {
		parts[i] = string(value)
	}
	return strings.Join(parts, ", ")
}

// integer returns a field that reads an integer from minimum to maximum.
func integer(target *int, minimum, maximum int) field {
	expected := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	return func(r *reader, node *yaml.Node, path string) {
		value, err := strconv.Atoi(node.Value)
		ok := node.Kind == yaml.ScalarNode && node.ShortTag() == "!!int" && err == nil
		if !ok || value < minimum || value > maximum {
			r.addViolation(node, path, expected)
			return
		}
		*target = value
	}
}

// number returns a field that reads a number from minimum to maximum.
func number(target *float64, minimum, maximum float64) field {
	expected := fmt.Sprintf("a number from %v to %v", minimum, maximum)
	return func(r *reader, node *yaml.Node, path string) {
		value, err := strconv.ParseFloat(node.Value, 64)
		ok := node.Kind == yaml.ScalarNode && isNumber(node) && err == nil && !math.IsNaN(value)
		if !ok || value < minimum || value > maximum {
			r.addViolation(node, path, expected)
			return
		}
		*target = value
	}
}

// isNumber reports whether a scalar is an integer or a floating-point number.
func isNumber(node *yaml.Node) bool {
	tag := node.ShortTag()
	return tag == "!!int" || tag == "!!float"
}

// duration returns a field that reads a duration from minimum to maximum.
func duration(target *Duration, minimum, maximum time.Duration) field {
	expected := fmt.Sprintf("a duration such as 1.5s, from %v to %v", minimum, maximum)
	return func(r *reader, node *yaml.Node, path string) {
		var value Duration
		ok := node.Kind == yaml.ScalarNode && value.UnmarshalYAML(node) == nil
		if !ok || value.D() < minimum || value.D() > maximum {
			r.addViolation(node, path, expected)
			return
		}
		*target = value
	}
}

// boolean returns a field that reads true or false.
func boolean(target **bool) field {
	return func(r *reader, node *yaml.Node, path string) {
		value, err := strconv.ParseBool(node.Value)
		if node.Kind != yaml.ScalarNode || node.ShortTag() != "!!bool" || err != nil {
			r.addViolation(node, path, "true or false")
			return
		}
		*target = &value
	}
}

// submapping returns a field that reads a nested mapping.
func submapping(known fields) field {
	return func(r *reader, node *yaml.Node, path string) {
		r.mapping(node, path, known)
	}
}

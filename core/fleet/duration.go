package fleet

import (
	"time"

	"go.yaml.in/yaml/v3"
)

// DurationError is returned if a YAML value is not a duration.
type DurationError struct {
	// Line is the line of the value, counted from 1.
	Line int
	// Value is the text of the value; empty if it is not a scalar.
	Value string
}

// Error implements error.
func (e *DurationError) Error() string {
	return "not a duration such as 1.5s: " + e.Value
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return d.D().String(), nil }

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	if node.Kind != yaml.ScalarNode {
		return &DurationError{Line: node.Line}
	}
	value, err := time.ParseDuration(node.Value)
	if err != nil {
		return &DurationError{Line: node.Line, Value: node.Value}
	}
	*d = Duration(value)
	return nil
}

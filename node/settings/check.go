package settings

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"mimosaarch.example/core/fleet"
)

// ReadError is returned when the settings file cannot be read.
type ReadError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("settings %s: %v", e.Path, e.Cause) }

// Unwrap returns the underlying file error.
func (e *ReadError) Unwrap() error { return e.Cause }

// Load reads and parses the settings file at path. The error is a *ReadError or
// a *fleet.InvalidError that lists every violation.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &ReadError{Path: path, Cause: err}
	}
	return Parse(data)
}

// Parse decodes and validates settings and fills in defaults. Unknown fields
// are violations. The error is a *fleet.InvalidError that lists every violation
// in the order of the lines.
func Parse(data []byte) (Settings, error) {
	var s Settings
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	violations := decodeViolations(decoder.Decode(&s))
	c := checker{lines: lineNumbers(data)}
	c.check(s)
	violations = append(violations, c.violations...)
	if len(violations) > 0 {
		slices.SortStableFunc(violations, func(a, b fleet.Violation) int { return a.Line - b.Line })
		return Settings{}, &fleet.InvalidError{Violations: violations}
	}
	return s.WithDefaults(), nil
}

// decodeViolations converts an error of the YAML decoder to violations.
func decodeViolations(err error) []fleet.Violation {
	if err == nil {
		return nil
	}
	var typed *yaml.TypeError
	if !errors.As(err, &typed) {
		return []fleet.Violation{{Value: err.Error(), Expected: "one well-formed YAML document"}}
	}
	violations := make([]fleet.Violation, len(typed.Errors))
	for i, text := range typed.Errors {
		violations[i] = decodeViolation(text)
	}
	return violations
}

// decodeViolation converts one message of a yaml.TypeError to a violation, with
// the line number that the message starts with.
func decodeViolation(text string) fleet.Violation {
	var line int
	rest := text
	if _, err := fmt.Sscanf(text, "line %d:", &line); err == nil {
		_, rest, _ = strings.Cut(text, ": ")
	}
	return fleet.Violation{Line: line, Value: rest, Expected: "a known field of the right type"}
}

// checker collects the violations of field values.
type checker struct {
	// lines maps the path of each field in the file to its line number.
	lines      map[string]int
	violations []fleet.Violation
}

// Limits of the values of settings.
const (
	minInterval    = 10 * time.Millisecond
	maxInterval    = time.Minute
	maxRequests    = 1 << 20
	maxBodyBytes   = 64 << 20
	maxHeldBytes   = 64 << 30
	maxConnections = 1 << 20
	maxRecords     = 1 << 20
)

// check validates every field of s.
func (c *checker) check(s Settings) {
	c.name("vm", s.VM)
	c.name("zone", s.Zone)
	c.address("listen.callers", s.Listen.Callers, true)
	c.address("listen.operators", s.Listen.Operators, true)
	c.address("listen.peers", s.Listen.Peers, false)
	c.addresses("platform", s.Platform)
	c.addresses("peers", s.Peers)
	if len(s.Platform) == 0 {
		c.fail("platform", "", "at least one IP address and port")
	}
	c.count("max_requests", s.MaxRequests, maxRequests)
	c.count("max_body", s.MaxBodyBytes, maxBodyBytes)
	c.count("max_held", s.MaxHeldBytes, maxHeldBytes)
	if least := heldPerBody * cmp.Or(s.MaxBodyBytes, DefaultMaxBodyBytes); s.MaxHeldBytes != 0 && s.MaxHeldBytes < least {
		c.fail("max_held", fmt.Sprint(s.MaxHeldBytes), fmt.Sprintf("at least %d times max_body, %d", heldPerBody, least))
	}
	c.count("max_connections", s.MaxConnections, maxConnections)
	c.count("records", s.Records, maxRecords)
	c.interval("poll_interval", s.PollInterval)
	c.interval("vm_list_interval", s.VMListInterval)
	if s.DrainTimeout < 0 {
		c.fail("drain_timeout", s.DrainTimeout.String(), "a duration of 0 or more")
	}
	c.logLevel(s.LogLevel)
	c.tls(s.TLS)
}

// fail records a violation.
func (c *checker) fail(path, value, expected string) {
	c.violations = append(c.violations, fleet.Violation{
		Path: path, Line: c.lines[path], Value: value, Expected: expected,
	})
}

// name requires a non-empty name without spaces or slashes.
func (c *checker) name(path, value string) {
	if value == "" || strings.ContainsAny(value, " /\t\n") {
		c.fail(path, value, "a name without spaces or slashes")
	}
}

// address requires an IP address and port. An empty value is valid unless
// required is set.
func (c *checker) address(path, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(path, value, "an IP address and port")
	}
}

// addresses validates each address of a list.
func (c *checker) addresses(path string, values []string) {
	for i, v := range values {
		c.address(fmt.Sprintf("%s[%d]", path, i), v, true)
	}
}

// count requires a count from 0 to most. 0 selects the default.
func (c *checker) count(path string, value, most int) {
	if value < 0 || value > most {
		c.fail(path, fmt.Sprint(value), fmt.Sprintf("1 to %d", most))
	}
}

// interval requires a duration from minInterval to maxInterval. 0 selects the
// default.
func (c *checker) interval(path string, value time.Duration) {
	if value != 0 && (value < minInterval || value > maxInterval) {
		c.fail(path, value.String(), fmt.Sprintf("%v to %v", minInterval, maxInterval))
	}
}

// logLevel requires a known log level or an empty value.
func (c *checker) logLevel(value string) {
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, value) {
		c.fail("log_level", value, "one of debug, info, warn, error")
	}
}

// tls requires all three file names if the section is present.
func (c *checker) tls(t *TLS) {
	if t == nil {
		return
	}
	if t.CA == "" {
		c.fail("tls.ca", "", "a file name")
	}
	if t.Cert == "" {
		c.fail("tls.cert", "", "a file name")
	}
	if t.Key == "" {
		c.fail("tls.key", "", "a file name")
	}
}

// lineNumbers maps the path of each field in the document to its line number.
// It returns an empty map for malformed YAML.
func lineNumbers(data []byte) map[string]int {
	found := make(map[string]int)
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil || len(root.Content) == 0 {
		return found
	}
	collectLineNumbers(root.Content[0], "", found)
	return found
}

// collectLineNumbers records the line numbers of a YAML node and its
// descendants in found.
func collectLineNumbers(node *yaml.Node, path string, found map[string]int) {
	found[path] = node.Line
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			key := node.Content[i].Value
			collectLineNumbers(node.Content[i+1], strings.TrimPrefix(path+"."+key, "."), found)
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			collectLineNumbers(item, fmt.Sprintf("%s[%d]", path, i), found)
		}
	}
}

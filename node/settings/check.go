package settings

import (
	"bytes"
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

// ReadError tells that the settings file could not be read.
type ReadError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("settings %s: %v", e.Path, e.Cause) }

// Unwrap gives the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Load reads a settings file. The error is a *ReadError or a
// *fleet.InvalidError that lists every violation.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &ReadError{Path: path, Cause: err}
	}
	return Parse(data)
}

// Parse checks settings and fills in their defaults. Unknown fields are
// refused. The error is a *fleet.InvalidError that lists every violation.
func Parse(data []byte) (Settings, error) {
	var s Settings
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	violations := decodeViolations(decoder.Decode(&s))
	c := checker{lines: lines(data)}
	c.check(s)
	violations = append(violations, c.violations...)
	if len(violations) > 0 {
		slices.SortStableFunc(violations, func(a, b fleet.Violation) int { return a.Line - b.Line })
		return Settings{}, &fleet.InvalidError{Violations: violations}
	}
	return s.WithDefaults(), nil
}

// decodeViolations turns the YAML library's error into violations.
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

// decodeViolation takes the line out of one of the YAML library's texts.
func decodeViolation(text string) fleet.Violation {
	var line int
	rest := text
	if _, err := fmt.Sscanf(text, "line %d:", &line); err == nil {
		_, rest, _ = strings.Cut(text, ": ")
	}
	return fleet.Violation{Line: line, Value: rest, Expected: "a known field of the right type"}
}

// checker gathers violations of values.
type checker struct {
	// lines gives the line of each path that is present.
	lines      map[string]int
	violations []fleet.Violation
}

// Bounds of settings.
const (
	minInterval = 10 * time.Millisecond
	maxInterval = time.Minute
	maxRequests = 1 << 20
	maxBody     = 64 << 20
	maxRecords  = 1 << 20
)

// check checks every value.
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
	c.within("max_requests", s.MaxRequests, maxRequests)
	c.within("max_body", s.MaxBody, maxBody)
	c.within("records", s.Records, maxRecords)
	c.interval("poll_interval", s.PollInterval)
	c.interval("vm_list_interval", s.VMListInterval)
	if s.DrainTimeout < 0 {
		c.fail("drain_timeout", s.DrainTimeout.String(), "a duration of 0 or more")
	}
	c.level(s.LogLevel)
	c.tls(s.TLS)
}

// fail notes a violation.
func (c *checker) fail(path, value, expected string) {
	c.violations = append(c.violations, fleet.Violation{
		Path: path, Line: c.lines[path], Value: value, Expected: expected,
	})
}

// name checks a required name.
func (c *checker) name(path, value string) {
	if value == "" || strings.ContainsAny(value, " /\t\n") {
		c.fail(path, value, "a name without spaces or slashes")
	}
}

// address checks one address.
func (c *checker) address(path, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(path, value, "an IP address and port")
	}
}

// addresses checks a list of addresses.
func (c *checker) addresses(path string, values []string) {
	for i, v := range values {
		c.address(fmt.Sprintf("%s[%d]", path, i), v, true)
	}
}

// within checks a count; 0 stands for the default.
func (c *checker) within(path string, value, most int) {
	if value < 0 || value > most {
		c.fail(path, fmt.Sprint(value), fmt.Sprintf("1 to %d", most))
	}
}

// interval checks a pace; 0 stands for the default.
func (c *checker) interval(path string, value time.Duration) {
	if value != 0 && (value < minInterval || value > maxInterval) {
		c.fail(path, value.String(), fmt.Sprintf("%v to %v", minInterval, maxInterval))
	}
}

// level checks the log level.
func (c *checker) level(value string) {
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, value) {
		c.fail("log_level", value, "one of debug, info, warn, error")
	}
}

// tls checks that all files of an identity are named.
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

// lines maps each path of a document to its line.
func lines(data []byte) map[string]int {
	found := make(map[string]int)
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil || len(root.Content) == 0 {
		return found
	}
	walk(root.Content[0], "", found)
	return found
}

// walk notes the lines of a node and what it holds.
func walk(node *yaml.Node, path string, found map[string]int) {
	found[path] = node.Line
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			key := node.Content[i].Value
			walk(node.Content[i+1], strings.TrimPrefix(path+"."+key, "."), found)
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			walk(item, fmt.Sprintf("%s[%d]", path, i), found)
		}
	}
}

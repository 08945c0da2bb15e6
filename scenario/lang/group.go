package lang

import (
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// callMany is the command "calls NAME N ADDRESS METHOD PATH OPTION...". It starts
// N concurrent calls of the plain service, the requests NAME-1 to NAME-N. The
// key and the body of each, if given, get the same suffix as its name.
func callMany(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 5 {
		ts.Fatalf("usage: calls name n address method path [option=value...]")
	}
	for i := range number(ts, args[1]) {
		call := append([]string{args[0] + callSuffix(i)}, args[2:]...)
		callPlain(ts, false, addCallSuffix(call, i))
	}
}

// callSuffix returns the suffix of the name, key and body of call i of a group,
// counted from 0.
func callSuffix(i int) string { return "-" + strconv.Itoa(i+1) }

// addCallSuffix returns a copy of a call's arguments in which the key and the
// body have the suffix of call i.
func addCallSuffix(call []string, i int) []string {
	out := slices.Clone(call)
	for at, arg := range out {
		if strings.HasPrefix(arg, "key=") || strings.HasPrefix(arg, "body=") {
			out[at] = arg + callSuffix(i)
		}
	}
	return out
}

// outcomesAre checks that each call of a group, sent again with its key and
// body, gets the outcome.
func outcomesAre(ts *testscript.TestScript, st *scriptState, args []string) error {
	for i := range number(ts, args[0]) {
		if err := outcomeIs(ts, st, addCallSuffix(args[1:], i)); err != nil {
			return mismatch("call %d: %v", i+1, err)
		}
	}
	return nil
}

// answers checks how many calls of some groups have ended with the given field
// values. The error also counts the calls by outcome, reason and status.
func answers(ts *testscript.TestScript, st *scriptState, args []string) error {
	var groups, fields []string
	for _, arg := range args[1:] {
		if strings.Contains(arg, "=") {
			fields = append(fields, arg)
		} else {
			groups = append(groups, arg)
		}
	}
	n, seen := 0, make(map[string]int)
	for name, r := range st.requests {
		group, _, inGroup := strings.Cut(name, "-")
		if !inGroup || !oneOf(group, strings.Join(groups, "|")) {
			continue
		}
		select {
		case <-r.done:
		default:
			seen["in flight"]++
			continue
		}
		got := r.fields()
		seen[got["outcome"]+" "+got["reason"]+" "+got["status"]]++
		if r.hasFields(ts, fields) {
			n++
		}
	}
	if err := checkBound(n, args[0]); err != nil {
		return mismatch("%v, all answers: %v", err, seen)
	}
	return nil
}

// hasFields reports whether an ended request has all the field values, each of
// the form "name=value" or "name=value|value".
func (r *request) hasFields(ts *testscript.TestScript, fields []string) bool {
	got := r.fields()
	for _, arg := range fields {
		field, want, _ := strings.Cut(arg, "=")
		value, known := got[field]
		if !known {
			ts.Fatalf("unknown field %q", field)
		}
		if !oneOf(value, want) {
			return false
		}
	}
	return true
}

// metricSum checks the sum of a counter over several nodes.
func metricSum(ts *testscript.TestScript, st *scriptState, args []string) error {
	sum := 0
	for _, name := range args[2:] {
		n, err := counter(st.process(ts, name), args[0])
		if err != nil {
			return err
		}
		sum += n
	}
	return checkBound(sum, args[1])
}

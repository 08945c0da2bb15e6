package lang

import (
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// callMany is "calls NAME N ADDRESS METHOD PATH OPTION...": it makes N calls of
// the plain service at once, the requests NAME-1 and so on. A key and a body
// get the same ending.
func callMany(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 5 {
		ts.Fatalf("usage: calls name n address method path [option=value...]")
	}
	for i := range number(ts, args[1]) {
		call := append([]string{args[0] + ending(i)}, args[2:]...)
		callPlain(ts, false, ownKey(call, i))
	}
}

// ending is what the names and keys of a group's call i end with.
func ending(i int) string { return "-" + strconv.Itoa(i+1) }

// ownKey gives a call of a group its own key and body.
func ownKey(call []string, i int) []string {
	own := slices.Clone(call)
	for at, arg := range own {
		if strings.HasPrefix(arg, "key=") || strings.HasPrefix(arg, "body=") {
			own[at] = arg + ending(i)
		}
	}
	return own
}

// outcomesAre is a condition: each call of a group, made for each look, has
// the outcome.
func outcomesAre(ts *testscript.TestScript, w *world, args []string) error {
	for i := range number(ts, args[0]) {
		if err := outcomeIs(ts, w, ownKey(args[1:], i)); err != nil {
			return mismatch("call %d: %v", i+1, err)
		}
	}
	return nil
}

// answers is a condition: how many of the calls that groups made have ended
// and have the fields' values.
func answers(ts *testscript.TestScript, w *world, args []string) error {
	var groups, fields []string
	for _, arg := range args[1:] {
		if strings.Contains(arg, "=") {
			fields = append(fields, arg)
		} else {
			groups = append(groups, arg)
		}
	}
	n, seen := 0, make(map[string]int)
	for name, r := range w.requests {
		group, _, many := strings.Cut(name, "-")
		if !many || !oneOf(group, strings.Join(groups, "|")) {
			continue
		}
		select {
		case <-r.done:
		default:
			seen["under way"]++
			continue
		}
		got := r.fields()
		seen[got["outcome"]+" "+got["reason"]+" "+got["status"]]++
		if r.has(ts, fields) {
			n++
		}
	}
	if err := bounded(n, args[0]); err != nil {
		return mismatch("%v: %v", err, seen)
	}
	return nil
}

// has reports whether an ended request has the fields' values.
func (r *request) has(ts *testscript.TestScript, fields []string) bool {
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

// metricSum is a condition: a counter, summed over nodes.
func metricSum(ts *testscript.TestScript, w *world, args []string) error {
	sum := 0
	for _, name := range args[2:] {
		n, err := counter(w.process(ts, name), args[0])
		if err != nil {
			return err
		}
		sum += n
	}
	return bounded(sum, args[1])
}

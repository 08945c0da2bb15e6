package lang

import (
	"github.com/rogpeppe/go-internal/testscript"

	"mimosaarch.example/standin/control"
	"mimosaarch.example/standin/engine"
	"mimosaarch.example/standin/link"
	"mimosaarch.example/standin/plain"
	standin "mimosaarch.example/standin/platform"
)

// engineRuns reads the runs of all engines named.
func engineRuns(ts *testscript.TestScript, w *world, names []string) ([]engine.Run, error) {
	var all []engine.Run
	for _, name := range names {
		var reply engine.Runs
		if err := control.Get(w.process(ts, name).addr, engine.RunsPath, &reply); err != nil {
			return nil, err
		}
		all = append(all, reply.Runs...)
	}
	return all, nil
}

// starts is a condition.
func starts(ts *testscript.TestScript, w *world, args []string) error {
	runs, err := engineRuns(ts, w, args[1:])
	if err != nil {
		return err
	}
	n := 0
	for _, r := range runs {
		n += len(r.Attempts)
	}
	return bounded(n, args[0])
}

// running is a condition.
func running(ts *testscript.TestScript, w *world, args []string) error {
	runs, err := engineRuns(ts, w, args[1:])
	if err != nil {
		return err
	}
	n := 0
	for _, r := range runs {
		if r.State == engine.StateRunning {
			n++
		}
	}
	return bounded(n, args[0])
}

// exact is a condition.
func exact(ts *testscript.TestScript, w *world, args []string) error {
	runs, err := engineRuns(ts, w, args)
	if err != nil {
		return err
	}
	for _, r := range runs {
		if r.Inexact > 0 {
			return mismatch("%s: %d tokens with a layer skipped or repeated", r.Request, r.Inexact)
		}
	}
	return nil
}

// executions is a condition.
func executions(ts *testscript.TestScript, w *world, args []string) error {
	n := 0
	for _, name := range args[2:] {
		var reply plain.Runs
		if err := control.Get(w.process(ts, name).addr, plain.RunsPath, &reply); err != nil {
			return err
		}
		n += reply.Methods[args[0]]
	}
	return bounded(n, args[1])
}

// once is a condition.
func once(ts *testscript.TestScript, w *world, args []string) error {
	times := make(map[string]int)
	for _, name := range args[1:] {
		var reply plain.Runs
		if err := control.Get(w.process(ts, name).addr, plain.RunsPath, &reply); err != nil {
			return err
		}
		for body, n := range reply.Executions {
			times[body] += n
		}
	}
	for body, n := range times {
		if n > 1 {
			return mismatch("%q executed %d times", body, n)
		}
	}
	return bounded(len(times), args[0])
}

// accepted is a condition.
func accepted(ts *testscript.TestScript, _ *world, args []string) error {
	var reply link.Stats
	if err := control.Get(ts.Getenv(args[0]+"_control"), link.StatsPath, &reply); err != nil {
		return err
	}
	return bounded(reply.Accepted, args[1])
}

// stats is a condition.
func stats(ts *testscript.TestScript, w *world, args []string) error {
	var reply map[string]int
	if err := control.Get(w.process(ts, args[0]).addr, standin.StatsPath, &reply); err != nil {
		return err
	}
	return bounded(reply[args[1]], args[2])
}

// serving is "serving VARIABLE ENGINE...": it waits until one of the engines
// runs a request as head, or has run steps as a later stage, and sets the
// variable to its name.
func serving(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: serving variable engine...")
	}
	w := worldOf(ts)
	ts.Check(eventually(func() error {
		for _, name := range args[1:] {
			runs, err := engineRuns(ts, w, []string{name})
			if err != nil {
				return err
			}
			for _, r := range runs {
				if r.State == engine.StateRunning || r.State == "" && r.Steps > 0 {
					ts.Setenv(args[0], name)
					return nil
				}
			}
		}
		return mismatch("none of %v runs a request", args[1:])
	}))
}

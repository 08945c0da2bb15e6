package lang

import (
	"github.com/rogpeppe/go-internal/testscript"

	"mimosaarch.example/standin/control"
	"mimosaarch.example/standin/engine"
	"mimosaarch.example/standin/link"
	"mimosaarch.example/standin/plain"
	standin "mimosaarch.example/standin/platform"
)

// engineRuns returns the runs that the named engines have recorded.
func engineRuns(ts *testscript.TestScript, st *scriptState, names []string) ([]engine.Run, error) {
	var all []engine.Run
	for _, name := range names {
		var reply engine.Runs
		if err := control.Get(st.process(ts, name).addr, engine.RunsPath, &reply); err != nil {
			return nil, err
		}
		all = append(all, reply.Runs...)
	}
	return all, nil
}

// starts checks the number of attempts that engines have started.
func starts(ts *testscript.TestScript, st *scriptState, args []string) error {
	runs, err := engineRuns(ts, st, args[1:])
	if err != nil {
		return err
	}
	n := 0
	for _, r := range runs {
		n += len(r.Attempts)
	}
	return checkBound(n, args[0])
}

// running checks the number of requests that engines run as heads.
func running(ts *testscript.TestScript, st *scriptState, args []string) error {
	runs, err := engineRuns(ts, st, args[1:])
	if err != nil {
		return err
	}
	n := 0
	for _, r := range runs {
		if r.State == engine.StateRunning {
			n++
		}
	}
	return checkBound(n, args[0])
}

// exact checks that no token of any run skipped or repeated a layer.
func exact(ts *testscript.TestScript, st *scriptState, args []string) error {
	runs, err := engineRuns(ts, st, args)
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

// executions checks the number of calls that plain services have executed.
func executions(ts *testscript.TestScript, st *scriptState, args []string) error {
	n := 0
	for _, name := range args[2:] {
		var reply plain.Runs
		if err := control.Get(st.process(ts, name).addr, plain.RunsPath, &reply); err != nil {
			return err
		}
		n += reply.Methods[args[0]]
	}
	return checkBound(n, args[1])
}

// once checks that plain services executed no body twice, and the number of
// distinct bodies.
func once(ts *testscript.TestScript, st *scriptState, args []string) error {
	executed := make(map[string]int)
	for _, name := range args[1:] {
		var reply plain.Runs
		if err := control.Get(st.process(ts, name).addr, plain.RunsPath, &reply); err != nil {
			return err
		}
		for body, n := range reply.Executions {
			executed[body] += n
		}
	}
	for body, n := range executed {
		if n > 1 {
			return mismatch("%q was executed %d times", body, n)
		}
	}
	return checkBound(len(executed), args[0])
}

// accepted checks the number of connections that a link has accepted.
func accepted(ts *testscript.TestScript, _ *scriptState, args []string) error {
	var reply link.Stats
	if err := control.Get(ts.Getenv(args[0]+"_control"), link.StatsPath, &reply); err != nil {
		return err
	}
	return checkBound(reply.Accepted, args[1])
}

// stats checks one of the platform's counts of calls.
func stats(ts *testscript.TestScript, st *scriptState, args []string) error {
	var reply map[string]int
	if err := control.Get(st.process(ts, args[0]).addr, standin.StatsPath, &reply); err != nil {
		return err
	}
	return checkBound(reply[args[1]], args[2])
}

// serving is the command "serving VARIABLE ENGINE...". It waits until one of the
// engines runs a request as head, or has run steps as a later stage, and sets
// the variable to that engine's name.
func serving(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: serving variable engine...")
	}
	st := stateOf(ts)
	ts.Check(eventually(func() error {
		for _, name := range args[1:] {
			runs, err := engineRuns(ts, st, []string{name})
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

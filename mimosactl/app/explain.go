package app

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// explainCommand is "mimosactl explain".
type explainCommand struct {
	env *env
	operatorOptions

	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes"`
		More    []string `positional-arg-name:"ADDR"`
	} `positional-args:"yes"`
}

// explain describes the command.
func (e *env) explain() command {
	return command{
		name:  "explain",
		short: "Show the decisions made for a request",
		long:  "Asks nodes for the decisions that they keep of a request and prints them in the order of time.",
		data:  &explainCommand{env: e},
	}
}

// NoDecisionError tells that no node that was asked keeps a decision of a
// request.
type NoDecisionError struct{ ID ids.Request }

// Error implements error.
func (e *NoDecisionError) Error() string {
	return fmt.Sprintf("no decision of request %s is kept", e.ID)
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	client, err := c.client(c.Args.More)
	if err != nil {
		return err
	}
	defer client.Close()
	id := ids.Request(c.Args.Request)
	answers := askAll(c.Operators, func(address string) ([]router.Decision, error) {
		return client.Explain(address, id)
	})
	steps := merge(answers)
	if len(steps) == 0 {
		if err := errorsOf(answers); err != nil {
			return err
		}
		return &NoDecisionError{ID: id}
	}
	return c.env.print(steps, func(w io.Writer) { printSteps(w, steps) })
}

// merge gives the decisions of all answers in the order of time, each once.
func merge(answers []answer[[]router.Decision]) []router.Decision {
	var steps []router.Decision
	for _, a := range answers {
		for _, step := range a.value {
			if !slices.ContainsFunc(steps, func(s router.Decision) bool { return same(s, step) }) {
				steps = append(steps, step)
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b router.Decision) int { return a.At.Compare(b.At) })
	return steps
}

// same reports whether two nodes gave the same decision.
func same(a, b router.Decision) bool {
	return a.At.Equal(b.At) && a.Step == b.Step && a.Attempt == b.Attempt
}

// clockFormat is how times of decisions are printed.
const clockFormat = "15:04:05.000000"

// printSteps prints decisions as a table.
func printSteps(w io.Writer, steps []router.Decision) {
	fmt.Fprintf(w, "request %s, account %s\n", steps[0].ID, steps[0].Account)
	rows := [][]string{{"TIME", "WAITED", "STEP", "ATTEMPT", "CHAIN", "RESULT", "DETAIL"}}
	for _, s := range steps {
		rows = append(rows, []string{
			s.At.Format(clockFormat),
			s.Wait.Round(time.Microsecond).String(),
			string(s.Step),
			attemptText(s.Attempt),
			chainText(s.Chain),
			strings.TrimSpace(string(s.Outcome) + " " + string(s.Reason)),
			s.Detail,
		})
	}
	table(w, rows)
}

// attemptText gives an attempt's number; empty for none.
func attemptText(attempt ids.Attempt) string {
	if attempt == 0 {
		return "-"
	}
	return fmt.Sprint(int(attempt))
}

// chainText gives a chain in one word.
func chainText(chain []ids.Upstream) string {
	if len(chain) == 0 {
		return "-"
	}
	names := make([]string, len(chain))
	for i, id := range chain {
		names[i] = string(id)
	}
	return strings.Join(names, ">")
}

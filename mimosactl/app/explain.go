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

// explainCommand holds the options of "mimosactl explain".
type explainCommand struct {
	env *env
	operatorOptions

	Args struct {
		Request        string   `positional-arg-name:"REQUEST" required:"yes"`
		ExtraAddresses []string `positional-arg-name:"ADDR"`
	} `positional-args:"yes"`
}

// explain returns the description of the explain command.
func (e *env) explain() command {
	return command{
		name:  "explain",
		short: "Show the decisions made for a request",
		long:  "Queries nodes for the recorded decisions on a request and prints them in order of time.",
		data:  &explainCommand{env: e},
	}
}

// NoDecisionError reports that no queried node or log has a decision on a
// request.
type NoDecisionError struct{ ID ids.Request }

// Error implements error.
func (e *NoDecisionError) Error() string {
	return fmt.Sprintf("no decision on request %s is recorded", e.ID)
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	client, err := c.newClient(c.Args.ExtraAddresses)
	if err != nil {
		return err
	}
	defer client.Close()
	id := ids.Request(c.Args.Request)
	responses := queryAll(c.Operators, func(address string) ([]router.Decision, error) {
		return client.Explain(address, id)
	})
	decisions := mergeDecisions(responses)
	if len(decisions) == 0 {
		if err := joinErrors(responses); err != nil {
			return err
		}
		return &NoDecisionError{ID: id}
	}
	return c.env.print(decisions, func(w io.Writer) { printDecisions(w, decisions) })
}

// mergeDecisions returns the decisions of all responses in order of time, without
// duplicates.
func mergeDecisions(responses []response[[]router.Decision]) []router.Decision {
	var decisions []router.Decision
	for _, r := range responses {
		for _, decision := range r.value {
			if !slices.ContainsFunc(decisions, func(s router.Decision) bool { return sameDecision(s, decision) }) {
				decisions = append(decisions, decision)
			}
		}
	}
	slices.SortStableFunc(decisions, func(a, b router.Decision) int { return a.At.Compare(b.At) })
	return decisions
}

// sameDecision reports whether a and b are the same decision, returned by two
// nodes.
func sameDecision(a, b router.Decision) bool {
	return a.At.Equal(b.At) && a.Step == b.Step && a.Attempt == b.Attempt
}

// clockFormat is the time layout of printed decisions, to the microsecond.
const clockFormat = "15:04:05.000000"

// printDecisions prints a non-empty list of decisions as a table.
func printDecisions(w io.Writer, decisions []router.Decision) {
	fmt.Fprintf(w, "request %s, account %s\n", decisions[0].ID, decisions[0].Account)
	rows := [][]string{{"TIME", "WAITED", "STEP", "ATTEMPT", "CHAIN", "RESULT", "DETAIL"}}
	for _, d := range decisions {
		rows = append(rows, []string{
			d.At.Format(clockFormat),
			d.Wait.Round(time.Microsecond).String(),
			string(d.Step),
			attemptText(d.Attempt),
			chainText(d.Chain),
			strings.TrimSpace(string(d.Outcome) + " " + string(d.Reason)),
			d.Detail,
		})
	}
	table(w, rows)
}

// attemptText returns the number of an attempt, or "-" if there is none.
func attemptText(attempt ids.Attempt) string {
	if attempt == 0 {
		return "-"
	}
	return fmt.Sprint(int(attempt))
}

// chainText returns the upstreams of a chain joined by ">", or "-" if it is empty.
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

package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// columnPadding is the number of spaces between columns.
const columnPadding = 2

// Text writes the report as readable text, without the series.
func (r Report) Text(w io.Writer) {
	fmt.Fprintf(w, "requests      %d sent, %d not sent, %d returns\n", r.Sent, r.NotSent, r.Retries)
	fmt.Fprintf(w, "outcomes      %s, wrong answers %d\n", counts(r.Outcomes), r.Wrong)
	if len(r.Reasons) > 0 {
		fmt.Fprintf(w, "reasons       %s\n", counts(r.Reasons))
	}
	fmt.Fprintf(w, "delivered     %.1f tokens/s over %.1f s, %.1f of them in complete answers\n", r.Delivered, r.WindowSeconds, r.Goodput)
	if r.Bound > 0 {
		fmt.Fprintf(w, "of the bound  %.3f of %.1f tokens/s, %.3f in complete answers\n", r.Share, r.Bound, r.GoodputShare)
	}
	if r.Recovery != nil {
		r.Recovery.text(w)
	}
	r.latencyTable(w)
	if len(r.Accounts) > 1 {
		r.accountTable(w)
	}
}

// text writes the lines on the recovery.
func (o *Recovery) text(w io.Writer) {
	result := fmt.Sprintf("back after %.2f s", o.RecoverySeconds)
	if !o.Recovered {
		result = "not back before the end"
	}
	fmt.Fprintf(w, "recovery      %s at 95%% of %.1f tokens/s, failure at %.2f s, last window below ended %.2f s after it\n",
		result, o.TargetRate, o.FailureSeconds, o.LastBelowSeconds)
	fmt.Fprintf(w, "around it     %.1f tokens/s before, %.1f after, lowest %.1f; windows below: %.2f of those before, %.2f after\n",
		o.RateBefore, o.RateAfter, o.LowestRate, o.BelowShareBefore, o.BelowShareAfter)
	fmt.Fprintf(w, "after it      %d requests cut off, %d not complete\n", o.CutOff, o.NotComplete)
}

// latencyTable writes a table with a row for each kind of latency.
func (r Report) latencyTable(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(t, "ms\tcount\tmean\tp50\tp95\tp99\tmax")
	for _, row := range []struct {
		name string
		Latency
	}{
		{"first token", r.FirstToken},
		{"token interval", r.TokenInterval},
		{"whole answer", r.ModelAnswer},
		{"plain call", r.PlainCall},
		{"send delay", r.SendDelay},
	} {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n",
			row.name, row.Count, row.Mean, row.P50, row.P95, row.P99, row.Max)
	}
	_ = t.Flush()
}

// accountTable writes a table with a row for each account.
func (r Report) accountTable(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(t, "account\tsent\tcomplete\ttokens")
	for i, a := range r.Accounts {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\n", i, a.Sent, a.Complete, a.Tokens)
	}
	_ = t.Flush()
}

// counts formats counts, sorted by name, as "a 1, b 2"; "none" if there are
// none.
func counts[K ~string](m map[K]int) string {
	if len(m) == 0 {
		return "none"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	return strings.Join(parts, ", ")
}

package fleet

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	profileText = "kind: profile\nname: evening\n"
	serviceText = `kind: service
name: booking-api
type: plain
profile: evening
routes:
  - {method: GET, prefix: /slots}
  - {method: POST, prefix: /bookings}
  - {method: POST, prefix: /search, idempotent: true}
`
	accountsText = `kind: accounts
name: shard-0
accounts:
  - {id: school-1, key_sha256: ` + hash + `, rate: 40}
`
	hash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)

func parse(t *testing.T, text string) Document {
	t.Helper()
	doc, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func TestParseFillsDefaults(t *testing.T) {
	profile := parse(t, profileText).(Profile)
	want := DefaultProfile()
	want.Name = "evening"
	if diff := cmp.Diff(want, profile); diff != "" {
		t.Error(diff)
	}
	if profile.Deadline.D() != time.Minute || profile.Queue.Length != 256 || profile.Retry.BudgetRatio != 0.2 {
		t.Errorf("wrong defaults: %+v", profile)
	}
	service := parse(t, serviceText).(Service)
	var idempotent []bool
	for _, route := range service.Routes {
		idempotent = append(idempotent, *route.Idempotent)
	}
	if diff := cmp.Diff([]bool{true, false, true}, idempotent); diff != "" {
		t.Error(diff)
	}
	account := parse(t, accountsText).(Accounts).Accounts[0]
	if account.Burst != 80 || account.Weight != 1 {
		t.Errorf("wrong defaults: %+v", account)
	}
}

func TestKey(t *testing.T) {
	want := map[string]string{
		profileText:  "config/profile/evening",
		serviceText:  "config/service/booking-api",
		accountsText: "config/account/shard-0",
	}
	for text, key := range want {
		if got := Key(parse(t, text)); got != key {
			t.Errorf("got %s, want %s", got, key)
		}
	}
}

func TestParseReportsEveryViolation(t *testing.T) {
	_, err := Parse([]byte(`kind: profile
name: -bad
strategy: random
colour: red
queue:
  length: 3.7
  per_account: 0
retry: {attempts: many, budget_ratio: .nan}
deadline: 5
stall_after: 48h
stall_after: 1s
claim_retention: 1s
health: 3
`))
	want := []Violation{
		{"name", 2, "-bad", nameExpected},
		{"strategy", 3, "random", "one of flow, round_robin, two_choices, least_loaded"},
		{"", 4, "colour", "one of the fields change, claim_retention, connect_timeout, deadline, health, kind, name, queue, retry, stall_after, strategy, token_interval"},
		{"queue.length", 6, "3.7", "a whole number from 1 to 1048576"},
		{"queue.per_account", 7, "0", "a whole number from 1 to 1048576"},
		{"retry.attempts", 8, "many", "a whole number from 1 to 100"},
		{"retry.budget_ratio", 8, ".nan", "a number from 0.001 to 10"},
		{"deadline", 9, "5", "a duration such as 1.5s, from 1ms to 24h0m0s"},
		{"stall_after", 10, "48h", "a duration such as 1.5s, from 1ms to 24h0m0s"},
		{"stall_after", 11, "stall_after", "the field only once"},
		{"claim_retention", 12, "1s", "a duration such as 1.5s, from 1m0s to 744h0m0s"},
		{"health", 13, "3", "a mapping with the fields eject_for, failures, floor_percent, quarantine_after, quarantine_for"},
	}
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an *InvalidError", err)
	}
	if diff := cmp.Diff(want, invalid.Violations); diff != "" {
		t.Error(diff)
	}
}

func TestParseRefuses(t *testing.T) {
	twice := accountsText + "  - {id: school-1, key_sha256: " + hash + ", rate: 0}\n"
	cases := map[string][]string{
		"":                                  {""},
		"a: [":                              {""},
		"- 1":                               {"kind"},
		"kind: fleet":                       {"kind"},
		profileText + "---\n" + profileText: {""},
		"kind: profile":                     {"name"},
		"kind: profile\nname: &x a\nchange: *x\n":           {"change"},
		"kind: service\nname: a\ntype: model\nprofile: p\n": {"layers"},
		serviceText + "layers: 4\n":                         {"layers"},
		serviceText + "  - {method: GET, prefix: /slots}\n": {"routes[3]"},
		serviceText + "  - {method: FETCH, prefix: 'a?'}\n": {"routes[3].method", "routes[3].prefix"},
		twice: {"accounts[1].rate", "accounts[1].id", "accounts[1].key_sha256"},
		accountsText + "  - {id: b, services: [], rate: -1}":       {"accounts[1].services", "accounts[1].rate", "accounts[1].key_sha256"},
		profileText + strings.Repeat("#", MaxDocumentBytes) + "\n": {""},
	}
	for text, paths := range cases {
		_, err := Parse([]byte(text))
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%.60q: got %v, want an *InvalidError", text, err)
			continue
		}
		var got []string
		for _, v := range invalid.Violations {
			got = append(got, v.Path)
		}
		if diff := cmp.Diff(paths, got); diff != "" {
			t.Errorf("%.60q: %s", text, diff)
		}
	}
}

func TestWithChangeKeepsTheDocument(t *testing.T) {
	for _, text := range []string{profileText, serviceText, accountsText} {
		doc := parse(t, text)
		changed := doc.WithChange("c-1")
		if changed.ChangeID() != "c-1" || doc.ChangeID() != "" {
			t.Errorf("got %q and %q", changed.ChangeID(), doc.ChangeID())
		}
		if diff := cmp.Diff(doc, changed.WithChange("")); diff != "" {
			t.Error(diff)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{profileText, serviceText, accountsText, "a: &x [*x]", "kind: {}", "? [a]: b"} {
		f.Add([]byte(seed))
	}
	f.Add([]byte("kind: profile\nname: 1e5\nchange: 0x1F\ndeadline: 1h2m3.5s\nretry: {budget_ratio: 1e-2, attempts: +7}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err != nil {
			return
		}
		text, err := Encode(doc)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if diff := cmp.Diff(doc, again); diff != "" {
			t.Error(diff)
		}
	})
}

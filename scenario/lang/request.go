package lang

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/client"
	"mimosaarch.example/standin/engine"
)

// Names of the services that scripts use.
const (
	modelService = "mimosa-drafts"
	plainService = "booking-api"
)

// defaultAccount is the bearer key of the first account of config/accounts.yaml.
const defaultAccount = "key-school"

// request is one request sent in the background.
type request struct {
	cancel context.CancelFunc
	// done is closed once the answer has ended.
	done   chan struct{}
	result client.Result
	err    error
	// tokens counts those received so far.
	tokens atomic.Int64
	// whole is the text that a whole answer has; empty of a plain call.
	whole string
	// prefixes holds the length of whole after each count of tokens.
	prefixes []int
	asked    int
}

// options reads "name=value" arguments; those named in defaults only.
func options(ts *testscript.TestScript, args []string, defaults map[string]string) map[string]string {
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if _, known := defaults[name]; !ok || !known {
			ts.Fatalf("unknown option %q", arg)
		}
		defaults[name] = value
	}
	return defaults
}

// number reads a whole number.
func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// begin runs send in the background as the request of a name.
func begin(ts *testscript.TestScript, name string, r *request, send func(ctx context.Context) (client.Result, error)) {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done = make(chan struct{})
	w := worldOf(ts)
	if w.requests[name] != nil {
		ts.Fatalf("request %q stands twice", name)
	}
	w.requests[name] = r
	go func() {
		defer close(r.done)
		r.result, r.err = send(ctx)
	}()
}

// chat is "chat NAME ADDRESS OPTION...": it sends a model request in the
// background. Options: tokens, prompt, key, account, deadline_ms, priority.
func chat(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: chat name address [option=value...]")
	}
	o := options(ts, args[2:], map[string]string{
		"tokens": "24", "prompt": args[0], "key": "", "account": defaultAccount, "deadline_ms": "0", "priority": "0",
	})
	messages := []engineapi.Message{{Role: "user", Content: o["prompt"]}}
	r := &request{asked: number(ts, o["tokens"])}
	r.expect(messages)
	priority := number(ts, o["priority"])
	deadline := time.Duration(number(ts, o["deadline_ms"])) * time.Millisecond
	c := client.New(client.Options{Address: args[1], Key: o["account"]})
	begin(ts, args[0], r, func(ctx context.Context) (client.Result, error) {
		defer c.Close()
		return c.Chat(ctx, client.Chat{
			Model:     modelService,
			Messages:  messages,
			MaxTokens: r.asked,
			Key:       o["key"],
			Priority:  priority,
			Deadline:  deadline,
			OnToken:   func(int, string) { r.tokens.Add(1) },
		})
	})
}

// expect notes the text of the whole answer.
func (r *request) expect(messages []engineapi.Message) {
	r.prefixes = append(r.prefixes, 0)
	for i := range r.asked {
		r.whole += engine.Text(messages, i)
		r.prefixes = append(r.prefixes, len(r.whole))
	}
}

// plainSender makes the call of the plain service that METHOD PATH OPTION...
// describe. Options: body, key, account, deadline_ms.
func plainSender(ts *testscript.TestScript, address string, args []string) func(context.Context) (client.Result, error) {
	o := options(ts, args[2:], map[string]string{"body": "", "key": "", "account": defaultAccount, "deadline_ms": "0"})
	plain := client.PlainCall{
		Service:  plainService,
		Method:   args[0],
		Path:     args[1],
		Body:     []byte(o["body"]),
		Key:      o["key"],
		Deadline: time.Duration(number(ts, o["deadline_ms"])) * time.Millisecond,
	}
	return func(ctx context.Context) (client.Result, error) {
		c := client.New(client.Options{Address: address, Key: o["account"]})
		defer c.Close()
		return c.Plain(ctx, plain)
	}
}

// callPlain is "call NAME ADDRESS METHOD PATH OPTION...": it calls the plain
// service in the background.
func callPlain(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: call name address method path [option=value...]")
	}
	begin(ts, args[0], &request{}, plainSender(ts, args[1], args[2:]))
}

// hangUp is "hangup NAME": it closes the connection of a model request.
func hangUp(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: hangup name")
	}
	r := worldOf(ts).request(ts, args[0])
	r.cancel()
	<-r.done
}

// answer is "answer NAME FIELD=VALUE...": it waits for the end of a request
// and checks its fields: outcome, reason, status, tokens, body (contained),
// retry (yes or no), error (yes: the connection broke). Whatever came of a
// model request's text must be the start of the right text, token by token;
// of a complete one, all of it. "one|two" allows either value.
func answer(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: answer name [field=value...]")
	}
	r := worldOf(ts).request(ts, args[0])
	select {
	case <-r.done:
	case <-time.After(waitAtMost):
		ts.Fatalf("%s: no end of the answer after %d tokens", args[0], r.tokens.Load())
	}
	ts.Logf("%s: status %d, %s %s %q, %d tokens, error %v, body %s",
		args[0], r.result.Status, r.result.Outcome, r.result.Reason, r.result.Message, r.result.Tokens, r.err, r.result.Body)
	ts.Check(r.checkText())
	got := r.fields()
	for _, arg := range args[1:] {
		field, want, _ := strings.Cut(arg, "=")
		if field == "body" {
			if !strings.Contains(string(r.result.Body), want) {
				ts.Fatalf("%s: body %q lacks %q", args[0], r.result.Body, want)
			}
			continue
		}
		value, known := got[field]
		if !known {
			ts.Fatalf("unknown field %q", field)
		}
		if !oneOf(value, want) {
			ts.Fatalf("%s: %s is %q, not %q", args[0], field, value, want)
		}
	}
}

// fields words what an ended request's fields are.
func (r *request) fields() map[string]string {
	return map[string]string{
		"outcome": string(r.result.Outcome),
		"reason":  string(r.result.Reason),
		"status":  strconv.Itoa(r.result.Status),
		"tokens":  strconv.Itoa(r.result.Tokens),
		"retry":   yesNo(r.result.RetryAfter > 0),
		"error":   yesNo(r.err != nil),
	}
}

// oneOf reports whether value is among those that "|" separates.
func oneOf(value, allowed string) bool {
	for _, a := range strings.Split(allowed, "|") {
		if value == a {
			return true
		}
	}
	return false
}

// yesNo words a truth value.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// checkText checks that the tokens received are the first of the right text,
// each once and in order, and that a complete answer has them all.
func (r *request) checkText() error {
	if r.whole == "" {
		return nil
	}
	if r.result.Tokens >= len(r.prefixes) {
		return mismatch("%d tokens, only %d asked for", r.result.Tokens, r.asked)
	}
	want := r.whole[:r.prefixes[r.result.Tokens]]
	if r.result.Text != want {
		return mismatch("wrong text after %d tokens:\n got %q\nwant %q", r.result.Tokens, r.result.Text, want)
	}
	if r.result.Outcome == outcome.Complete && r.result.Tokens != r.asked {
		return mismatch("complete after %d of %d tokens", r.result.Tokens, r.asked)
	}
	return nil
}

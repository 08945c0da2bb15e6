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

// Names of the model service and the plain service of the scripts.
const (
	modelService = "mimosa-drafts"
	plainService = "booking-api"
)

// defaultAccountKey is the bearer key of the first account of
// config/accounts.yaml.
const defaultAccountKey = "key-school"

// request is a request that is sent in the background.
type request struct {
	cancel context.CancelFunc
	// done is closed once the answer has ended. After that result and err are
	// those of the client.
	done   chan struct{}
	result client.Result
	err    error
	// tokens is the number of tokens received so far.
	tokens atomic.Int64
	// wantText is the text of a complete answer; empty for a plain call.
	wantText string
	// prefixLens[n] is the length of the first n tokens of wantText.
	prefixLens []int
	// wantTokens is the number of tokens requested.
	wantTokens int
}

// options parses "name=value" arguments. It sets their values in defaults and
// returns it. A name that is not in defaults fails the script.
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

// number parses an integer. Invalid text fails the script.
func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// startRequest runs send in the background as the request with a name, which the
// script must not have used before.
func startRequest(ts *testscript.TestScript, name string, r *request, send func(ctx context.Context) (client.Result, error)) {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done = make(chan struct{})
	st := stateOf(ts)
	if st.requests[name] != nil {
		ts.Fatalf("a request %q already exists", name)
	}
	st.requests[name] = r
	go func() {
		defer close(r.done)
		r.result, r.err = send(ctx)
	}()
}

// chat is the command "chat NAME ADDRESS OPTION...". It sends a model request in
// the background. Options: tokens, prompt, key (the idempotency key), account
// (the bearer key), deadline_ms, priority.
func chat(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: chat name address [option=value...]")
	}
	o := options(ts, args[2:], map[string]string{
		"tokens": "24", "prompt": args[0], "key": "", "account": defaultAccountKey, "deadline_ms": "0", "priority": "0",
	})
	messages := []engineapi.Message{{Role: "user", Content: o["prompt"]}}
	r := &request{wantTokens: number(ts, o["tokens"])}
	r.setWantText(messages)
	priority := number(ts, o["priority"])
	deadline := time.Duration(number(ts, o["deadline_ms"])) * time.Millisecond
	c := client.New(client.Options{Address: args[1], Key: o["account"]})
	startRequest(ts, args[0], r, func(ctx context.Context) (client.Result, error) {
		defer c.Close()
		return c.Chat(ctx, client.Chat{
			Model:     modelService,
			Messages:  messages,
			MaxTokens: r.wantTokens,
			Key:       o["key"],
			Priority:  priority,
			Deadline:  deadline,
			OnToken:   func(int, string) { r.tokens.Add(1) },
		})
	})
}

// setWantText sets the text that a complete answer to the messages has, and the
// lengths of its prefixes.
func (r *request) setWantText(messages []engineapi.Message) {
	r.prefixLens = append(r.prefixLens, 0)
	for i := range r.wantTokens {
		r.wantText += engine.Text(messages, i)
		r.prefixLens = append(r.prefixLens, len(r.wantText))
	}
}

// plainSender returns a function that calls the plain service as the arguments
// METHOD PATH OPTION... say. Options: body, key, account, deadline_ms.
func plainSender(ts *testscript.TestScript, address string, args []string) func(context.Context) (client.Result, error) {
	o := options(ts, args[2:], map[string]string{"body": "", "key": "", "account": defaultAccountKey, "deadline_ms": "0"})
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

// callPlain is the command "call NAME ADDRESS METHOD PATH OPTION...". It calls the
// plain service in the background.
func callPlain(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: call name address method path [option=value...]")
	}
	startRequest(ts, args[0], &request{}, plainSender(ts, args[1], args[2:]))
}

// hangUp is the command "hangup NAME". It closes the connection of a request and
// waits until the request has ended.
func hangUp(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: hangup name")
	}
	r := stateOf(ts).request(ts, args[0])
	r.cancel()
	<-r.done
}

// answer is the command "answer NAME FIELD=VALUE...". It waits for the end of a
// request and checks fields of the result: outcome, reason, status, tokens, body
// (a substring of it), retry (whether a delay before a retry was advised) and error
// (whether the connection failed); the last two are yes or no. VALUE may be
// alternatives such as "one|two". It also checks the text received for a model
// request, as checkText does.
func answer(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: answer name [field=value...]")
	}
	r := stateOf(ts).request(ts, args[0])
	select {
	case <-r.done:
	case <-time.After(maxWait):
		ts.Fatalf("%s: the answer has not ended after %d tokens", args[0], r.tokens.Load())
	}
	ts.Logf("%s: status %d, %s %s %q, %d tokens, error %v, body %s",
		args[0], r.result.Status, r.result.Outcome, r.result.Reason, r.result.Message, r.result.Tokens, r.err, r.result.Body)
	ts.Check(r.checkText())
	got := r.fields()
	for _, arg := range args[1:] {
		field, want, _ := strings.Cut(arg, "=")
		if field == "body" {
			if !strings.Contains(string(r.result.Body), want) {
				ts.Fatalf("%s: body %q does not contain %q", args[0], r.result.Body, want)
			}
			continue
		}
		value, known := got[field]
		if !known {
			ts.Fatalf("unknown field %q", field)
		}
		if !oneOf(value, want) {
			ts.Fatalf("%s: %s is %q, want %q", args[0], field, value, want)
		}
	}
}

// fields returns the fields of an ended request by name, as scripts write them.
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

// oneOf reports whether value is one of the alternatives in allowed, which are
// separated by "|".
func oneOf(value, allowed string) bool {
	for _, a := range strings.Split(allowed, "|") {
		if value == a {
			return true
		}
	}
	return false
}

// yesNo returns "yes" or "no".
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// checkText checks that the tokens received are the first ones of the expected
// text, each once and in order, and that a complete answer has all of them.
func (r *request) checkText() error {
	if r.wantText == "" {
		return nil
	}
	if r.result.Tokens >= len(r.prefixLens) {
		return mismatch("got %d tokens, but requested %d", r.result.Tokens, r.wantTokens)
	}
	want := r.wantText[:r.prefixLens[r.result.Tokens]]
	if r.result.Text != want {
		return mismatch("wrong text after %d tokens:\n got %q\nwant %q", r.result.Tokens, r.result.Text, want)
	}
	if r.result.Outcome == outcome.Complete && r.result.Tokens != r.wantTokens {
		return mismatch("outcome is complete after %d of %d tokens", r.result.Tokens, r.wantTokens)
	}
	return nil
}

package app

import (
	"context"
	"fmt"
	"io"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/client"
)

// sendCommand holds the options of "mimosactl send".
type sendCommand struct {
	env *env

	Node       string        `long:"node" env:"MIMOSACTL_NODE" required:"yes" value-name:"ADDR" description:"a node's IP address and port for callers"`
	AccountKey string        `long:"account-key" env:"MIMOSACTL_ACCOUNT_KEY" description:"bearer key of the client account; prefer the environment variable"`
	Service    string        `long:"service" required:"yes" description:"the service to call"`
	Key        string        `long:"idempotency-key" description:"idempotency key of the request"`
	Deadline   time.Duration `long:"deadline" description:"deadline sent with the request, as the remaining time"`
	Timeout    time.Duration `long:"timeout" default:"60s" description:"timeout of the whole request"`

	MaxTokens int    `long:"max-tokens" default:"32" description:"maximum tokens of a model's answer"`
	Priority  int    `long:"priority" description:"priority of a model request, 0 to 9"`
	System    string `long:"system" description:"system message before the prompt"`

	Path   string `long:"path" description:"path of a plain request; sends a plain request instead of a model request"`
	Method string `long:"method" default:"GET" description:"method of a plain request"`
	Body   string `long:"body" description:"body of a plain request"`

	Args struct {
		Prompt string `positional-arg-name:"PROMPT"`
	} `positional-args:"yes"`
}

// send returns the description of the send command.
func (e *env) send() command {
	return command{
		name:  "send",
		short: "Send one request",
		long: "Sends a model request with a prompt, or a plain request with --path. Prints the answer as it arrives, " +
			"and then the outcome. Does not retry.",
		data: &sendCommand{env: e},
	}
}

// OutcomeError reports that a request had an outcome other than complete.
type OutcomeError struct {
	Result client.Result
	// Cause is the transport error; nil if a response was received.
	Cause error
}

// Error implements error.
func (e *OutcomeError) Error() string {
	text := fmt.Sprintf("%s %s %s", e.Result.Outcome, e.Result.Reason, e.Result.Message)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns Cause.
func (e *OutcomeError) Unwrap() error { return e.Cause }

// sendResult is the JSON form of a request's result.
type sendResult struct {
	Request      ids.Request     `json:"request"`
	Status       int             `json:"status"`
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason,omitempty"`
	Message      string          `json:"message,omitempty"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	Tokens       int             `json:"tokens,omitempty"`
	Text         string          `json:"text,omitempty"`
	Body         string          `json:"body,omitempty"`
	Error        string          `json:"error,omitempty"`
}

// Execute implements flags.Commander.
func (c *sendCommand) Execute([]string) error {
	if c.Path == "" && c.Args.Prompt == "" {
		return &UsageError{Message: "neither PROMPT nor --path is given"}
	}
	caller := client.New(client.Options{Address: c.Node, Key: c.AccountKey, Timeout: c.Timeout})
	defer caller.Close()
	result, err := c.call(caller)
	if printErr := c.show(result, err); printErr != nil {
		return printErr
	}
	if err != nil || result.Outcome != outcome.Complete {
		return &OutcomeError{Result: result, Cause: err}
	}
	return nil
}

// call sends the request. In text output, it prints the tokens of a model's answer
// as they arrive.
func (c *sendCommand) call(caller *client.Client) (client.Result, error) {
	if c.Path != "" {
		return caller.Plain(context.Background(), client.PlainCall{
			Service:  ids.Service(c.Service),
			Method:   c.Method,
			Path:     c.Path,
			Body:     []byte(c.Body),
			Key:      c.Key,
			Deadline: c.Deadline,
		})
	}
	chat := client.Chat{
		Model:     ids.Service(c.Service),
		Messages:  c.messages(),
		MaxTokens: c.MaxTokens,
		Priority:  c.Priority,
		Key:       c.Key,
		Deadline:  c.Deadline,
	}
	if !c.env.json() {
		chat.OnToken = func(_ int, text string) { fmt.Fprint(c.env.stdout, text) }
	}
	return caller.Chat(context.Background(), chat)
}

// messages returns the chat messages: the system message, if any, and the prompt.
func (c *sendCommand) messages() []engineapi.Message {
	var out []engineapi.Message
	if c.System != "" {
		out = append(out, engineapi.Message{Role: "system", Content: c.System})
	}
	return append(out, engineapi.Message{Role: "user", Content: c.Args.Prompt})
}

// show prints the result; err is the transport error, if any.
func (c *sendCommand) show(r client.Result, err error) error {
	s := sendResult{
		Request:      r.Request,
		Status:       r.Status,
		Outcome:      r.Outcome,
		Reason:       r.Reason,
		Message:      r.Message,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Tokens:       r.Tokens,
		Text:         r.Text,
		Body:         string(r.Body),
	}
	if err != nil {
		s.Error = err.Error()
	}
	return c.env.print(s, func(w io.Writer) {
		if s.Body != "" || s.Text != "" {
			fmt.Fprintln(w, s.Body)
		}
		fmt.Fprintf(w, "outcome %s, status %d, tokens %d, request %s\n", s.Outcome, s.Status, s.Tokens, s.Request)
	})
}

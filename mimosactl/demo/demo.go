// Package demo runs a node with a stand-in platform, stand-in engines and plain
// services in one process. It sends a model request (a draft) and a plain request
// (a booking) and prints how they were routed.
package demo

import (
	"context"
	"embed"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/loadgen/client"
	"mimosaarch.example/node"
	"mimosaarch.example/node/settings"
	standins "mimosaarch.example/standin/fleet"
)

// documents holds the configuration documents that the demo publishes.
//
//go:embed config/*.yaml
var documents embed.FS

// Names, addresses and limits of the demo.
const (
	vmName         = "szeged-a-1"
	zoneName       = "szeged-a"
	anyPort        = "127.0.0.1:0"
	accountKey     = "demo-key"
	maxDraftTokens = 24
	readyTimeout   = 10 * time.Second
)

// IncompleteAnswerError reports that a request of the demo had an outcome other
// than complete.
type IncompleteAnswerError struct {
	Request string
	Result  client.Result
}

// Error implements error.
func (e *IncompleteAnswerError) Error() string {
	return fmt.Sprintf("%s: outcome %s, reason %s %s", e.Request, e.Result.Outcome, e.Result.Reason, e.Result.Message)
}

// Run runs the demo and prints its progress to out and the node's log to log. It
// stops everything before it returns. Errors: *IncompleteAnswerError,
// *node.NotReadyError, or an error from the stand-ins, the node or the client.
func Run(ctx context.Context, out io.Writer, log zerolog.Logger) error {
	d := &demo{out: out, log: log}
	defer d.close()
	steps := []func(context.Context) error{
		d.startStandins,
		d.publish,
		d.startNode,
		d.waitReady,
		d.draft,
		d.booking,
		d.explain,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// demo is the state of one run.
type demo struct {
	out      io.Writer
	log      zerolog.Logger
	standins *standins.Fleet
	node     *node.Node
	client   *client.Client
	requests []ids.Request
}

// close stops the client, the node and the stand-ins that are running.
func (d *demo) close() {
	if d.client != nil {
		d.client.Close()
	}
	if d.node != nil {
		d.node.Close()
	}
	if d.standins != nil {
		d.standins.Close()
	}
}

// startStandins starts the stand-in platform, three chains of engines and the
// booking services.
func (d *demo) startStandins(context.Context) error {
	running, err := standins.Start(standins.Small())
	if err != nil {
		return err
	}
	d.standins = running
	fmt.Fprintf(d.out, "stand-ins: a platform, %d engines and %d plain upstreams in 3 zones\n",
		len(running.Engines()), len(running.Plains()))
	return nil
}

// publish writes the configuration to the platform.
func (d *demo) publish(context.Context) error {
	files, err := documents.ReadDir("config")
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := documents.ReadFile("config/" + file.Name())
		if err != nil {
			return err
		}
		doc, err := fleet.Parse(data)
		if err != nil {
			return err
		}
		version := d.standins.Platform.Put(fleet.Key(doc), data)
		fmt.Fprintf(d.out, "published %s %s as version %d\n", doc.DocumentKind(), doc.DocumentName(), version)
	}
	return nil
}

// startNode starts the node and adds it to the platform's list of VMs.
func (d *demo) startNode(context.Context) error {
	s := settings.Settings{
		VM:       vmName,
		Zone:     zoneName,
		Listen:   settings.Listen{Callers: anyPort, Operators: anyPort},
		Platform: []string{d.standins.Platform.Addr()},
	}
	n, err := node.Start(s.WithDefaults(), d.log)
	if err != nil {
		return err
	}
	d.node = n
	d.client = client.New(client.Options{Address: n.CallerAddr(), Key: accountKey})
	d.standins.Publish(platformapi.VM{
		ID: vmName, Address: n.CallerAddr(), Zone: zoneName,
		Role: platformapi.RoleEntry, State: platformapi.StateLive,
	})
	fmt.Fprintf(d.out, "node %s takes callers on %s\n", vmName, n.CallerAddr())
	return nil
}

// waitReady waits until the node has configuration and upstreams.
func (d *demo) waitReady(ctx context.Context) error {
	ctx, done := context.WithTimeout(ctx, readyTimeout)
	defer done()
	return d.node.WaitReady(ctx)
}

// draft sends a model request and prints the tokens as they arrive.
func (d *demo) draft(ctx context.Context) error {
	fmt.Fprint(d.out, "\ndraft: ")
	result, err := d.client.Chat(ctx, client.Chat{
		Model:     standins.ModelService,
		Messages:  []engineapi.Message{{Role: "user", Content: "Summarise the slots of Ms Nagy on Thursday evening."}},
		MaxTokens: maxDraftTokens,
		OnToken:   func(_ int, text string) { fmt.Fprint(d.out, text) },
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\n%s: %d tokens of request %s\n", result.Outcome, result.Tokens, result.Request)
	return d.requireComplete("draft", result)
}

// booking sends a plain request that must be executed at most once.
func (d *demo) booking(ctx context.Context) error {
	result, err := d.client.Plain(ctx, client.PlainCall{
		Service: standins.PlainService,
		Method:  "POST",
		Path:    "/bookings",
		Body:    []byte(`{"teacher":"Nagy","slot":"17:10","parent":"Kovács"}`),
		Key:     "booking-1",
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\nbooking: status %d, %s\n%s: request %s\n", result.Status, result.Body, result.Outcome, result.Request)
	return d.requireComplete("booking", result)
}

// requireComplete records the request for explain if its outcome is complete, and
// returns an *IncompleteAnswerError otherwise.
func (d *demo) requireComplete(request string, result client.Result) error {
	if result.Outcome != outcome.Complete {
		return &IncompleteAnswerError{Request: request, Result: result}
	}
	d.requests = append(d.requests, result.Request)
	return nil
}

// explain prints the decisions made for each request.
func (d *demo) explain(context.Context) error {
	fmt.Fprintln(d.out, "\nhow they were routed:")
	for _, id := range d.requests {
		fmt.Fprintf(d.out, "%s\n", id)
		for _, step := range d.node.Explain(id) {
			fmt.Fprintf(d.out, "  %8v  %-9s attempt %d  %v %s%s\n",
				step.Wait.Round(time.Microsecond), step.Step, step.Attempt, step.Chain, step.Outcome, step.Reason)
		}
	}
	return nil
}

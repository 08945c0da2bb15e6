package engine

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
)

// Limits of a stageClient.
const (
	// maxQueuedSteps limits the steps that wait to be sent; further steps fail.
	maxQueuedSteps = 4096
	// maxStepsPerCall limits the steps sent in one call.
	maxStepsPerCall = 128
)

// Messages of step errors, which reach the caller in the error event.
const (
	messageQueueFull = "step queue full"
	messageNoAnswer  = "no answer of the stage"
)

// stageClients holds one client per address of a later stage. It is safe for
// concurrent use.
type stageClients struct {
	timeout time.Duration
	done    <-chan struct{}

	mu        sync.Mutex
	byAddress map[string]*stageClient
}

// newStageClients returns an empty set. timeout limits connecting, writing and
// reading of each client; all clients stop when done is closed.
func newStageClients(timeout time.Duration, done <-chan struct{}) *stageClients {
	return &stageClients{timeout: timeout, done: done, byAddress: make(map[string]*stageClient)}
}

// get returns the client for an address, and creates and starts it on first use.
func (s *stageClients) get(address string) *stageClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.byAddress[address]
	if !ok {
		c = newStageClient(address, s.timeout)
		s.byAddress[address] = c
		go c.run(s.done)
	}
	return c
}

// pendingStep is a queued or sent step that waits for its reply. reply has room for
// one value, so that sending on it never blocks.
type pendingStep struct {
	call  stepCall
	reply chan stepReply
}

// stageClient sends steps to one address over a single connection. It combines the
// steps that are queued during a call into the next call.
type stageClient struct {
	http  *fasthttp.HostClient
	uri   string
	queue chan pendingStep
}

// newStageClient returns a client that connects on its first call.
func newStageClient(address string, timeout time.Duration) *stageClient {
	return &stageClient{
		http: &fasthttp.HostClient{
			Addr:                      address,
			MaxConns:                  1,
			ReadTimeout:               timeout,
			WriteTimeout:              timeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      func(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, timeout) },
		},
		uri:   "http://" + address + stepPath,
		queue: make(chan pendingStep, maxQueuedSteps),
	}
}

// step runs one step on the engine at the client's address. It returns the time until
// the result reaches the next stage. The error has CodeCancelled if ctx ends first,
// or the code of the failure: a full queue and a missing answer are CodeStageFailed.
func (c *stageClient) step(ctx context.Context, engine string, call stepCall) (time.Duration, *stepError) {
	pending := pendingStep{call: call, reply: make(chan stepReply, 1)}
	select {
	case c.queue <- pending:
	default:
		return 0, &stepError{Code: engineapi.CodeStageFailed, Engine: engine, Message: messageQueueFull}
	}
	select {
	case reply := <-pending.reply:
		if reply.Code == "" {
			return time.Duration(reply.WaitUs) * time.Microsecond, nil
		}
		if reply.Engine == "" {
			return 0, &stepError{Code: reply.Code, Engine: engine, Message: messageNoAnswer}
		}
		return 0, &stepError{Code: reply.Code, Engine: reply.Engine}
	case <-ctx.Done():
		return 0, &stepError{Code: engineapi.CodeCancelled}
	}
}

// run sends the queued steps, one call at a time, until done is closed.
func (c *stageClient) run(done <-chan struct{}) {
	for {
		select {
		case first := <-c.queue:
			c.send(c.collectBatch(first))
		case <-done:
			c.http.CloseIdleConnections()
			return
		}
	}
}

// collectBatch returns first and the steps queued at present, at most
// maxStepsPerCall together.
func (c *stageClient) collectBatch(first pendingStep) []pendingStep {
	batch := []pendingStep{first}
	for len(batch) < maxStepsPerCall {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// send makes one call for a batch and delivers the replies. Without a usable answer
// every step of the batch fails with CodeStageFailed.
func (c *stageClient) send(batch []pendingStep) {
	calls := stepBatch{Steps: make([]stepCall, len(batch))}
	for i, pending := range batch {
		calls.Steps[i] = pending.call
	}
	replies, ok := c.call(calls)
	for i, pending := range batch {
		if ok {
			pending.reply <- replies.Replies[i]
			continue
		}
		pending.reply <- stepReply{Code: engineapi.CodeStageFailed}
	}
}

// call makes one call. It returns false if the call failed or the answer does not
// have one reply per step.
func (c *stageClient) call(calls stepBatch) (stepReplies, bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	body, err := json.Marshal(calls)
	if err != nil {
		return stepReplies{}, false
	}
	req.SetRequestURI(c.uri)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := c.http.Do(req, resp); err != nil {
		return stepReplies{}, false
	}
	var replies stepReplies
	if err := json.Unmarshal(resp.Body(), &replies); err != nil {
		return stepReplies{}, false
	}
	return replies, len(replies.Replies) == len(calls.Steps)
}

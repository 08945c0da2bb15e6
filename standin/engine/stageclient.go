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

// Bounds of the calls to one next stage.
const (
	// stepQueue is the steps that wait; further ones fail.
	stepQueue = 4096
	// stepsPerCall is the steps sent in one call.
	stepsPerCall = 128
)

// Messages of step errors.
const (
	messageQueueFull = "step queue full"
	messageNoAnswer  = "no answer of the stage"
)

// stageClients holds the connection to each next stage, by address.
type stageClients struct {
	timeout time.Duration
	done    <-chan struct{}

	mu        sync.Mutex
	byAddress map[string]*stageClient
}

// newStageClients makes none yet; all end with done.
func newStageClients(timeout time.Duration, done <-chan struct{}) *stageClients {
	return &stageClients{timeout: timeout, done: done, byAddress: make(map[string]*stageClient)}
}

// get gives the client for an address.
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

// pendingStep is one step that waits for its reply; reply holds one.
type pendingStep struct {
	call  stepCall
	reply chan stepReply
}

// stageClient sends steps to one next stage over one connection, those that
// wait together in one call.
type stageClient struct {
	http  *fasthttp.HostClient
	uri   string
	queue chan pendingStep
}

// newStageClient makes a client without a connection yet.
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
		queue: make(chan pendingStep, stepQueue),
	}
}

// step runs one step on an engine at the client's address and gives the time
// until its result reaches the next stage. ctx ends the wait.
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

// run sends what waits until done is closed.
func (c *stageClient) run(done <-chan struct{}) {
	for {
		select {
		case first := <-c.queue:
			c.send(c.gather(first))
		case <-done:
			c.http.CloseIdleConnections()
			return
		}
	}
}

// gather takes the steps that wait, at most stepsPerCall.
func (c *stageClient) gather(first pendingStep) []pendingStep {
	batch := []pendingStep{first}
	for len(batch) < stepsPerCall {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// send makes one call and hands out its replies; without an answer every step
// of the batch fails.
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

// call makes one call; false when it brought no usable answer.
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

package upstream

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
)

// pollConns is the most connections kept to one engine: one in use, and one
// that a silent one was given up for.
const pollConns = 2

// Poller asks engines for their reports of themselves, over connections that it
// keeps: engines are asked several times a second, and opening a connection
// costs more than the question. Asking twice is harmless, so the library's own
// retry on a connection that was closed meanwhile may stay on. Any goroutine may
// call any method.
type Poller struct {
	timeout time.Duration
	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
}

// NewPoller makes a Poller that gives each poll at most the timeout.
func NewPoller(timeout time.Duration) *Poller {
	return &Poller{timeout: timeout, clients: make(map[string]*fasthttp.HostClient)}
}

// Fetch gets the report of the engine at an IP address and port. Errors:
// *CallError, *StatusError, *AnswerError.
func (p *Poller) Fetch(ctx context.Context, address string) (engineapi.LoadReport, error) {
	client, err := p.client(address)
	if err != nil {
		return engineapi.LoadReport{}, &CallError{Address: address, Cause: err}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI("http://" + address + engineapi.LoadPath)
	deadline := time.Now().Add(p.timeout)
	if at, ok := ctx.Deadline(); ok && at.Before(deadline) {
		deadline = at
	}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		// A connection without an answer may have gone silent for good.
		client.CloseIdleConnections()
		return engineapi.LoadReport{}, &CallError{Address: address, Cause: err}
	}
	return readReport(resp)
}

// readReport reads an engine's answer to a poll.
func readReport(resp *fasthttp.Response) (engineapi.LoadReport, error) {
	var report engineapi.LoadReport
	if resp.StatusCode() != fasthttp.StatusOK {
		return report, statusError(resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), &report); err != nil {
		return report, &InvalidReplyError{Cause: err}
	}
	if report.Engine == "" {
		return report, &InvalidReplyError{}
	}
	return report, nil
}

// client gives the client of an address, made at its first use.
func (p *Poller) client(address string) (*fasthttp.HostClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c, nil
	}
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	c := &fasthttp.HostClient{
		Addr:                address,
		MaxConns:            pollConns,
		ReadTimeout:         p.timeout,
		WriteTimeout:        p.timeout,
		MaxResponseBodySize: maxControl,
	}
	p.clients[address] = c
	return c, nil
}

// Retain forgets every engine but those at the given addresses.
func (p *Poller) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !addresses[address] {
			c.CloseIdleConnections()
			delete(p.clients, address)
		}
	}
}

package upstream

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/hostclient"
	"mimosaarch.example/core/engineapi"
)

// maxPollConns is the maximum number of connections to one engine. Two allow a new
// poll while another still waits on a connection that does not respond.
const maxPollConns = 2

// Poller fetches the load reports of engines. It keeps connections open, because
// engines are polled several times a second and opening a connection costs more
// than the poll itself. A poll may safely be repeated, so the HTTP client may retry
// it on a connection that the engine closed in the meantime. Methods may be called
// from any goroutine.
type Poller struct {
	timeout time.Duration
	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
}

// NewPoller returns a Poller that limits each poll to the timeout.
func NewPoller(timeout time.Duration) *Poller {
	return &Poller{timeout: timeout, clients: make(map[string]*fasthttp.HostClient)}
}

// Fetch returns the load report of the engine at an IP address and port. It ends at
// the deadline of ctx or after the timeout, whichever is earlier. Errors:
// *CallError, *StatusError, *InvalidReplyError.
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
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		// A connection without a response may be dead: the next poll must not use it.
		client.CloseIdleConnections()
		return engineapi.LoadReport{}, &CallError{Address: address, Cause: err}
	}
	return readReport(resp)
}

// readReport decodes the response to a poll.
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

// client returns the HTTP client for an address and creates it on first use.
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
		MaxConns:            maxPollConns,
		ReadTimeout:         p.timeout,
		WriteTimeout:        p.timeout,
		MaxResponseBodySize: maxControlBytes,
		Transport:           hostclient.Transport{},
	}
	p.clients[address] = c
	return c, nil
}

// Retain closes the idle connections of all engines except those at the given
// addresses, and drops their clients.
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

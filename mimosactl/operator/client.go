// Package operator is a client for nodes' operator ports. It queries a node's
// status and the decisions that the node has recorded for a request.
package operator

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/hostclient"
	"mimosaarch.example/adapter/peer/identity"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
	"mimosaarch.example/node"
)

// Paths of the operator port.
const (
	statusPath  = node.StatusPath
	explainPath = node.ExplainPath
)

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 64 << 20

// CallError reports that an operator port returned no usable response.
type CallError struct {
	Address string
	// Status is the HTTP status; 0 if no response was received.
	Status int
	// Cause is the transport or decoding error; nil if only the status is
	// unexpected.
	Cause error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("%s: status %d", e.Address, e.Status)
}

// Unwrap returns Cause.
func (e *CallError) Unwrap() error { return e.Cause }

// TLSFiles names the PEM files for operator ports with TLS: the CA certificate of
// the fleet, and the client certificate with its key. If all are empty, the client
// uses plain HTTP.
type TLSFiles struct{ CA, Cert, Key string }

// tlsConfig returns the TLS client configuration; nil for plain HTTP. The error is
// an *identity.FileError.
func (f TLSFiles) tlsConfig() (*tls.Config, error) {
	if f == (TLSFiles{}) {
		return nil, nil
	}
	id, err := identity.Load(f.CA, f.Cert, f.Key)
	if err != nil {
		return nil, err
	}
	return id.Client, nil
}

// Client calls operator ports. It is safe for concurrent use.
type Client struct {
	client  *fasthttp.Client
	scheme  string
	timeout time.Duration
}

// New returns a Client that limits each call to timeout. The error is an
// *identity.FileError.
func New(files TLSFiles, timeout time.Duration) (*Client, error) {
	config, err := files.tlsConfig()
	if err != nil {
		return nil, err
	}
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	return &Client{
		client:  &fasthttp.Client{TLSConfig: config, MaxResponseBodySize: maxResponseBytes, Transport: hostclient.Transport{}},
		scheme:  scheme,
		timeout: timeout,
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Status returns the status of the node at address. The error is a *CallError.
func (c *Client) Status(address string) (node.Status, error) {
	var status node.Status
	_, err := c.get(address, statusPath, &status)
	return status, err
}

// Explain returns the decisions that the node at address has recorded for a
// request; empty if it has none. The error is a *CallError.
func (c *Client) Explain(address string, id ids.Request) ([]router.Decision, error) {
	var decisions []router.Decision
	found, err := c.get(address, explainPath+string(id), &decisions)
	if !found || err != nil {
		return nil, err
	}
	return decisions, nil
}

// get requests a path and decodes the JSON response into value. A 404 returns
// found as false and no error, except for statusPath, where it is a *CallError.
func (c *Client) get(address, path string, value any) (found bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.scheme + address + path)
	if err := c.client.DoTimeout(req, resp, c.timeout); err != nil {
		return false, &CallError{Address: address, Cause: err}
	}
	status := resp.StatusCode()
	if status == fasthttp.StatusNotFound && path != statusPath {
		return false, nil
	}
	if status != fasthttp.StatusOK {
		return false, &CallError{Address: address, Status: status}
	}
	if err := json.Unmarshal(resp.Body(), value); err != nil {
		return false, &CallError{Address: address, Status: status, Cause: err}
	}
	return true, nil
}

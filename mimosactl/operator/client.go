// Package operator asks nodes' operator ports for their status and for the
// decisions they keep of a request.
package operator

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

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

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 64 << 20

// CallError tells that an operator port gave no usable answer.
type CallError struct {
	Address string
	// Status is the HTTP status; 0 when no answer came.
	Status int
	// Cause is the failure of the transport or decoder; may be nil.
	Cause error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("%s: status %d", e.Address, e.Status)
}

// Unwrap gives the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// TLSFiles names the PEM files for nodes whose operator port wants TLS. All empty
// means plain TCP.
type TLSFiles struct{ CA, Cert, Key string }

// config makes the TLS settings; nil for plain TCP. The error is an
// *identity.FileError.
func (k TLSFiles) config() (*tls.Config, error) {
	if k == (TLSFiles{}) {
		return nil, nil
	}
	own, err := identity.Load(k.CA, k.Cert, k.Key)
	if err != nil {
		return nil, err
	}
	return own.Client, nil
}

// Client calls operator ports. Any goroutine may call any method.
type Client struct {
	client  *fasthttp.Client
	scheme  string
	timeout time.Duration
}

// New makes a Client whose calls take at most timeout. The error is an
// *identity.FileError.
func New(keys TLSFiles, timeout time.Duration) (*Client, error) {
	config, err := keys.config()
	if err != nil {
		return nil, err
	}
	scheme := "http://"
	if config != nil {
		scheme = "https://"
	}
	return &Client{
		client:  &fasthttp.Client{TLSConfig: config, MaxResponseBodySize: maxAnswer},
		scheme:  scheme,
		timeout: timeout,
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Status asks a node for its status. The error is a *CallError.
func (c *Client) Status(address string) (node.Status, error) {
	var status node.Status
	_, err := c.get(address, statusPath, &status)
	return status, err
}

// Explain asks a node for the decisions it keeps of a request; none when it
// keeps none. The error is a *CallError.
func (c *Client) Explain(address string, id ids.Request) ([]router.Decision, error) {
	var steps []router.Decision
	found, err := c.get(address, explainPath+string(id), &steps)
	if !found || err != nil {
		return nil, err
	}
	return steps, nil
}

// get reads one JSON value; found is false for a 404, which is an error only
// for a fixed path.
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

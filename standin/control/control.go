// Package control calls the control side of the stand-ins over HTTP. It is for
// tests, benches and the demo.
package control

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// Path is the control path that every stand-in has; it takes its package's
// Control by POST.
const Path = "/control"

// callTimeout bounds one control call.
const callTimeout = 5 * time.Second

// CallError tells why a control call failed. Status is zero when there was no
// answer.
type CallError struct {
	Method, URL string
	Status      int
	Body        string
	Err         error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s %s: %v", e.Method, e.URL, e.Err)
	}
	return fmt.Sprintf("%s %s: status %d: %s", e.Method, e.URL, e.Status, e.Body)
}

// Unwrap gives the cause, nil when there was an answer.
func (e *CallError) Unwrap() error { return e.Err }

// Post sends a Control value to the stand-in at addr (host:port). The error is
// a *CallError. It may be called from any goroutine, as all of this package.
func Post(addr string, value any) error {
	return Call(fasthttp.MethodPost, addr, Path, value, nil)
}

// Get reads a control page into reply, a pointer. The error is a *CallError.
func Get(addr, path string, reply any) error {
	return Call(fasthttp.MethodGet, addr, path, nil, reply)
}

// Put replaces a control page. The error is a *CallError.
func Put(addr, path string, value any) error {
	return Call(fasthttp.MethodPut, addr, path, value, nil)
}

// Call makes one call with a JSON body (nil: none) and decodes the reply (nil:
// dropped). The error is a *CallError.
func Call(method, addr, path string, value, reply any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	url := "http://" + addr + path
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	req.SetConnectionClose()
	if value != nil {
		body, err := json.Marshal(value)
		if err != nil {
			return &CallError{Method: method, URL: url, Err: err}
		}
		req.SetBody(body)
	}
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return &CallError{Method: method, URL: url, Err: err}
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return &CallError{Method: method, URL: url, Status: status, Body: string(resp.Body())}
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		return &CallError{Method: method, URL: url, Err: err}
	}
	return nil
}

// Package control is an HTTP client for the control API of the stand-ins, which
// injects faults and reads back what the stand-ins recorded. Tests, benchmarks and
// the demo use it. All functions are safe for concurrent use.
package control

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// Path is the control path common to all stand-ins. It accepts a POST of the
// Control value of the stand-in's package.
const Path = "/control"

// callTimeout limits one control call, from connecting to the end of the response.
const callTimeout = 5 * time.Second

// CallError reports a control call that failed. Either Err holds the error of
// sending the request or decoding the response, or Status and Body hold a response
// with a status other than 200.
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

// Unwrap returns Err, which is nil if the stand-in answered with an error status.
func (e *CallError) Unwrap() error { return e.Err }

// Post sends a Control value to the stand-in at addr (host:port). The error is a
// *CallError.
func Post(addr string, value any) error {
	return Call(fasthttp.MethodPost, addr, Path, value, nil)
}

// Get decodes the JSON at path of the stand-in at addr (host:port) into reply, a
// pointer. The error is a *CallError.
func Get(addr, path string, reply any) error {
	return Call(fasthttp.MethodGet, addr, path, nil, reply)
}

// Put sends value as JSON to path of the stand-in at addr (host:port), replacing
// what is stored there. The error is a *CallError.
func Put(addr, path string, value any) error {
	return Call(fasthttp.MethodPut, addr, path, value, nil)
}

// Call makes one call to the stand-in at addr (host:port). It sends value as a JSON
// body unless value is nil, and decodes the JSON response into reply unless reply is
// nil. The error is a *CallError, also for any status other than 200.
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

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Names of the deployment that the cases play.
const (
	host   = "book.example"
	key    = "key-of-school-1"
	tenant = "school-1"
)

// clientDeadline is the deadline of a plain request on the sheet of the site.
const clientDeadline = 2500 * time.Millisecond

// newClient returns a client that opens a new connection for each attempt and repeats nothing.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: clientDeadline + time.Second}
}

// newID returns an id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt to a node and records it.
func send(rec *record, c *http.Client, n *node, method, path, body string) (status int, id string, answerBody string, header http.Header, err error) {
	id = newID()
	req, err := http.NewRequest(method, fmt.Sprintf("http://127.0.0.1:%d%s", n.front, path), strings.NewReader(body))
	if err != nil {
		return 0, id, "", nil, err
	}
	req.GetBody = nil // the library must not repeat the attempt
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	req.Header.Set("X-Key", key)
	rec.add("client sends %s %s %s to %s", id, method, path, n.name)
	resp, err := c.Do(req)
	if err != nil {
		rec.add("client gets no answer to %s: %v", id, err)
		return 0, id, "", nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	rec.add("client gets %d for %s, seal %q, %d bytes %.60q, whole %t", resp.StatusCode, id, resp.Header.Get("X-Response-Seal"), len(data), data, err == nil)
	return resp.StatusCode, id, string(data), resp.Header, err
}

// plainConfig is the configuration of a plain service with an unsafe and a safe route.
func plainConfig(service string) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2,
			"service": service, "maxAttempts": attempts, "authExempt": false,
		}
	}
	return map[string]any{
		"version":  3,
		"routes":   []any{route("book", "/book/", "unsafe", 1), route("slots", "/slots/", "safe", 2)},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{key}}},
	}
}

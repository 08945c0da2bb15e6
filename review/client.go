package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// result is one client attempt and what the client saw.
type result struct {
	sentAt, endedAt     time.Time
	id, node, key, path string
	status              int
	seal, body, err     string
}

// results collects the attempts of all clients.
type results struct {
	mu   sync.Mutex
	list []result
}

func (r *results) add(x result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *results) all() []result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]result(nil), r.list...)
}

// clients send requests at a steady rate. Each worker keeps one connection to one node.
type clients struct {
	host     string
	deadline time.Duration
	results  *results
	next     atomic.Int64
}

// run sends requests to a node with a key until ctx ends, one each interval.
func (c *clients) run(ctx context.Context, n *node, method, path, key string, interval time.Duration) {
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConns:      1,
		IdleConnTimeout:   10 * time.Second,
		DisableKeepAlives: false,
	}
	client := &http.Client{Transport: transport, Timeout: c.deadline + time.Second}
	defer transport.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.results.add(c.send(client, n, method, path, key))
	}
}

// send makes one attempt, which is not repeated.
func (c *clients) send(client *http.Client, n *node, method, path, key string) result {
	id := fmt.Sprintf("9c41d07b%08x", c.next.Add(1))
	body := ""
	if method == http.MethodPost {
		body = "booking " + id
	}
	out := result{sentAt: time.Now(), id: id, node: n.name, key: key, path: path}
	// Without GetBody the transport never repeats the request by itself.
	req, err := http.NewRequest(method, "http://"+n.front+path, io.NopCloser(strings.NewReader(body)))
	must(err)
	req.ContentLength = int64(len(body))
	if body == "" {
		req.Body = nil
	}
	req.Host = c.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		out.err, out.endedAt = err.Error(), time.Now()
		return out
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	out.status, out.seal, out.body, out.endedAt = resp.StatusCode, resp.Header.Get("X-Response-Seal"), string(data), time.Now()
	if err != nil {
		out.err = err.Error()
	}
	return out
}

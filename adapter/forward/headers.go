package forward

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mimosaarch.example/decide/routing"
)

// perConnection reports whether a header concerns one connection only, or the
// framing, which each connection has anew.
func perConnection(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect":
		return true
	}
	return false
}

// isEnd reports whether an error is the end of a connection.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// prepare makes the part of the request's head that all sends share. Headers
// that the node sets itself are dropped, whoever sent them.
func (x *exchange) prepare() {
	h := &x.req.Header
	for token := range strings.SplitSeq(string(h.Peek("Connection")), ",") {
		if token = strings.TrimSpace(token); token != "" && !x.isOwnHeader(token) {
			h.Del(token)
		}
	}
	out := append(x.head[:0], h.Method()...)
	out = append(out, ' ')
	out = append(out, h.RequestURI()...)
	out = append(out, " HTTP/1.1\r\n"...)
	for name, value := range h.All() {
		key := string(name)
		if perConnection(key) || x.isOwnHeader(key) {
			continue
		}
		out = appendHeader(out, key, string(value))
	}
	if x.account != nil {
		out = appendHeader(out, x.server.opts.Headers.Account, string(x.account.Name))
	}
	if len(x.req.Body()) > 0 || h.IsPost() || h.IsPut() || h.IsPatch() {
		out = appendHeader(out, "Content-Length", strconv.Itoa(len(x.req.Body())))
	}
	x.head = out
}

// isOwnHeader reports whether the node sets or removes a header itself.
func (x *exchange) isOwnHeader(name string) bool {
	h := &x.server.opts.Headers
	for _, own := range [...]string{h.DeadlineMs, h.Key, h.Account, h.ExpectUpstream, h.Stages, h.Priority, h.LastEventID} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

// appendHeader adds a header line.
func appendHeader(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// priority levels of engines.
const (
	levelMost = 9
)

// level turns a rank, 0 first, into an engine's level.
func level(rank int) int { return min(max(rank, 0), levelMost) }

// retryAfter spreads the time to come back, so that callers refused together do
// not return together.
func (x *exchange) retryAfter(base time.Duration) time.Duration {
	return base + time.Duration(x.draw()*float64(base)/2)
}

// parseTokens reads the size of a request: prompt tokens, and the tokens that
// the answer should have by the caller's hint, or at most.
func (x *exchange) parseTokens() (prompt, answer float64) {
	h := &x.server.opts.Headers
	first, second, _ := strings.Cut(string(x.req.Header.Peek(h.TokenCounts)), ",")
	prompt = parseFloat(first)
	answer = parseFloat(second)
	if hint := parseFloat(string(x.req.Header.Peek(h.LengthHint))); hint > 0 {
		answer = hint
	}
	return prompt, answer
}

// parseFloat reads a number; 0 stands for one that is missing or malformed,
// which callers of this take as unknown.
func parseFloat(s string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || v < 0 {
		return 0
	}
	return v
}

// parseLoad reads an upstream's load: how many requests it works on and queues.
func parseLoad(value string) (requests int, ok bool) {
	running, rest, _ := strings.Cut(value, ",")
	waiting, _, _ := strings.Cut(rest, ",")
	for _, part := range [...]string{running, waiting} {
		n, err := strconv.ParseUint(strings.TrimSpace(part), 10, loadBits)
		if err != nil {
			return 0, false
		}
		requests += int(n)
	}
	return requests, true
}

// loadBits bounds the counts of an upstream's load.
const loadBits = 31

// keyOf finds the client account of a request; ok is false if it needs a key
// and names none that is known.
func (x *exchange) keyOf(table *routing.Table) (account *routing.Account, ok bool) {
	if x.route.AuthExempt || !table.RequiresKey() {
		return nil, true
	}
	account = table.AccountByKey(string(x.req.Header.Peek(x.server.opts.Headers.Key)))
	return account, account != nil
}

package forward

import (
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/prefix"
	"mimosaarch.example/decide/routing"
)

// isHopByHop reports whether a header applies to one connection only or to the message
// framing. Such headers are not forwarded.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect":
		return true
	}
	return false
}

// isConnClosed reports whether an error means that the peer closed or reset the
// connection.
func isConnClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// prepareHead builds the part of the request head that all sends share. Headers that
// the node manages itself are dropped, whoever sent them.
func (x *exchange) prepareHead() {
	h := &x.req.Header
	for token := range strings.SplitSeq(string(h.Peek("Connection")), ",") {
		if token = strings.TrimSpace(token); token != "" && !x.isManagedHeader(token) {
			h.Del(token)
		}
	}
	out := append(x.head[:0], h.Method()...)
	out = append(out, ' ')
	out = append(out, h.RequestURI()...)
	out = append(out, " HTTP/1.1\r\n"...)
	for name, value := range h.All() {
		key := string(name)
		if isHopByHop(key) || x.isManagedHeader(key) {
			continue
		}
		out = appendHeader(out, key, string(value))
	}
	if x.account != nil {
		out = appendHeader(out, x.server.opts.Headers.Account, string(x.account.Name))
	}
	if x.body.Len() > 0 || h.IsPost() || h.IsPut() || h.IsPatch() {
		out = appendHeader(out, "Content-Length", strconv.Itoa(x.body.Len()))
	}
	x.head = out
}

// isManagedHeader reports whether the node sets or removes a header itself.
func (x *exchange) isManagedHeader(name string) bool {
	h := &x.server.opts.Headers
	for _, managed := range [...]string{h.DeadlineMs, h.Key, h.Account, h.ExpectUpstream, h.Stages, h.Priority, h.LastEventID} {
		if strings.EqualFold(name, managed) {
			return true
		}
	}
	return false
}

// appendHeader appends a header line.
func appendHeader(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// Priority levels of engines are 0 to maxPriorityLevel.
const (
	maxPriorityLevel = 9
)

// priorityLevel limits the rank of a request, 0 first, to the priority levels of
// engines.
func priorityLevel(rank int) int { return min(max(rank, 0), maxPriorityLevel) }

// jitterRetryAfter adds up to half of base at random, so that callers refused together
// do not come back together.
func (s *Server) jitterRetryAfter(base time.Duration) time.Duration {
	draw, _ := s.draw()
	return base + time.Duration(draw*float64(base)/2)
}

// parseTokens reads the number of prompt tokens of a request, and the number of output
// tokens: the caller's length hint, or else its maximum. 0 means unknown.
func (x *exchange) parseTokens() (prompt, output float64) {
	h := &x.server.opts.Headers
	first, second, _ := strings.Cut(string(x.req.Header.Peek(h.TokenCounts)), ",")
	prompt = parseFloat(first)
	output = parseFloat(second)
	if hint := parseFloat(string(x.req.Header.Peek(h.LengthHint))); hint > 0 {
		output = hint
	}
	return prompt, output
}

// maxPromptParts bounds the shared parts of one prompt that are told apart.
const maxPromptParts = 32

// parsePromptParts returns the parts of the prompt that other requests may share: all but the
// last. Entries without an ID are left out.
func (x *exchange) parsePromptParts() []ids.PromptPart {
	var parts []ids.PromptPart
	for _, part := range x.parsePromptPrefix() {
		if !slices.Contains(parts, part.ID) {
			parts = append(parts, part.ID)
		}
	}
	return parts
}

// parsePromptPrefix returns the same parts with their numbers of tokens, in order. A part
// may occur more than once.
func (x *exchange) parsePromptPrefix() []prefix.Part {
	entries := strings.Split(string(x.req.Header.Peek(x.server.opts.Headers.PromptParts)), ",")
	var parts []prefix.Part
	for _, entry := range entries[:min(len(entries)-1, maxPromptParts)] {
		id, tokens, _ := strings.Cut(strings.TrimSpace(entry), ":")
		if id != "" {
			parts = append(parts, prefix.Part{ID: ids.PromptPart(id), Tokens: parseFloat(tokens)})
		}
	}
	return parts
}

// maxNumber bounds the numbers in a request's headers. They are added to the loads of engines
// and subtracted again, where larger ones would round off the loads of other requests.
const maxNumber = 1e9

// parseFloat parses a number. It returns 0, which means unknown, if the number is
// missing, malformed, negative, NaN or above maxNumber.
func parseFloat(s string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(v >= 0 && v <= maxNumber) {
		return 0
	}
	return v
}

// parseLoad parses the load header of an upstream and returns the number of its running
// and queued requests.
func parseLoad(value string) (requests int, ok bool) {
	running, rest, _ := strings.Cut(value, ",")
	queued, _, _ := strings.Cut(rest, ",")
	for _, part := range [...]string{running, queued} {
		n, err := strconv.ParseUint(strings.TrimSpace(part), 10, loadCountBits)
		if err != nil {
			return 0, false
		}
		requests += int(n)
	}
	return requests, true
}

// loadCountBits is the bit size of the counts in a load header; larger counts are
// malformed.
const loadCountBits = 31

// authenticate returns the account whose key the request carries, nil if the route
// needs no key. ok is false if a key is needed and is missing or unknown.
func (x *exchange) authenticate(table *routing.Table) (account *routing.Account, ok bool) {
	if x.route.AuthExempt || !table.RequiresKey() {
		return nil, true
	}
	account = table.AccountByKey(string(x.req.Header.Peek(x.server.opts.Headers.Key)))
	return account, account != nil
}

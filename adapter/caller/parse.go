package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// Headers of requests.
const (
	// IdempotencyKeyHeader holds a key that the caller repeats when it retries
	// a request.
	IdempotencyKeyHeader = "Idempotency-Key"
	// TimeoutHeader holds the time until the request's deadline in
	// milliseconds.
	TimeoutHeader = "Mimosa-Timeout-Ms"
)

// maxIdempotencyKeyBytes limits an idempotency key, and maxBearerKeyBytes a
// bearer key.
const (
	maxIdempotencyKeyBytes = 255
	maxBearerKeyBytes      = 4096
)

// bearerScheme is the only accepted scheme of the Authorization header.
const bearerScheme = "bearer"

// parse parses and validates a request and creates its call.
func (x *exchange) parse(ctx *fasthttp.RequestCtx) (router.RequestArrived, *outcome.Error) {
	arrived := router.RequestArrived{ID: x.id}
	if err := x.parseHeaders(ctx, &arrived); err != nil {
		return arrived, err
	}
	path := string(ctx.Path())
	if path == ChatPath && ctx.IsPost() {
		return arrived, x.parseChat(ctx, &arrived)
	}
	if service, rest, ok := splitServicePath(path); ok {
		return arrived, x.parsePlain(ctx, &arrived, service, rest)
	}
	return arrived, outcome.Refuse(outcome.UnknownService, "no such path or method", 0)
}

// parseHeaders parses the bearer key, the idempotency key and the timeout.
func (x *exchange) parseHeaders(ctx *fasthttp.RequestCtx, arrived *router.RequestArrived) *outcome.Error {
	var err *outcome.Error
	if arrived.KeySHA256, err = bearerHash(ctx); err != nil {
		return err
	}
	if arrived.IdempotencyKey, err = idempotencyKey(ctx); err != nil {
		return err
	}
	arrived.Deadline, err = x.deadline(ctx)
	return err
}

// singleHeader returns the value of a header, or "" if it is absent. It refuses
// a repeated header.
func singleHeader(ctx *fasthttp.RequestCtx, name string) (string, *outcome.Error) {
	values := ctx.Request.Header.PeekAll(name)
	if len(values) > 1 {
		return "", badRequest("header " + name + " came more than once")
	}
	if len(values) == 0 {
		return "", nil
	}
	return string(values[0]), nil
}

// bearerHash returns the SHA-256 of the bearer key in hexadecimal, or "" if
// there is no Authorization header.
func bearerHash(ctx *fasthttp.RequestCtx) (string, *outcome.Error) {
	value, err := singleHeader(ctx, fasthttp.HeaderAuthorization)
	if err != nil || value == "" {
		return "", err
	}
	scheme, key, _ := strings.Cut(value, " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, bearerScheme) || key == "" || len(key) > maxBearerKeyBytes {
		return "", outcome.Refuse(outcome.Unauthorized, "a bearer key is needed", 0)
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:]), nil
}

// idempotencyKey returns the idempotency key, or "" if there is none.
func idempotencyKey(ctx *fasthttp.RequestCtx) (string, *outcome.Error) {
	key, err := singleHeader(ctx, IdempotencyKeyHeader)
	if err != nil {
		return "", err
	}
	if len(ctx.Request.Header.PeekAll(IdempotencyKeyHeader)) == 1 && key == "" {
		return "", badRequest(IdempotencyKeyHeader + " is empty")
	}
	if len(key) > maxIdempotencyKeyBytes || !isPrintable(key) {
		return "", badRequest(IdempotencyKeyHeader + " is too long or not printable ASCII")
	}
	return key, nil
}

// deadline returns the deadline of the request by this node's clock, or the
// zero time if the caller set no timeout.
func (x *exchange) deadline(ctx *fasthttp.RequestCtx) (time.Time, *outcome.Error) {
	value, err := singleHeader(ctx, TimeoutHeader)
	if err != nil || value == "" {
		return time.Time{}, err
	}
	ms, parseErr := strconv.ParseInt(value, 10, 64)
	if parseErr != nil {
		return time.Time{}, badRequest(TimeoutHeader + " is not a whole number")
	}
	if ms <= 0 {
		return time.Time{}, outcome.Refuse(outcome.DeadlineExpired, "no time remains", 0)
	}
	limit := x.server.options.MaxTimeout
	if ms > limit.Milliseconds() {
		return time.Time{}, badRequest(TimeoutHeader + " exceeds " + limit.String())
	}
	return x.server.options.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

// isPrintable reports whether s consists of printable ASCII without spaces.
func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// badRequest returns the refusal of a malformed request.
func badRequest(detail string) *outcome.Error {
	return outcome.Refuse(outcome.BadRequest, detail, 0)
}

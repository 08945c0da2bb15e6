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

// Headers that callers send.
const (
	// IdempotencyKeyHeader names a request, so that repeats are known.
	IdempotencyKeyHeader = "Idempotency-Key"
	// TimeoutHeader is the time until the request's deadline, in milliseconds.
	TimeoutHeader = "Mimosa-Timeout-Ms"
)

// maxKey is the most bytes of an idempotency key, maxBearer of a bearer key.
const (
	maxKey    = 255
	maxBearer = 4096
)

// bearerScheme is the one scheme of Authorization taken.
const bearerScheme = "bearer"

// read checks a request's form and makes its call.
func (x *exchange) read(ctx *fasthttp.RequestCtx) (router.RequestArrived, *outcome.Error) {
	arrive := router.RequestArrived{ID: x.id}
	if err := x.readHeaders(ctx, &arrive); err != nil {
		return arrive, err
	}
	path := string(ctx.Path())
	if path == ChatPath && ctx.IsPost() {
		return arrive, x.readChat(ctx, &arrive)
	}
	if service, rest, ok := plainTarget(path); ok {
		return arrive, x.readPlain(ctx, &arrive, service, rest)
	}
	return arrive, outcome.Refuse(outcome.UnknownService, "no such path or method", 0)
}

// readHeaders takes key, idempotency key and deadline.
func (x *exchange) readHeaders(ctx *fasthttp.RequestCtx, arrive *router.RequestArrived) *outcome.Error {
	var err *outcome.Error
	if arrive.KeySHA256, err = bearerHash(ctx); err != nil {
		return err
	}
	if arrive.IdempotencyKey, err = idempotencyKey(ctx); err != nil {
		return err
	}
	arrive.Deadline, err = x.deadline(ctx)
	return err
}

// single gives the value of a header that may come once; empty when absent.
func single(ctx *fasthttp.RequestCtx, name string) (string, *outcome.Error) {
	values := ctx.Request.Header.PeekAll(name)
	if len(values) > 1 {
		return "", badRequest("header " + name + " came more than once")
	}
	if len(values) == 0 {
		return "", nil
	}
	return string(values[0]), nil
}

// bearerHash gives the hex SHA-256 of the bearer key; empty when none came.
func bearerHash(ctx *fasthttp.RequestCtx) (string, *outcome.Error) {
	value, err := single(ctx, fasthttp.HeaderAuthorization)
	if err != nil || value == "" {
		return "", err
	}
	scheme, key, _ := strings.Cut(value, " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, bearerScheme) || key == "" || len(key) > maxBearer {
		return "", outcome.Refuse(outcome.Unauthorized, "a bearer key is needed", 0)
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:]), nil
}

// idempotencyKey gives the caller's key; empty when none came.
func idempotencyKey(ctx *fasthttp.RequestCtx) (string, *outcome.Error) {
	key, err := single(ctx, IdempotencyKeyHeader)
	if err != nil {
		return "", err
	}
	if len(ctx.Request.Header.PeekAll(IdempotencyKeyHeader)) == 1 && key == "" {
		return "", badRequest(IdempotencyKeyHeader + " is empty")
	}
	if len(key) > maxKey || !printable(key) {
		return "", badRequest(IdempotencyKeyHeader + " is too long or not printable ASCII")
	}
	return key, nil
}

// deadline puts the time remaining on the node's own clock; zero when none
// came.
func (x *exchange) deadline(ctx *fasthttp.RequestCtx) (time.Time, *outcome.Error) {
	value, err := single(ctx, TimeoutHeader)
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

// printable reports whether s is printable ASCII without spaces.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// badRequest makes the refusal of a malformed request.
func badRequest(detail string) *outcome.Error {
	return outcome.Refuse(outcome.BadRequest, detail, 0)
}

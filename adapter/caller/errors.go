package caller

import (
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes an error.
type errorDetail struct {
	Type         string          `json:"type"`
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	Message      string          `json:"message"`
	RequestID    ids.Request     `json:"request_id"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
}

// statusByReason maps reasons to the HTTP status of requests that were not run.
// Other reasons have status 503.
var statusByReason = map[outcome.Reason]int{
	outcome.BadRequest:      fasthttp.StatusBadRequest,
	outcome.BodyTruncated:   fasthttp.StatusBadRequest,
	outcome.CallerGone:      fasthttp.StatusBadRequest,
	outcome.BodyTooLarge:    fasthttp.StatusRequestEntityTooLarge,
	outcome.Unauthorized:    fasthttp.StatusUnauthorized,
	outcome.Forbidden:       fasthttp.StatusForbidden,
	outcome.UnknownService:  fasthttp.StatusNotFound,
	outcome.DeadlineExpired: fasthttp.StatusRequestTimeout,
	outcome.AccountLimit:    fasthttp.StatusTooManyRequests,
	outcome.QueueFull:       fasthttp.StatusTooManyRequests,
	outcome.RingFull:        fasthttp.StatusTooManyRequests,
	outcome.KeyReused:       fasthttp.StatusConflict,
	outcome.Quarantined:     fasthttp.StatusUnprocessableEntity,
}

// typeByStatus maps HTTP statuses to the error types of the chat-completions
// API. Other statuses have the type server_error.
var typeByStatus = map[int]string{
	fasthttp.StatusBadRequest:            "invalid_request_error",
	fasthttp.StatusNotFound:              "invalid_request_error",
	fasthttp.StatusRequestEntityTooLarge: "invalid_request_error",
	fasthttp.StatusUnprocessableEntity:   "invalid_request_error",
	fasthttp.StatusConflict:              "conflict_error",
	fasthttp.StatusUnauthorized:          "authentication_error",
	fasthttp.StatusForbidden:             "permission_error",
	fasthttp.StatusTooManyRequests:       "rate_limit_error",
	fasthttp.StatusRequestTimeout:        "timeout_error",
	fasthttp.StatusGatewayTimeout:        "timeout_error",
}

// statusOf returns the HTTP status for an error.
func statusOf(err *outcome.Error) int {
	switch err.Outcome {
	case outcome.AlreadyRun, outcome.Running:
		return fasthttp.StatusConflict
	case outcome.Unknown:
		return unknownStatus(err.Reason)
	}
	if status, ok := statusByReason[err.Reason]; ok {
		return status
	}
	return fasthttp.StatusServiceUnavailable
}

// unknownStatus returns the HTTP status for the outcome Unknown: 504 if the
// reason is a timeout, otherwise 502.
func unknownStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.UpstreamStalled, outcome.DeadlineExpired, outcome.DeadlineUnreachable:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}

// newErrorBody returns the JSON body for an error.
func newErrorBody(id ids.Request, err *outcome.Error) *errorBody {
	kind, ok := typeByStatus[statusOf(err)]
	if !ok {
		kind = "server_error"
	}
	message := err.Detail
	if message == "" {
		message = string(err.Reason)
	}
	return &errorBody{Error: errorDetail{
		Type:         kind,
		Outcome:      err.Outcome,
		Reason:       err.Reason,
		Message:      message,
		RequestID:    id,
		RetryAfterMs: ceilUnits(err.RetryAfter, time.Millisecond),
	}}
}

// writeError writes an error answer.
func writeError(ctx *fasthttp.RequestCtx, id ids.Request, err *outcome.Error) {
	writeJSON(ctx, statusOf(err), newErrorBody(id, err))
	setOutcome(ctx, id, err.Outcome)
	if err.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(ceilUnits(err.RetryAfter, time.Second), 10))
	}
}

// ceilUnits returns d in the given unit, rounded up; 0 if d is negative.
func ceilUnits(d, unit time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d-1)/unit) + 1
}

// refusalOfReadError converts a read error of fasthttp to a refusal. It does
// not include the error's text, which may quote headers.
func refusalOfReadError(err error) *outcome.Error {
	var small *fasthttp.ErrSmallBuffer
	var broken fasthttp.ErrBrokenChunk
	var timeout net.Error
	switch {
	case isShed(err):
		return shedRefusal()
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return outcome.Refuse(outcome.BodyTooLarge, "the body is too large", 0)
	case errors.As(err, &small):
		return badRequest("the head is too large")
	case errors.As(err, &broken), err == io.ErrUnexpectedEOF: // a wrapped one means that the head was cut off
		return outcome.Refuse(outcome.BodyTruncated, "the request ended early", 0)
	case errors.As(err, &timeout) && timeout.Timeout():
		return outcome.Refuse(outcome.BodyTruncated, "the request came too slowly", 0)
	default:
		return badRequest("the request can't be read")
	}
}

package forward

import (
	"fmt"

	"github.com/valyala/fasthttp"
)

// UnprovenAnswerError reports a response that does not prove to be an upstream's answer to the
// request: bytes of a faulty upstream may have the form of a response. The request may have run.
type UnprovenAnswerError struct {
	Status int
	// Missing is the name of the header that is missing or empty, and Foreign that of one that no
	// upstream sends. Both are empty if the status is not that of a final response.
	Missing, Foreign string
}

// Error implements error.
func (e *UnprovenAnswerError) Error() string {
	switch {
	case e.Missing != "":
		return fmt.Sprintf("response with status %d has no %s", e.Status, e.Missing)
	case e.Foreign != "":
		return fmt.Sprintf("response with status %d has a %s", e.Status, e.Foreign)
	}
	return fmt.Sprintf("response with status %d is not final", e.Status)
}

// statusOK is the lowest status of a final response.
const statusOK = 200

// isRefusal reports whether a response states that the request did not run.
func isRefusal(head *fasthttp.ResponseHeader, h *Headers) bool {
	return len(head.Peek(h.NotRun)) > 0 || head.StatusCode() == statusMisdirected
}

// checkProvenance returns an *UnprovenAnswerError unless the response has the id of the request and
// a signature, and its body has no coding. Failures need them too: without a signature a status that
// promises that the request did not run would be the node's own promise.
func checkProvenance(head *fasthttp.ResponseHeader, h *Headers, id string) error {
	status := head.StatusCode()
	switch {
	case status < statusOK:
		return &UnprovenAnswerError{Status: status}
	case string(head.Peek(h.RequestID)) != id:
		return &UnprovenAnswerError{Status: status, Missing: h.RequestID}
	case len(head.Peek(h.Signature)) == 0:
		return &UnprovenAnswerError{Status: status, Missing: h.Signature}
	case h.BodyCoding != "" && len(head.Peek(h.BodyCoding)) > 0:
		return &UnprovenAnswerError{Status: status, Foreign: h.BodyCoding}
	}
	return nil
}

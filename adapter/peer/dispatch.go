package peer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/decide/member"
)

// dispatcher answers the calls of a connection, one at a time.
type dispatcher struct{ service *Service }

// Handle implements jsonrpc2.Handler.
func (h *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if h.claim(ctx, conn, req) {
		return
	}
	result, err := h.answer(ctx, conn, req)
	if req.Notif {
		return
	}
	limit, done := context.WithTimeout(ctx, h.service.opts.CallTimeout)
	defer done()
	// A reply that can't be written ends the connection; the caller then
	// knows as much as the error could tell it.
	if err != nil {
		_ = conn.ReplyWithError(limit, req.ID, refusal(err))
		return
	}
	_ = conn.Reply(limit, req.ID, result)
}

// answer carries out one call.
func (h *dispatcher) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	limit, done := context.WithTimeout(ctx, h.service.opts.CallTimeout)
	defer done()
	switch req.Method {
	case peerapi.MethodDigest:
		return h.digest(conn, req)
	case peerapi.MethodPull:
		return h.pull(limit, req)
	case peerapi.MethodVMs:
		return h.vms(req)
	case peerapi.MethodExplain:
		return h.explain(req)
	}
	h.service.opts.Count(MessagesInvalid, 1)
	return nil, &unknownMethodError{Method: req.Method}
}

// unknownMethodError refuses a call that the protocol does not have.
type unknownMethodError struct{ Method string }

// Error implements error.
func (e *unknownMethodError) Error() string { return "no method " + e.Method }

// refusal gives the error that goes to the caller.
func refusal(err error) *jsonrpc2.Error {
	var unknown *unknownMethodError
	var invalid *peerapi.InvalidError
	var oversize *peerapi.OversizeError
	var unbased *unknownBaseError
	code := peerapi.CodeUnavailable
	switch {
	case errors.As(err, &unknown):
		code = peerapi.CodeUnknownMethod
	case errors.As(err, &invalid), errors.As(err, &oversize):
		code = peerapi.CodeInvalid
	case errors.As(err, &unbased):
		code = peerapi.CodeUnknownBase
	case errors.As(err, new(*busyError)):
		code = peerapi.CodeBusy
	}
	return &jsonrpc2.Error{Code: int64(code), Message: err.Error()}
}

// busyError refuses a message for want of room.
type busyError struct{ Cause error }

// Error implements error.
func (e *busyError) Error() string { return e.Cause.Error() }

// Unwrap gives the cause.
func (e *busyError) Unwrap() error { return e.Cause }

// read decodes and checks a call's message.
func (h *dispatcher) read(req *jsonrpc2.Request, into reply) error {
	err := h.decode(req, into)
	if err == nil {
		err = into.Validate()
	}
	if err != nil {
		h.service.opts.Count(MessagesInvalid, 1)
	}
	return err
}

// decode decodes a call's message.
func (h *dispatcher) decode(req *jsonrpc2.Request, into any) error {
	if req.Params == nil {
		return &peerapi.InvalidError{Field: "params", Detail: "missing"}
	}
	if err := json.Unmarshal(*req.Params, into); err != nil {
		return &peerapi.InvalidError{Field: "params", Detail: err.Error()}
	}
	return nil
}

// digest takes a peer's digest.
func (h *dispatcher) digest(conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	var d peerapi.Digest
	if err := h.read(req, &d); err != nil {
		return nil, err
	}
	whole, err := h.service.bases.whole(d)
	if err != nil {
		h.service.opts.Count(DigestsUnknownBase, 1)
		return nil, err
	}
	if err := h.service.events.Offer(received{digest: whole, conn: conn, called: true}); err != nil {
		h.service.opts.Count(MessagesDropped, 1)
		return nil, &busyError{Cause: err}
	}
	return h.service.reply(d), nil
}

// reply tells a peer who took its digest.
func (s *Service) reply(to peerapi.Digest) peerapi.DigestReply {
	state := s.own.Load()
	own := &state.digest
	out := peerapi.DigestReply{
		VM:             s.opts.VM,
		Zone:           s.opts.Zone,
		Boot:           s.opts.Boot,
		ConfigDigest:   own.ConfigDigest,
		ConfigRevision: own.ConfigRevision,
		VMsRevision:    s.vms.Load().Revision,
		HeldBase:       s.bases.of(to.VM, to.Boot),
	}
	if own.Seq > 0 {
		digest := state.to(to.HeldBase)
		out.Digest = &digest
	}
	if to.VMsRevision == 0 {
		out.KnownPeers = s.known()
	}
	return out
}

// known lists peers heard from, for a peer that has no list of VMs.
func (s *Service) known() []peerapi.KnownPeer {
	var out []peerapi.KnownPeer
	for _, p := range s.Peers() {
		if p.State == member.Alive && len(out) < peerapi.MaxKnownPeers {
			out = append(out, peerapi.KnownPeer{VM: p.VM, Zone: p.Zone, Address: p.Address})
		}
	}
	return out
}

// pull gives configuration that a peer lacks.
func (h *dispatcher) pull(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	var p peerapi.Pull
	if err := h.read(req, &p); err != nil {
		return nil, err
	}
	if h.service.opts.Feed == nil {
		return peerapi.PullReply{}, nil
	}
	objects, err := h.service.opts.Feed.Newer(ctx, decodeSummary(p.Summary), peerapi.MaxPullBytes)
	if err != nil {
		return nil, err
	}
	return peerapi.PullReply{Objects: objects[:min(len(objects), peerapi.MaxObjects)]}, nil
}

// vms gives the list of VMs if it is newer than the peer's.
func (h *dispatcher) vms(req *jsonrpc2.Request) (any, error) {
	var v peerapi.VMs
	if err := h.read(req, &v); err != nil {
		return nil, err
	}
	list := h.service.vms.Load()
	if list.Revision <= v.AfterRevision || len(list.VMs) > peerapi.MaxVMs {
		return peerapi.VMsReply{}, nil
	}
	return peerapi.VMsReply{List: *list}, nil
}

// explain gives the newest steps recorded of a request.
func (h *dispatcher) explain(req *jsonrpc2.Request) (any, error) {
	var e peerapi.Explain
	if err := h.read(req, &e); err != nil {
		return nil, err
	}
	steps := h.service.opts.Source.Explain(e.ID)
	steps = steps[max(len(steps)-peerapi.MaxDecisions, 0):]
	return peerapi.ExplainReply{Decisions: encodeDecisions(steps, time.Now())}, nil
}

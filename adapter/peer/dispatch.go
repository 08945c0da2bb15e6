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

// dispatcher handles the calls that arrive on a connection, one at a time
// except for claims.
type dispatcher struct{ service *Service }

// Handle implements jsonrpc2.Handler.
func (h *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if h.handleClaim(ctx, conn, req) {
		return
	}
	result, err := h.dispatch(ctx, conn, req)
	if req.Notif {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, h.service.opts.CallTimeout)
	defer cancel()
	// A write error is ignored: it ends the connection, which tells the
	// caller as much as the error would.
	if err != nil {
		_ = conn.ReplyWithError(callCtx, req.ID, rpcError(err))
		return
	}
	_ = conn.Reply(callCtx, req.ID, result)
}

// dispatch runs the handler of a call and returns its result.
func (h *dispatcher) dispatch(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	callCtx, cancel := context.WithTimeout(ctx, h.service.opts.CallTimeout)
	defer cancel()
	switch req.Method {
	case peerapi.MethodDigest:
		return h.handleDigest(conn, req)
	case peerapi.MethodPull:
		return h.handlePull(callCtx, req)
	case peerapi.MethodVMs:
		return h.handleVMs(req)
	case peerapi.MethodExplain:
		return h.handleExplain(req)
	}
	h.service.opts.Count(MessagesInvalid, 1)
	return nil, &unknownMethodError{Method: req.Method}
}

// unknownMethodError reports a call of a method that the protocol does not
// have.
type unknownMethodError struct{ Method string }

// Error implements error.
func (e *unknownMethodError) Error() string { return "no method " + e.Method }

// rpcError converts an error to the JSON-RPC error sent to the caller. Errors
// without a code of their own get peerapi.CodeUnavailable.
func rpcError(err error) *jsonrpc2.Error {
	var unknown *unknownMethodError
	var invalid *peerapi.InvalidError
	var oversize *peerapi.OversizeError
	var unknownBase *unknownBaseError
	code := peerapi.CodeUnavailable
	switch {
	case errors.As(err, &unknown):
		code = peerapi.CodeUnknownMethod
	case errors.As(err, &invalid), errors.As(err, &oversize):
		code = peerapi.CodeInvalid
	case errors.As(err, &unknownBase):
		code = peerapi.CodeUnknownBase
	case errors.As(err, new(*busyError)):
		code = peerapi.CodeBusy
	}
	return &jsonrpc2.Error{Code: int64(code), Message: err.Error()}
}

// busyError reports a message that was refused because the event ring is full.
type busyError struct{ Cause error }

// Error implements error.
func (e *busyError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *busyError) Unwrap() error { return e.Cause }

// readParams decodes and validates the parameters of a call.
func (h *dispatcher) readParams(req *jsonrpc2.Request, into validator) error {
	err := h.decodeParams(req, into)
	if err == nil {
		err = into.Validate()
	}
	if err != nil {
		h.service.opts.Count(MessagesInvalid, 1)
	}
	return err
}

// decodeParams decodes the parameters of a call.
func (h *dispatcher) decodeParams(req *jsonrpc2.Request, into any) error {
	if req.Params == nil {
		return &peerapi.InvalidError{Field: "params", Detail: "missing"}
	}
	if err := json.Unmarshal(*req.Params, into); err != nil {
		return &peerapi.InvalidError{Field: "params", Detail: err.Error()}
	}
	return nil
}

// handleDigest passes a peer's digest to the loop and replies with this node's
// own.
func (h *dispatcher) handleDigest(conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	var d peerapi.Digest
	if err := h.readParams(req, &d); err != nil {
		return nil, err
	}
	whole, err := h.service.bases.expand(d)
	if err != nil {
		h.service.opts.Count(DigestsUnknownBase, 1)
		return nil, err
	}
	if err := h.service.events.Offer(digestReceived{digest: whole, conn: conn, called: true}); err != nil {
		h.service.opts.Count(MessagesDropped, 1)
		return nil, &busyError{Cause: err}
	}
	return h.service.digestReply(d), nil
}

// digestReply returns the reply to a peer's digest. It carries the known peers
// if that peer has no list of VMs yet.
func (s *Service) digestReply(to peerapi.Digest) peerapi.DigestReply {
	state := s.local.Load()
	local := &state.digest
	out := peerapi.DigestReply{
		VM:             s.opts.VM,
		Zone:           s.opts.Zone,
		Boot:           s.opts.Boot,
		ConfigDigest:   local.ConfigDigest,
		ConfigRevision: local.ConfigRevision,
		VMsRevision:    s.vms.Load().Revision,
		HeldBase:       s.bases.seqOf(to.VM, to.Boot),
	}
	if local.Seq > 0 {
		digest := state.forPeer(to.HeldBase)
		out.Digest = &digest
	}
	if to.VMsRevision == 0 {
		out.KnownPeers = s.alivePeers()
	}
	return out
}

// alivePeers returns up to peerapi.MaxKnownPeers live peers, for a peer that has no
// list of VMs.
func (s *Service) alivePeers() []peerapi.KnownPeer {
	var out []peerapi.KnownPeer
	for _, p := range s.Peers() {
		if p.State == member.Alive && len(out) < peerapi.MaxKnownPeers {
			out = append(out, peerapi.KnownPeer{VM: p.VM, Zone: p.Zone, Address: p.Address})
		}
	}
	return out
}

// handlePull returns the configuration objects that are newer here than at the
// peer.
func (h *dispatcher) handlePull(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	var p peerapi.Pull
	if err := h.readParams(req, &p); err != nil {
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

// handleVMs returns the list of VMs if it is newer than the peer's.
func (h *dispatcher) handleVMs(req *jsonrpc2.Request) (any, error) {
	var v peerapi.VMs
	if err := h.readParams(req, &v); err != nil {
		return nil, err
	}
	list := h.service.vms.Load()
	if list.Revision <= v.AfterRevision || len(list.VMs) > peerapi.MaxVMs {
		return peerapi.VMsReply{}, nil
	}
	return peerapi.VMsReply{List: *list}, nil
}

// handleExplain returns the newest decisions recorded for a request, at most
// peerapi.MaxDecisions.
func (h *dispatcher) handleExplain(req *jsonrpc2.Request) (any, error) {
	var e peerapi.Explain
	if err := h.readParams(req, &e); err != nil {
		return nil, err
	}
	steps := h.service.opts.Source.Explain(e.ID)
	steps = steps[max(len(steps)-peerapi.MaxDecisions, 0):]
	return peerapi.ExplainReply{Decisions: encodeDecisions(steps, time.Now())}, nil
}

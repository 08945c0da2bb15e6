// Package relay transfers the newest configuration and directory of upstreams between
// nodes: from the few nodes that watch the platform's store to all others, and to nodes
// that the store refuses while it serves others.
//
// Both documents have versions that only increase, and the store's revisions are ordered
// by its epoch first, so an outdated peer does no harm.
// Calls are JSON-RPC 2.0 over TCP.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/processor"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
)

const (
	// methodUpdate fetches what is newer than the caller's state.
	methodUpdate = "news"
	// methodVerdict reports requests that crash upstreams.
	methodVerdict = "verdict"
	// methodCrashReport reports evidence about requests that crash upstreams as JSON, to and from
	// nodes of releases that lack methodPackedReport.
	methodCrashReport = "crash_report"
	// methodPackedReport reports the same in binary form.
	methodPackedReport = "crash_report_packed"
	// methodCrashKnowledge fetches such evidence and the verdicts in force.
	methodCrashKnowledge = "crash_knowledge"
	// methodLimit reports the start and the end of an upstream's rate limit.
	methodLimit = "limit"
	// methodLeaving reports an upstream that is leaving.
	methodLeaving = "leaving"
	// methodPermit asks for a permit to send a request to an upstream.
	methodPermit = "permit"
)

// Timeouts of calls.
const (
	// callTimeout limits a call, including the connection, in addition to the wait that
	// the caller allows. A large configuration takes that long on a slow link.
	callTimeout = time.Second
	// MaxWait is the longest time that a peer holds a call open for an update.
	MaxWait = 5 * time.Second
	// dialTimeout limits connecting, so that an unreachable peer costs little time.
	dialTimeout = 150 * time.Millisecond
)

// UpdateRequest describes the caller's state, so that the peer returns only what is
// newer.
type UpdateRequest struct {
	// ConfigVersion is the version of the caller's configuration, or 0 for none.
	ConfigVersion int64 `json:"config_version"`
	// ConfigEpoch is the store's epoch in which that configuration was read.
	ConfigEpoch int64 `json:"config_epoch,omitempty"`
	// Epoch is the latest epoch of the store that the caller knows.
	Epoch int64 `json:"epoch,omitempty"`
	// Revision is the revision of the caller's directory.
	Revision revision.Revision `json:"revision"`
	// Base is the state of the peer's directory that the caller last took over, or zero
	// for none.
	Base Base `json:"base,omitzero"`
	// WaitMs is how long the peer may wait for something newer, in milliseconds. 0 means
	// that it answers at once.
	WaitMs int64 `json:"wait_ms,omitempty"`
	// Want is the part that the caller waits for.
	Want Want `json:"want,omitempty"`
	// Members is the version of the caller's list of nodes.
	Members MemberListVersion `json:"members,omitzero"`
	// AcceptsPacked is true if the caller can decode a packed configuration.
	AcceptsPacked bool `json:"unpacks,omitempty"`
}

// MemberListVersion identifies a list of the fleet's nodes.
type MemberListVersion struct {
	// Revision is the revision of the store at which the list was read.
	Revision revision.Revision `json:"revision"`
	// Digest is a hash of the list's content.
	Digest uint64 `json:"digest"`
}

// Base identifies a state of one process's directory, so that an update can contain only
// the changes since then.
type Base struct {
	// Process identifies the process. It differs after a restart.
	Process string `json:"holder"`
	// Mark is the number of changes of the process's directory so far.
	Mark uint64 `json:"mark"`
}

// Want selects a part of an update.
type Want string

// Parts of an update. The empty Want selects both.
const (
	WantConfig    Want = "config"
	WantUpstreams Want = "upstreams"
)

// Update is the part of a node's state that is newer than the caller's.
type Update struct {
	// Config is nil if the caller's configuration is as new. Packed replaces it in the
	// message if the caller accepts it.
	Config *routing.Config `json:"config,omitempty"`
	Packed Packed          `json:"packed,omitempty"`
	// ConfigEpoch is the store's epoch in which Config was read.
	ConfigEpoch int64 `json:"config_epoch,omitempty"`
	// Epoch is the lowest epoch of the store of all parts that the caller wants. It is
	// lower than the caller's if the node does not know yet that a later one has begun.
	Epoch int64 `json:"epoch,omitempty"`
	// ConfigRevision is the store's revision up to which the node knows all changes of
	// the configuration.
	ConfigRevision revision.Revision `json:"config_revision,omitzero"`
	// Upstreams holds the upstreams that changed since the caller's revision, as of
	// Revision. Revision is zero if the caller's directory is as new. If the peer knows the
	// caller's Base in the same epoch, Delta is set, Upstreams holds the changes since that state, and
	// Gone names the removed upstreams. Otherwise Present names all upstreams that
	// exist.
	Upstreams []directory.Upstream `json:"upstreams,omitempty"`
	Delta     bool                 `json:"delta,omitempty"`
	Gone      []ids.Upstream       `json:"gone,omitempty"`
	Present   []ids.Upstream       `json:"present,omitempty"`
	Revision  revision.Revision    `json:"revision,omitzero"`
	// Unsettled holds the registry's state of those upstreams of which the peer has another.
	// It is nil from a peer of an earlier release, which does not read it either. The changes
	// that such a peer sends need not be complete.
	Unsettled *directory.Unsettled `json:"unsettled,omitempty"`
	// Base is the state that the caller has after it applied the update.
	Base Base `json:"base,omitzero"`
	// Members is the list of the fleet's nodes as of MembersRevision. It is nil if the
	// caller's list is the same or newer.
	Members         []roster.Member   `json:"members,omitempty"`
	MembersRevision revision.Revision `json:"members_revision,omitzero"`
	// AgeMs is the time in milliseconds since the store last answered the node, or the
	// node from which this state came. Hops is the number of nodes between this one and
	// the store.
	AgeMs int64 `json:"age_ms"`
	Hops  int   `json:"hops,omitempty"`
	// Disconnected is true if the node's last call to the store failed, or none of its
	// own peers is fresh. The node then cannot get anything newer until this ends.
	Disconnected bool `json:"lost,omitempty"`
}

// RecordAge raises the age and hops of the update to those of one of its parts, so that
// they are the highest of all parts. age is the time since the store last answered for
// the part, and hops the number of nodes on its way from the store.
func (u *Update) RecordAge(age time.Duration, hops int) {
	u.AgeMs = max(u.AgeMs, age.Milliseconds())
	u.Hops = max(u.Hops, hops)
}

// CrashReportReply is the answer to evidence about requests that crash upstreams.
type CrashReportReply struct {
	// Process identifies the process that has taken the evidence. It has none of what its
	// predecessors were told.
	Process string `json:"process,omitempty"`
}

// CrashKnowledgeRequest names the node that asks for CrashKnowledge.
type CrashKnowledgeRequest struct {
	VM          ids.VM `json:"vm"`
	PeerAddress string `json:"peer"`
}

// CrashKnowledge is what a node knows of requests that crash upstreams.
type CrashKnowledge struct {
	Reports  []quarantine.Report  `json:"reports,omitempty"`
	Verdicts []quarantine.Verdict `json:"verdicts,omitempty"`
	// Starting is true if the node has not yet learned what its own peers know.
	Starting bool `json:"starting,omitempty"`
	// Unlisted is true if the node's list of nodes lacks the one that asks, which then
	// receives no messages that go to all nodes.
	Unlisted bool `json:"unlisted,omitempty"`
}

// Source provides the node's state to peers. Its methods may be called from any
// goroutine.
type Source interface {
	// UpdateSince returns what is newer than the caller's state. It waits for an update
	// as long as the request allows.
	UpdateSince(ctx context.Context, req UpdateRequest) Update
	// ApplyVerdict applies a verdict of a peer.
	ApplyVerdict(v quarantine.Verdict)
	// ApplyCrashReport applies a peer's evidence about requests that crash upstreams.
	ApplyCrashReport(r quarantine.Report) CrashReportReply
	// CrashKnowledge returns the evidence and the verdicts that a node without any needs.
	CrashKnowledge(req CrashKnowledgeRequest) CrashKnowledge
	// ApplyLimit applies a limit that an upstream has named to a peer.
	ApplyLimit(n backpressure.LimitNotice)
	// ApplyLeaving applies a peer's notice that an upstream has said that it is leaving.
	ApplyLeaving(upstream ids.Instance)
	// IssuePermit answers a peer's request for a permit. An error means that the node may
	// not issue permits for the upstream and knows nobody who does.
	IssuePermit(ctx context.Context, r backpressure.PermitRequest) (backpressure.PermitReply, error)
	RetryLender
}

// Serve answers peers until l is closed, and returns the error of Accept. The monitor measures
// how long it takes to decode calls; it may be nil.
func Serve(ctx context.Context, l net.Listener, source Source, monitor *processor.Monitor) error {
	turns := &turns{}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		if err := conn.SetDeadline(time.Now().Add(MaxWait + callTimeout)); err != nil {
			_ = conn.Close() // nothing was sent on it
			continue
		}
		stream := jsonrpc2.NewBufferedStream(conn, turnCodec{turns: turns})
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(handler(source, monitor, turns)), jsonrpc2.SetLogger(discardLogger))
	}
}

// discardLogger drops the library's messages about answers that could not be sent. The
// caller notices that itself, and a node must write nothing but JSON lines.
var discardLogger = log.New(io.Discard, "", 0)

// incoming is a call that has arrived. params is never nil.
type incoming struct {
	name    string
	params  json.RawMessage
	monitor *processor.Monitor
	turns   *turns
}

// method handles the calls of one method.
type method func(ctx context.Context, source Source, call incoming) (any, error)

// methods holds the handlers of all methods by name.
var methods = map[string]method{
	methodUpdate: handle(func(ctx context.Context, source Source, req UpdateRequest) (any, error) {
		req.WaitMs = min(req.WaitMs, MaxWait.Milliseconds())
		return source.UpdateSince(ctx, req), nil
	}),
	methodVerdict: handle(func(_ context.Context, source Source, v quarantine.Verdict) (any, error) {
		source.ApplyVerdict(v)
		return nil, nil
	}),
	methodCrashReport: handle(func(_ context.Context, source Source, r quarantine.Report) (any, error) {
		return source.ApplyCrashReport(r), nil
	}),
	methodPackedReport: handle(func(_ context.Context, source Source, r incomingReport) (any, error) {
		return source.ApplyCrashReport(r.Report), nil
	}),
	methodCrashKnowledge: handle(func(_ context.Context, source Source, req CrashKnowledgeRequest) (any, error) {
		return source.CrashKnowledge(req), nil
	}),
	methodLimit: handle(func(_ context.Context, source Source, n backpressure.LimitNotice) (any, error) {
		source.ApplyLimit(n)
		return nil, nil
	}),
	methodLeaving: handle(func(_ context.Context, source Source, upstream ids.Instance) (any, error) {
		source.ApplyLeaving(upstream)
		return nil, nil
	}),
	methodPermit: handle(func(ctx context.Context, source Source, r backpressure.PermitRequest) (any, error) {
		return source.IssuePermit(ctx, r)
	}),
	methodRetryLoan: handle(lendRetries),
}

// handle returns a method that decodes its parameters.
func handle[P any](f func(context.Context, Source, P) (any, error)) method {
	return func(ctx context.Context, source Source, call incoming) (any, error) {
		var params P
		var err error
		decode := func() {
			defer call.monitor.Begin("peer.decode_" + call.name)()
			err = json.Unmarshal(call.params, &params)
		}
		if len(call.params) < largeMessage {
			decode()
		} else {
			call.turns.do(decode)
		}
		if err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, source, params)
	}
}

// handler returns a function that answers one call from source.
func handler(source Source, monitor *processor.Monitor, turns *turns) func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		method := methods[r.Method]
		if method == nil || r.Params == nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
		}
		return method(ctx, source, incoming{name: r.Method, params: *r.Params, monitor: monitor, turns: turns})
	}
}

// CallError reports a call to a peer that failed.
type CallError struct {
	Peer  string
	Cause error
}

// Error implements error.
func (e *CallError) Error() string { return "peer " + e.Peer + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Fetch returns the update of the peer at an address. The error is a *CallError.
func Fetch(ctx context.Context, peer string, req UpdateRequest) (Update, error) {
	var update Update
	req.AcceptsPacked = true
	err := call(ctx, peer, callTimeout+time.Duration(req.WaitMs)*time.Millisecond, methodUpdate, req, &update)
	if err == nil && update.Packed != nil {
		update.Config, err = update.Packed.Unpack()
	}
	if err != nil {
		return Update{}, &CallError{peer, err}
	}
	return update, nil
}

// SendVerdict sends a verdict to the peer at an address. The error is a *CallError.
func SendVerdict(ctx context.Context, peer string, v quarantine.Verdict) error {
	if err := call(ctx, peer, callTimeout, methodVerdict, v, nil); err != nil {
		return &CallError{peer, err}
	}
	return nil
}

// SendCrashReport sends evidence to the peer at an address. A peer that does not understand the
// binary form gets JSON on the same connection: nothing is remembered of peers, so a node may
// be replaced by one of another release at any time. The error is a *CallError.
func SendCrashReport(ctx context.Context, peer string, r *OutgoingReport) (CrashReportReply, error) {
	var reply CrashReportReply
	err := onConnection(ctx, peer, callTimeout, func(ctx context.Context, rpc *jsonrpc2.Conn) error {
		err := rpc.Call(ctx, methodPackedReport, r.packed(), &reply)
		if refused := new(jsonrpc2.Error); errors.As(err, &refused) && (refused.Code == jsonrpc2.CodeMethodNotFound || refused.Code == jsonrpc2.CodeInvalidParams) {
			return rpc.Call(ctx, methodCrashReport, r.report, &reply)
		}
		return err
	})
	if err != nil {
		return CrashReportReply{}, &CallError{peer, err}
	}
	return reply, nil
}

// FetchCrashKnowledge returns what the peer at an address knows of requests that crash
// upstreams. The error is a *CallError.
func FetchCrashKnowledge(ctx context.Context, peer string, req CrashKnowledgeRequest) (CrashKnowledge, error) {
	var k CrashKnowledge
	if err := call(ctx, peer, callTimeout, methodCrashKnowledge, req, &k); err != nil {
		return CrashKnowledge{}, &CallError{peer, err}
	}
	return k, nil
}

// SendLimit sends a notice about a limit to the peer at an address. The error is a
// *CallError.
func SendLimit(ctx context.Context, peer string, n backpressure.LimitNotice) error {
	if err := call(ctx, peer, callTimeout, methodLimit, n, nil); err != nil {
		return &CallError{peer, err}
	}
	return nil
}

// SendLeaving tells the peer at an address that an upstream is leaving. The error is a
// *CallError.
func SendLeaving(ctx context.Context, peer string, upstream ids.Instance) error {
	if err := call(ctx, peer, callTimeout, methodLeaving, upstream, nil); err != nil {
		return &CallError{peer, err}
	}
	return nil
}

// AcquirePermit asks the peer at an address for a permit. The error is a *CallError.
func AcquirePermit(ctx context.Context, peer string, r backpressure.PermitRequest) (backpressure.PermitReply, error) {
	var reply backpressure.PermitReply
	if err := call(ctx, peer, callTimeout, methodPermit, r, &reply); err != nil {
		return backpressure.PermitReply{}, &CallError{peer, err}
	}
	return reply, nil
}

// call makes one call on a new connection. result receives the answer.
func call(ctx context.Context, peer string, timeout time.Duration, method string, params, result any) error {
	return onConnection(ctx, peer, timeout, func(ctx context.Context, rpc *jsonrpc2.Conn) error {
		return rpc.Call(ctx, method, params, result)
	})
}

// onConnection calls do with a new connection to a peer, which is closed after it.
func onConnection(ctx context.Context, peer string, timeout time.Duration, do func(context.Context, *jsonrpc2.Conn) error) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := upconn.NewDialer(dialTimeout).DialContext(callCtx, "tcp", peer)
	if err != nil {
		return err
	}
	timed := &readTimeoutConn{Conn: conn, readTimeout: timeout - callTimeout + roster.PeerReadTimeout}
	stream := jsonrpc2.NewBufferedStream(timed, jsonrpc2.VarintObjectCodec{})
	rpc := jsonrpc2.NewConn(callCtx, stream, jsonrpc2.HandlerWithError(handler(emptySource{}, nil, nil)), jsonrpc2.SetLogger(discardLogger))
	defer rpc.Close()
	return do(callCtx, rpc)
}

// readTimeoutConn ends reads when no data arrives for a while. A frozen peer times out
// soon, while a peer that is still sending a large answer does not.
type readTimeoutConn struct {
	net.Conn
	// readTimeout is the maximum wait of the next read.
	readTimeout time.Duration
}

// Read implements net.Conn.
func (c *readTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.readTimeout = roster.PeerReadTimeout
	return n, err
}

// emptySource answers calls that a peer makes over the caller's connection. No peer
// makes such calls.
type emptySource struct{}

// UpdateSince implements Source.
func (emptySource) UpdateSince(context.Context, UpdateRequest) Update { return Update{} }

// ApplyVerdict implements Source.
func (emptySource) ApplyVerdict(quarantine.Verdict) {}

// ApplyCrashReport implements Source.
func (emptySource) ApplyCrashReport(quarantine.Report) CrashReportReply { return CrashReportReply{} }

// CrashKnowledge implements Source.
func (emptySource) CrashKnowledge(CrashKnowledgeRequest) CrashKnowledge { return CrashKnowledge{} }

// ApplyLimit implements Source.
func (emptySource) ApplyLimit(backpressure.LimitNotice) {}

// ApplyLeaving implements Source.
func (emptySource) ApplyLeaving(ids.Instance) {}

// IssuePermit implements Source.
func (emptySource) IssuePermit(context.Context, backpressure.PermitRequest) (backpressure.PermitReply, error) {
	return backpressure.PermitReply{}, nil
}

// Package relay hands the newest configuration and directory from node to node:
// to nodes that the platform's store rejects while it serves others, and to
// the many nodes of a fleet from the few that watch the store for them.
//
// Both documents carry versions and only go forward, so a peer that is itself
// behind does no harm. Calls are JSON-RPC over TCP.
package relay

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
)

const (
	// methodNews asks a node for what is newer than the asker's.
	methodNews = "news"
	// methodVerdict tells a node of requests that crash upstreams.
	methodVerdict = "verdict"
)

// Bounds of calls.
const (
	// callTimeout bounds a whole call, the connection included, beside the wait that the
	// asker allows: a large configuration takes a thin link so long.
	callTimeout = time.Second
	// MaxWait is the longest wait of an answer.
	MaxWait = 5 * time.Second
	// dialTimeout bounds the connection, so that one dead peer costs little.
	dialTimeout = 150 * time.Millisecond
)

// UpdateRequest tells what the asker has.
type UpdateRequest struct {
	// ConfigVersion is the version of its configuration, 0 for none.
	ConfigVersion int64 `json:"config_version"`
	// Revision is that of its directory.
	Revision int64 `json:"revision"`
	// Base is what it last took over from the peer it asks; zero for nothing.
	Base Base `json:"base,omitzero"`
	// WaitMs is how long the answer may wait for something newer, in ms; 0 for
	// not at all.
	WaitMs int64 `json:"wait_ms,omitempty"`
	// Want is what the asker waits for.
	Want Want `json:"want,omitempty"`
	// Members is its list of the fleet's nodes.
	Members MemberListVersion `json:"members,omitzero"`
	// AcceptsPacked tells that the asker reads packed configurations.
	AcceptsPacked bool `json:"unpacks,omitempty"`
}

// MemberListVersion names a list of the fleet's nodes.
type MemberListVersion struct {
	// Revision is the store's as of which the list holds.
	Revision int64 `json:"revision"`
	// Digest is equal for equal lists.
	Digest uint64 `json:"digest"`
}

// Base names a state of one process's directory, so that only what changed
// since needs to be told.
type Base struct {
	// Process is the process, unique across restarts.
	Process string `json:"holder"`
	// Mark counts its changes.
	Mark uint64 `json:"mark"`
}

// Want is a part of the news.
type Want string

// Parts of the news; the empty Want is both.
const (
	WantConfig    Want = "config"
	WantUpstreams Want = "upstreams"
)

// Update is what a node has that is newer.
type Update struct {
	// Config is nil where the asker's is as new. It goes over the wire as Packed to those
	// that read it so.
	Config *routing.Config `json:"config,omitempty"`
	Packed Packed          `json:"packed,omitempty"`
	// ConfigRevision is the store's revision up to which changes of the
	// configuration are known.
	ConfigRevision int64 `json:"config_revision,omitempty"`
	// Upstreams are those that changed since the asker's revision, as of
	// Revision; not set where the asker's is as new. Where the asker's Base was
	// known, they are those that changed since, and Gone names those that went;
	// else Present names all that are there.
	Upstreams []directory.Upstream `json:"upstreams,omitempty"`
	Delta     bool                 `json:"delta,omitempty"`
	Gone      []ids.Upstream       `json:"gone,omitempty"`
	Present   []ids.Upstream       `json:"present,omitempty"`
	Revision  int64                `json:"revision,omitempty"`
	// Base is the state that the asker has after it took these.
	Base Base `json:"base,omitzero"`
	// Members is the list of the fleet's nodes as of MembersRevision; not set where
	// the asker's is the same, or newer.
	Members         []roster.Member `json:"members,omitempty"`
	MembersRevision int64           `json:"members_revision,omitempty"`
	// AgeMs is how long ago the store last answered the node, or the one that it
	// learned this from, in ms. Hops counts the nodes between it and the store.
	AgeMs int64 `json:"age_ms"`
	Hops  int   `json:"hops,omitempty"`
	// Disconnected tells that the node's last call to the store failed, or that no peer of
	// its own has news of it: it knows nothing newer until that ends.
	Disconnected bool `json:"lost,omitempty"`
}

// RecordAge notes how long ago the store last answered about a part of the news, and
// the hops over which that is known; the worst of all parts holds.
func (n *Update) RecordAge(age time.Duration, hops int) {
	n.AgeMs = max(n.AgeMs, age.Milliseconds())
	n.Hops = max(n.Hops, hops)
}

// Source answers peers. Any goroutine may call it.
type Source interface {
	// UpdateSince gives what is newer than the asker's, and waits for it as long as
	// the asker allows.
	UpdateSince(ctx context.Context, have UpdateRequest) Update
	// ApplyVerdict takes a peer's verdict.
	ApplyVerdict(v quarantine.Verdict)
}

// Serve answers peers until l is closed, whose error it gives.
func Serve(ctx context.Context, l net.Listener, source Source) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		if err := conn.SetDeadline(time.Now().Add(MaxWait + callTimeout)); err != nil {
			_ = conn.Close() // it carried nothing
			continue
		}
		stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(answer(source)), jsonrpc2.SetLogger(quiet))
	}
}

// quiet takes what the library logs of answers that could not be sent. Askers that
// left see that themselves, and a node writes nothing but JSON lines.
var quiet = log.New(io.Discard, "", 0)

// answer handles one call.
func answer(source Source) func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		switch {
		case r.Params == nil:
		case r.Method == methodNews:
			var have UpdateRequest
			if err := json.Unmarshal(*r.Params, &have); err != nil {
				return nil, invalid(err)
			}
			have.WaitMs = min(have.WaitMs, MaxWait.Milliseconds())
			return source.UpdateSince(ctx, have), nil
		case r.Method == methodVerdict:
			var v quarantine.Verdict
			if err := json.Unmarshal(*r.Params, &v); err != nil {
				return nil, invalid(err)
			}
			source.ApplyVerdict(v)
			return nil, nil
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
	}
}

// invalid is the answer to parameters that cannot be read.
func invalid(err error) error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
}

// CallError tells that a peer did not answer.
type CallError struct {
	Peer  string
	Cause error
}

// Error implements error.
func (e *CallError) Error() string { return "peer " + e.Peer + ": " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Fetch asks the peer at an address for its news. The error is a *CallError.
func Fetch(ctx context.Context, peer string, have UpdateRequest) (Update, error) {
	var news Update
	have.AcceptsPacked = true
	err := call(ctx, peer, callTimeout+time.Duration(have.WaitMs)*time.Millisecond, methodNews, have, &news)
	if err == nil && news.Packed != nil {
		news.Config, err = news.Packed.Unpack()
	}
	if err != nil {
		return Update{}, &CallError{peer, err}
	}
	return news, nil
}

// SendVerdict tells the peer at an address of a verdict. The error is a *CallError.
func SendVerdict(ctx context.Context, peer string, v quarantine.Verdict) error {
	if err := call(ctx, peer, callTimeout, methodVerdict, v, nil); err != nil {
		return &CallError{peer, err}
	}
	return nil
}

// call makes one call over a connection of its own.
func call(ctx context.Context, peer string, within time.Duration, method string, params, result any) error {
	limit, done := context.WithTimeout(ctx, within)
	defer done()
	dialer := net.Dialer{Timeout: dialTimeout, Control: upconn.SetUserTimeout}
	conn, err := dialer.DialContext(limit, "tcp", peer)
	if err != nil {
		return err
	}
	guarded := &guardedConn{Conn: conn, silence: within - callTimeout + roster.PeerReadTimeout}
	stream := jsonrpc2.NewBufferedStream(guarded, jsonrpc2.VarintObjectCodec{})
	rpc := jsonrpc2.NewConn(limit, stream, jsonrpc2.HandlerWithError(answer(nothing{})), jsonrpc2.SetLogger(quiet))
	defer rpc.Close()
	return rpc.Call(limit, method, params, result)
}

// guardedConn ends reads on which nothing comes for a while, so that a peer that stands
// still is left soon, and one that sends much is not.
type guardedConn struct {
	net.Conn
	// silence is how long the next bytes may take.
	silence time.Duration
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.silence = roster.PeerReadTimeout
	return n, err
}

// nothing answers a peer that asks back, which none does.
type nothing struct{}

// UpdateSince implements Source.
func (nothing) UpdateSince(context.Context, UpdateRequest) Update { return Update{} }

// ApplyVerdict implements Source.
func (nothing) ApplyVerdict(quarantine.Verdict) {}

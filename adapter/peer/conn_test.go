package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/adapter/peer/identity"
	"mimosaarch.example/core/peerapi"
)

// issue returns a new identity signed by ca.
func issue(t *testing.T, ca *identity.CA, validity time.Duration) *identity.Identity {
	t.Helper()
	id, err := ca.Identity("node", validity)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// listenSilent listens on a port, never accepts, and returns the address. The
// kernel still completes the handshakes of clients.
func listenSilent(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func TestCertificates(t *testing.T) {
	ca, err := identity.NewCA("fleet")
	other, err2 := identity.NewCA("others")
	if err := errors.Join(err, err2); err != nil {
		t.Fatal(err)
	}
	good := issue(t, ca, time.Hour)
	missing := issue(t, ca, time.Hour)
	missing.Client.Certificates = nil
	cases := map[string]struct{ server, client *identity.Identity }{
		"client of another fleet": {good, mixed(issue(t, other, time.Hour), good)},
		"server of another fleet": {mixed(issue(t, other, time.Hour), good), good},
		"client expired":          {good, issue(t, ca, -time.Minute)},
		"server expired":          {issue(t, ca, -time.Minute), good},
		"client without":          {good, missing},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := start(t, "a", "z1", func(o *Options) { o.TLS = c.server })
			client := startWithSeed(t, "b", "z1", server, c.client)
			refusals := func() int64 { return client.count(HandshakesFailed) + client.count(DigestsMissed) }
			client.waitFor(t, "refused", func() bool { return refusals() > 2 })
			server.waitFor(t, "refused", func() bool { return server.count(HandshakesFailed) > 0 })
			if client.count(DigestsSent) > 0 || server.count(DigestsAccepted) > 0 {
				t.Fatal("a digest was exchanged")
			}
		})
	}
}

// mixed returns an identity with the certificate of one identity and the
// trusted authorities of another, so that only the other side can refuse the
// handshake.
func mixed(presented, trusted *identity.Identity) *identity.Identity {
	out := &identity.Identity{Server: trusted.Server.Clone(), Client: trusted.Client.Clone()}
	out.Server.Certificates = presented.Server.Certificates
	out.Client.Certificates = presented.Client.Certificates
	return out
}

func TestPlainCallerIsRefused(t *testing.T) {
	ca, err := identity.NewCA("fleet")
	if err != nil {
		t.Fatal(err)
	}
	server := start(t, "a", "z1", func(o *Options) { o.TLS = issue(t, ca, time.Hour) })
	startWithSeed(t, "b", "z1", server, nil)
	server.waitFor(t, "refused", func() bool { return server.count(HandshakesFailed) > 0 })
}

// connect opens a JSON-RPC connection to a node.
func connect(t *testing.T, n *testNode) *jsonrpc2.Conn {
	t.Helper()
	raw, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	conn := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(raw, new(codec)), &dispatcher{n.Service})
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestBadMessagesChangeNothing(t *testing.T) {
	n := start(t, "a", "z1", nil)
	conn := connect(t, n)
	cases := []struct {
		method, params string
		code           peerapi.Code
	}{
		{"nonsense", `{}`, peerapi.CodeUnknownMethod},
		{peerapi.MethodDigest, `[1]`, peerapi.CodeInvalid},
		{peerapi.MethodDigest, `{"vm":"x","zone":"z1","boot":"b","address":"127.0.0.1:1"}`, peerapi.CodeInvalid},
		{peerapi.MethodDigest, `{"vm":"x","zone":"z1","boot":"b","seq":1,"address":"host:1"}`, peerapi.CodeInvalid},
		{peerapi.MethodPull, `{"summary":[{"key":"","version":1}]}`, peerapi.CodeInvalid},
		{peerapi.MethodVMs, `{"above":-1}`, peerapi.CodeInvalid},
		{peerapi.MethodExplain, `{}`, peerapi.CodeInvalid},
	}
	for _, c := range cases {
		err := conn.Call(t.Context(), c.method, json.RawMessage(c.params), nil)
		var refused *jsonrpc2.Error
		if !errors.As(err, &refused) || refused.Code != int64(c.code) {
			t.Errorf("%s %s: got %v, want code %d", c.method, c.params, err, c.code)
		}
	}
	if got := n.count(MessagesInvalid); got != int64(len(cases)) || len(n.Peers()) != 0 {
		t.Fatalf("%d messages counted as invalid, %d peers", got, len(n.Peers()))
	}
	good := peerapi.Digest{VM: "x", Zone: "z1", Boot: "b", Seq: 1, Address: "127.0.0.1:1"}
	for range 2 {
		if err := conn.Call(t.Context(), peerapi.MethodDigest, good, nil); err != nil {
			t.Fatal(err)
		}
	}
	n.digestFrom(t, "x")
	n.waitFor(t, "the repeat is refused", func() bool { return n.count(DigestsStale) == 1 })
}

func TestOversizedMessageEndsTheConnection(t *testing.T) {
	n := start(t, "a", "z1", nil)
	raw, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	head := binary.AppendUvarint(nil, peerapi.MaxMessageBytes+1)
	if _, err := raw.Write(head); err != nil {
		t.Fatal(err)
	}
	_ = raw.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := raw.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
	var oversize *peerapi.OversizeError
	stream := jsonrpc2.NewBufferedStream(nopCloser{bytes.NewBuffer(head)}, new(codec))
	if err := stream.ReadObject(new(any)); !errors.As(err, &oversize) {
		t.Fatalf("got %v", err)
	}
}

type nopCloser struct{ *bytes.Buffer }

func (nopCloser) Close() error { return nil }

func TestConnectionsAreBounded(t *testing.T) {
	n := start(t, "a", "z1", func(o *Options) { o.MaxLinks = 1 })
	first := connect(t, n)
	digest := peerapi.Digest{VM: "x", Zone: "z1", Boot: "b", Seq: 1, Address: "127.0.0.1:1"}
	if err := first.Call(t.Context(), peerapi.MethodDigest, digest, nil); err != nil {
		t.Fatal(err)
	}
	if err := connect(t, n).Call(t.Context(), peerapi.MethodDigest, digest, nil); err == nil {
		t.Fatal("a second connection was served")
	}
	n.waitFor(t, "refused", func() bool { return n.count(LinksRefused) > 0 })
}

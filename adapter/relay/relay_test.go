package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
)

// shelf is a Source with one of each.
type shelf struct {
	config routing.Config
	// packed is told to those that read it.
	packed Packed
	list   []directory.Upstream
	judged chan quarantine.Verdict
}

func (s *shelf) ApplyVerdict(v quarantine.Verdict) { s.judged <- v }

func (s *shelf) UpdateSince(_ context.Context, have UpdateRequest) Update {
	var n Update
	if s.config.Version > have.ConfigVersion {
		n.Config = &s.config
	}
	if have.AcceptsPacked {
		n.Packed = s.packed
	}
	if have.Revision < 30 {
		n.Upstreams, n.Revision = s.list, 30
	}
	return n
}

// listen opens a socket for the time of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func serve(t *testing.T, s Source) string {
	t.Helper()
	l := listen(t)
	go func() { _ = Serve(t.Context(), l, s) }()
	return l.Addr().String()
}

func TestNewsGoOverWhole(t *testing.T) {
	rank := 2
	s := &shelf{
		config: routing.Config{
			Version:  12,
			Routes:   []routing.Route{{Name: "r", Host: "h", PathPrefix: "/", Splits: []routing.Split{{Service: "s", Weight: 1}}}},
			Services: []routing.Service{{Name: "s", Model: &layered.Model{Layers: 8, Cards: map[string]layered.Card{"c": {MemoryMB: 5}}}}},
			Accounts: []routing.Account{{Name: "a", Keys: []string{"k"}, Priority: &rank}},
		},
		list: []directory.Upstream{{ID: ids.Instance{Upstream: "u"}, Service: "s", Address: "1.2.3.4:5", Layers: layered.Range{From: 1, To: 3}, Revision: 7, Leaving: true}},
	}
	address := serve(t, s)
	news, err := Fetch(t.Context(), address, UpdateRequest{ConfigVersion: 11, Revision: 29})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Update{Config: &s.config, Upstreams: s.list, Revision: 30}, news); diff != "" {
		t.Error(diff)
	}
	news, err = Fetch(t.Context(), address, UpdateRequest{ConfigVersion: 12, Revision: 30})
	if err != nil || news.Config != nil || news.Revision != 0 {
		t.Errorf("to one that has all: %+v, %v", news, err)
	}
}

func TestVerdictsAreTold(t *testing.T) {
	s := &shelf{judged: make(chan quarantine.Verdict, 1)}
	want := quarantine.Verdict{Fingerprint: "f", For: 5 * time.Second}
	if err := SendVerdict(t.Context(), serve(t, s), want); err != nil {
		t.Fatal(err)
	}
	if got := <-s.judged; got != want {
		t.Errorf("told %+v", got)
	}
}

func TestSilentPeerIsATypedError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	_, err = Fetch(t.Context(), l.Addr().String(), UpdateRequest{})
	var call *CallError
	if !errors.As(err, &call) {
		t.Errorf("error %v", err)
	}
}

// drip relays connections to an address, answers in so many pieces with pauses between.
func drip(t *testing.T, to string, pieces int, pause time.Duration) string {
	t.Helper()
	l := listen(t)
	go func() {
		asker, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = asker.Close() }()
		peer, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer func() { _ = peer.Close() }()
		go func() { _, _ = io.Copy(peer, asker) }()
		answer := make([]byte, 1<<20)
		n, err := peer.Read(answer)
		if err != nil {
			return
		}
		size := n/pieces + 1
		for from := 0; from < n; from += size {
			time.Sleep(pause)
			if _, err := asker.Write(answer[from:min(from+size, n)]); err != nil {
				return
			}
		}
		// The asker ends the connection.
		_, _ = io.Copy(io.Discard, peer)
	}()
	return l.Addr().String()
}

// A node waits for a peer with a thin link, whose answer comes in pieces, longer than for
// one that stands still.
func TestPeerThatStandsStillIsLeftAndOneThatSendsIsNot(t *testing.T) {
	s := &shelf{config: routing.Config{Version: 12}}
	thin := drip(t, serve(t, s), 5, 150*time.Millisecond)
	began := time.Now()
	if news, err := Fetch(t.Context(), thin, UpdateRequest{}); err != nil || news.Config == nil {
		t.Errorf("%+v, %v", news, err)
	}
	if took := time.Since(began); took < 2*roster.PeerReadTimeout {
		t.Errorf("the answer came after %v: the test shows nothing", took)
	}
	still := listen(t)
	const wait = 100 * time.Millisecond
	began = time.Now()
	_, err := Fetch(t.Context(), still.Addr().String(), UpdateRequest{WaitMs: wait.Milliseconds()})
	var silent *CallError
	if !errors.As(err, &silent) {
		t.Errorf("error %v", err)
	}
	if took := time.Since(began); took < wait+roster.PeerReadTimeout || took > wait+2*roster.PeerReadTimeout {
		t.Errorf("left after %v", took)
	}
}

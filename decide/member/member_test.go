package member

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// script drives a Members with lines of text and prints its commands as text.
type script struct {
	m   *Members
	now time.Time
	out strings.Builder
}

func newScript(vm, zone string, change func(*Options)) *script {
	opts := Options{VM: ids.VM(vm), Zone: ids.Zone(zone), Boot: "b0", Address: vm + ":1", Interval: time.Second}
	if change != nil {
		change(&opts)
	}
	return &script{m: New(opts), now: start}
}

// run executes one event for each line and returns the commands:
//
//	vms REV VM/ZONE...    digest VM/ZONE BOOT SEQ    reply VM/ZONE BOOT
//	call VM/ZONE BOOT SEQ, a digest that the peer delivered by a call of its own
//	miss VM               tick [COUNT]               polls UPSTREAM ZONE
func (s *script) run(lines string) string {
	s.out.Reset()
	for line := range strings.Lines(lines) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		fmt.Fprintf(&s.out, "> %s\n", strings.Join(words, " "))
		s.step(words)
	}
	return s.out.String()
}

func (s *script) step(words []string) {
	switch words[0] {
	case "vms":
		var list platformapi.VMList
		_, _ = fmt.Sscan(words[1], &list.Revision)
		for _, word := range words[2:] {
			vm, zone, _ := strings.Cut(word, "/")
			list.VMs = append(list.VMs, platformapi.VM{ID: vm, Zone: zone, Role: platformapi.RoleEntry, PeerAddress: vm + ":1"})
		}
		s.print(s.m.ApplyVMList(s.now, list))
	case "digest", "call":
		from := sender(words[1], words[2])
		from.IsCall = words[0] == "call"
		_, _ = fmt.Sscan(words[3], &from.Seq)
		commands, err := s.m.DigestReceived(s.now, from)
		if err != nil {
			fmt.Fprintln(&s.out, err)
		}
		s.print(commands)
	case "reply":
		from := sender(words[1], words[2])
		commands, take := s.m.ReplyReceived(s.now, string(from.VM)+":1", from)
		s.print(commands)
		fmt.Fprintln(&s.out, "take", take)
	case "miss":
		s.print(s.m.CallFailed(s.now, words[1]+":1"))
	case "tick":
		count := 1
		if len(words) > 1 {
			_, _ = fmt.Sscan(words[1], &count)
		}
		for range count {
			s.now = s.now.Add(time.Second)
			s.print(s.m.Tick(s.now))
		}
	case "polls":
		fmt.Fprintln(&s.out, s.m.Polls(ids.Upstream(words[1]), ids.Zone(words[2])))
	}
}

func (s *script) print(commands []Command) {
	for _, c := range commands {
		fmt.Fprintln(&s.out, c)
	}
}

func sender(name, boot string) Sender {
	vm, zone, _ := strings.Cut(name, "/")
	return Sender{VM: ids.VM(vm), Zone: ids.Zone(zone), Boot: boot, Address: vm + ":1"}
}

func (s *script) want(t *testing.T, lines, want string) {
	t.Helper()
	got := s.run(lines)
	clean := func(text string) []string {
		var out []string
		for line := range strings.Lines(text) {
			if line = strings.TrimSpace(line); line != "" {
				out = append(out, line)
			}
		}
		return out
	}
	if diff := cmp.Diff(clean(want), clean(got)); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}

func TestSilentPeerIsGoneAndComesBack(t *testing.T) {
	s := newScript("a", "z1", nil)
	s.want(t, `
		vms 1 a/z1 b/z1
		tick
		digest b/z1 x 1
		polls e3 z1
		tick 4
		polls e3 z1
		tick 16
		tick
		reply b/z1 x
		reply b/z1 x
		digest b/z1 x 2`, `
		> vms 1 a/z1 b/z1
		> tick
		send b at b:1
		> digest b/z1 x 1
		b is alive
		> polls e3 z1
		false
		> tick 4
		send b at b:1
		send b at b:1
		send b at b:1
		b is suspect
		send b at b:1
		> polls e3 z1
		true
		> tick 16
		`+strings.Repeat("send b at b:1\n", 15)+`
		b is gone
		b gone: silent
		send b at b:1
		> tick
		send b at b:1
		> reply b/z1 x
		take false
		> reply b/z1 x
		b is alive
		take true
		> digest b/z1 x 2`)
}

func TestRestartInvalidatesTheEarlierBoot(t *testing.T) {
	s := newScript("a", "z1", nil)
	s.want(t, `
		digest b/z1 x 5
		digest b/z1 x 5
		digest b/z1 x 4
		digest b/z1 y 1
		digest b/z1 x 6
		digest a/z1 y 1`, `
		> digest b/z1 x 5
		b is alive
		> digest b/z1 x 5
		digest 5 of b, boot x, is not new
		> digest b/z1 x 4
		digest 4 of b, boot x, is not new
		> digest b/z1 y 1
		b gone: restarted
		> digest b/z1 x 6
		digest 6 of b, boot x, is not new
		> digest a/z1 y 1
		peer a, boot y, has this node's name`)
}

func TestMissedCallsMakeAPeerSuspect(t *testing.T) {
	s := newScript("a", "z1", nil)
	s.want(t, `
		digest b/z1 x 1
		miss b
		miss b`, `
		> digest b/z1 x 1
		b is alive
		> miss b
		> miss b
		b is suspect`)
}

func TestPeerMissingFromTheListIsDelisted(t *testing.T) {
	s := newScript("a", "z1", nil)
	s.run(`
		vms 1 b/z1 c/z1
		digest b/z1 x 1
		digest c/z1 x 1
		vms 2 b/z1
		vms 1 b/z1 c/z1
		tick 4`)
	s.want(t, "tick 16\nvms 3", "> tick 16\n"+strings.Repeat("send b at b:1\nsend c at c:1\n", 15)+`
		b is gone
		b gone: silent
		c is gone
		c gone: delisted
		send b at b:1
		> vms 3
		b gone: delisted`)
}

// fleetOf returns a list of numbered VMs of a zone.
func fleetOf(zone string, count int) string {
	var out strings.Builder
	for i := range count {
		fmt.Fprintf(&out, " %s%d/%s", zone, i, zone)
	}
	return out.String()
}

func TestMessagesPerRoundAreBounded(t *testing.T) {
	for _, size := range []int{3, 130} {
		s := newScript("me", "p", nil)
		s.run("vms 1 me/p" + fleetOf("p", size) + fleetOf("q", size) + fleetOf("r", size))
		inZone := map[string]int{}
		across := map[string]bool{}
		rounds := max((size+DefaultFanout-1)/DefaultFanout, (2*DefaultLinksPerZone+DefaultCrossZoneFanout-1)/DefaultCrossZoneFanout)
		for range rounds {
			sent := strings.Split(strings.TrimSpace(s.run("tick")), "\n")[1:]
			if most := DefaultFanout + DefaultCrossZoneFanout; len(sent) > most {
				t.Fatalf("size %d: %d sent in a round", size, len(sent))
			}
			for _, line := range sent {
				if strings.HasPrefix(line, "send p") {
					inZone[line]++
				} else {
					across[line] = true
				}
			}
		}
		if len(inZone) != size || len(across) != 2*DefaultLinksPerZone {
			t.Fatalf("size %d: %d peers of the zone, %d of other zones", size, len(inZone), len(across))
		}
	}
}

func TestBoundsOfPeersAndSeeds(t *testing.T) {
	s := newScript("a", "z1", func(o *Options) { o.MaxPeers, o.MaxSeeds = 1, 2 })
	s.run("digest b/z1 x 1")
	var full *FullError
	if _, err := s.m.DigestReceived(start, sender("c/z1", "x")); !errors.As(err, &full) || len(s.m.Peers()) != 1 {
		t.Fatalf("got %v", err)
	}
	s.m.SetSeeds([]string{"a:1", "b:1", "s:1", "u:1"})
	if got := s.run("tick 4"); strings.Count(got, "at s:1") != 1 || strings.Contains(got, "at a:1") || strings.Contains(got, "u:1") {
		t.Fatal(got)
	}
}

// testFleet is a fleet of Members connected by links that lose messages.
type testFleet struct {
	nodes map[ids.VM]*Members
	seqs  map[ids.VM]uint64
	now   time.Time
	// isLost reports whether a message is lost.
	isLost func(from, to ids.VM) bool
}

func newTestFleet(names map[ids.VM]ids.Zone) *testFleet {
	f := &testFleet{nodes: map[ids.VM]*Members{}, seqs: map[ids.VM]uint64{}, now: start}
	list := platformapi.VMList{Revision: 1}
	for _, vm := range slices.Sorted(maps.Keys(names)) {
		zone := names[vm]
		f.nodes[vm] = New(Options{VM: vm, Zone: zone, Boot: string(vm) + "-1", Address: string(vm), Interval: time.Second})
		list.VMs = append(list.VMs, platformapi.VM{ID: string(vm), Zone: string(zone), Role: platformapi.RoleEntry, PeerAddress: string(vm)})
	}
	for _, m := range f.nodes {
		m.ApplyVMList(start, list)
	}
	return f
}

// round lets each node send once.
func (f *testFleet) round() {
	f.now = f.now.Add(time.Second)
	for _, vm := range slices.Sorted(maps.Keys(f.nodes)) {
		m := f.nodes[vm]
		f.seqs[vm]++
		for _, command := range append([]Command{}, m.Tick(f.now)...) {
			if send, ok := command.(Send); ok {
				f.send(m, send)
			}
		}
	}
}

func (f *testFleet) send(m *Members, send Send) {
	to := f.nodes[ids.VM(send.Address)]
	if to == nil || f.isLost(m.opts.VM, to.opts.VM) {
		m.CallFailed(f.now, send.Address)
		return
	}
	from := m.asSender(f.seqs[m.opts.VM])
	from.IsCall = true
	_, _ = to.DigestReceived(f.now, from)
	if f.isLost(to.opts.VM, m.opts.VM) {
		m.CallFailed(f.now, send.Address)
		return
	}
	if _, take := m.ReplyReceived(f.now, send.Address, to.asSender(0)); take {
		_, _ = m.DigestReceived(f.now, to.asSender(f.seqs[to.opts.VM]))
	}
}

func (m *Members) asSender(seq uint64) Sender {
	return Sender{VM: m.opts.VM, Zone: m.opts.Zone, Boot: m.opts.Boot, Seq: seq, Address: m.opts.Address}
}

// hasNode reports whether a zone has a node.
func (f *testFleet) hasNode(zone ids.Zone) bool {
	for _, m := range f.nodes {
		if m.opts.Zone == zone {
			return true
		}
	}
	return false
}

// pollers returns the nodes that poll an upstream.
func (f *testFleet) pollers(id ids.Upstream, zone ids.Zone) []ids.VM {
	var out []ids.VM
	for vm, m := range f.nodes {
		if m.Polls(id, zone) {
			out = append(out, vm)
		}
	}
	return out
}

func TestPollersUnderPartitionLossAndRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := map[ids.VM]ids.Zone{}
		for _, zone := range []ids.Zone{"p", "q", "r"} {
			for i := range rapid.IntRange(1, 4).Draw(t, "size") {
				names[ids.VM(fmt.Sprint(zone, i))] = zone
			}
		}
		f := newTestFleet(names)
		cut, loss := false, 0
		drops := rapid.SliceOfN(rapid.IntRange(0, 99), 64, 64).Draw(t, "drops")
		sent := 0
		f.isLost = func(from, to ids.VM) bool {
			sent++
			across := (names[from] == "p") != (names[to] == "p")
			return cut && across || drops[sent%len(drops)] < loss
		}
		settle := func(what string) {
			for range 2 * DefaultGoneAfter {
				f.round()
			}
			for _, zone := range []ids.Zone{"p", "q", "r"} {
				for i := range 20 {
					got := f.pollers(ids.Upstream(fmt.Sprint("e", i)), zone)
					most := 1
					if cut || !f.hasNode(zone) {
						// Views differ across zones, but every node knows the
						// highest-ranked node of its own zone.
						most = 3
					}
					if len(got) == 0 || len(got) > most {
						t.Fatalf("%s: upstream %d of %s is polled by %v", what, i, zone, got)
					}
				}
			}
		}
		settle("start")
		cut = rapid.Bool().Draw(t, "cut")
		settle("cut")
		// While messages are lost at least one node polls, and possibly several.
		loss = rapid.IntRange(0, 40).Draw(t, "loss")
		for range 10 {
			f.round()
			for i := range 5 {
				if len(f.pollers(ids.Upstream(fmt.Sprint("e", i)), "q")) == 0 {
					t.Fatalf("no node polls upstream %d", i)
				}
			}
		}
		cut, loss = false, 0
		settle("heal")
		gone := rapid.SampledFrom([]ids.VM{"p0", "q0", "r0"}).Draw(t, "restarts")
		old := f.nodes[gone]
		delete(f.nodes, gone)
		settle("one gone")
		f.nodes[gone] = New(Options{VM: gone, Zone: old.opts.Zone, Boot: string(gone) + "-2", Address: string(gone), Interval: time.Second})
		f.seqs[gone] = 0
		others := slices.DeleteFunc(slices.Sorted(maps.Keys(names)), func(vm ids.VM) bool { return vm == gone })
		f.nodes[gone].SetSeeds([]string{string(others[0])})
		settle("restart")
		for vm, m := range f.nodes {
			if p, ok := m.Peer(gone); ok && p.State == Alive && m.peers[gone].boot != string(gone)+"-2" {
				t.Fatalf("%s still has the old boot", vm)
			}
		}
	})
}

func TestZonesStayConnected(t *testing.T) {
	f := newTestFleet(map[ids.VM]ids.Zone{"p0": "p", "p1": "p", "p2": "p", "q0": "q", "q1": "q", "q2": "q"})
	f.isLost = func(ids.VM, ids.VM) bool { return false }
	for _, vm := range []ids.VM{"q0", "q1"} {
		delete(f.nodes, vm)
		for range DefaultGoneAfter + 2 {
			f.round()
		}
		for _, from := range []ids.VM{"p0", "p1", "p2"} {
			m := f.nodes[from]
			linked := slices.ContainsFunc(m.links(), func(p *peer) bool { return f.nodes[p.vm] != nil })
			if !linked || !m.hasPoller("q") {
				t.Fatalf("%s is cut off from zone q after %s left", from, vm)
			}
		}
	}
}

// messagesByPair runs a round and counts the messages between each pair of nodes.
func (f *testFleet) messagesByPair() map[[2]ids.VM]int {
	out := map[[2]ids.VM]int{}
	lost := f.isLost
	f.isLost = func(from, to ids.VM) bool {
		out[[2]ids.VM{min(from, to), max(from, to)}]++
		return lost(from, to)
	}
	f.round()
	f.isLost = lost
	return out
}

func TestEachTwoNodesOfSmallZonesExchangeOnce(t *testing.T) {
	names := map[ids.VM]ids.Zone{}
	for _, zone := range []ids.Zone{"p", "q", "r"} {
		for i := range 3 {
			names[ids.VM(fmt.Sprint(zone, i))] = zone
		}
	}
	f := newTestFleet(names)
	f.isLost = func(ids.VM, ids.VM) bool { return false }
	for range 4 {
		f.round()
	}
	total := map[[2]ids.VM]int{}
	for range 2 {
		for pair, messages := range f.messagesByPair() {
			total[pair] += messages
		}
	}
	if len(total) != 9*8/2 {
		t.Fatalf("%d pairs", len(total))
	}
	for pair, messages := range total {
		// A call and its reply are two messages. A pair in the same zone has one call in
		// each round, and one across zones has one call in two rounds.
		want := 2
		if names[pair[0]] == names[pair[1]] {
			want = 4
		}
		if messages != want {
			t.Errorf("%v: %d messages", pair, messages)
		}
	}
}

func TestOnlyTheFirstOfTwoPeersCalls(t *testing.T) {
	s := newScript("b", "z", nil)
	s.want(t, `
		vms 1 a/z b/z c/z
		call a/z x 1
		call c/z y 1
		tick
		tick
	`, `
		> vms 1 a/z b/z c/z
		> call a/z x 1
		a is alive
		> call c/z y 1
		c is alive
		> tick
		send c at c:1
		> tick
		send a at a:1
		send c at c:1
	`)
}

func TestLinksAcrossManyZonesAreBounded(t *testing.T) {
	s := newScript("me", "p", nil)
	list := "vms 1 me/p"
	for i := range 14 {
		list += fleetOf(fmt.Sprintf("zone%02d", i), 26)
	}
	s.run(list)
	links := s.m.links()
	zones := map[ids.Zone]bool{}
	for _, p := range links {
		zones[p.zone] = true
	}
	if len(links) != 14 || len(zones) != 14 {
		t.Fatalf("%d links to %d zones", len(links), len(zones))
	}
}

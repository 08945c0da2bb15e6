package app

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/node"
)

// statusCommand is "mimosactl status".
type statusCommand struct {
	env *env
	operatorOptions

	Args struct {
		More []string `positional-arg-name:"ADDR"`
	} `positional-args:"yes"`
}

// status describes the command.
func (e *env) status() command {
	return command{
		name:  "status",
		short: "Show nodes, upstreams and configuration in force",
		long: "Asks nodes for their status: VMs, the versions of configuration in force on each, and upstreams by zone " +
			"with state, load and reason as each node sees them. Fails when a node does not answer, after printing the others.",
		data: &statusCommand{env: e},
	}
}

// unanswered is a node that gave no status.
type unanswered struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// fleetStatus is the status of all nodes asked.
type fleetStatus struct {
	Nodes      []node.Status `json:"nodes"`
	Unanswered []unanswered  `json:"unanswered"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client(c.Args.More)
	if err != nil {
		return err
	}
	defer client.Close()
	answers := askAll(c.Operators, client.Status)
	status := fleetStatus{Nodes: []node.Status{}, Unanswered: []unanswered{}}
	for _, a := range answers {
		if a.err != nil {
			status.Unanswered = append(status.Unanswered, unanswered{Address: a.address, Error: a.err.Error()})
			continue
		}
		status.Nodes = append(status.Nodes, a.value)
	}
	if err := c.env.print(status, status.text); err != nil {
		return err
	}
	return errorsOf(answers)
}

// text prints the status as tables.
func (s fleetStatus) text(w io.Writer) {
	if len(s.Nodes) == 0 {
		return
	}
	table(w, s.vmRows())
	fmt.Fprintln(w)
	table(w, s.configRows())
	fmt.Fprintln(w)
	table(w, s.upstreamRows())
}

// vmRows is a row for each VM.
func (s fleetStatus) vmRows() [][]string {
	rows := [][]string{{"VM", "ZONE", "READY", "DRAINING", "REQUESTS", "WAITING", "CONFIG", "PEERS"}}
	for _, n := range s.Nodes {
		rows = append(rows, []string{
			string(n.VM), string(n.Zone),
			strconv.FormatBool(n.Ready),
			strconv.FormatBool(n.Draining),
			strconv.Itoa(n.Requests),
			strconv.Itoa(n.Waiting),
			n.Config.Digest,
			peerText(n.Peers),
		})
	}
	return rows
}

// peerText counts peers by state, such as "alive 7, suspect 1".
func peerText(peers []node.PeerStatus) string {
	counts := make(map[string]int)
	for _, p := range peers {
		counts[p.State]++
	}
	return countsText(counts)
}

// countsText prints counts by name.
func countsText(counts map[string]int) string {
	if len(counts) == 0 {
		return "-"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

// configRows is a row for each configuration object and version in force,
// with the VMs that have it.
func (s fleetStatus) configRows() [][]string {
	holders := make(map[node.ObjectStatus][]string)
	for _, n := range s.Nodes {
		for _, object := range n.Config.Objects {
			holders[object] = append(holders[object], string(n.VM))
		}
	}
	objects := slices.SortedFunc(maps.Keys(holders), func(a, b node.ObjectStatus) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Version, b.Version))
	})
	rows := [][]string{{"CONFIGURATION", "VERSION", "IN FORCE ON"}}
	for _, object := range objects {
		rows = append(rows, []string{
			object.Key,
			strconv.FormatInt(object.Version, 10),
			s.vmsText(holders[object]),
		})
	}
	return rows
}

// vmsText names VMs, or all of them in a word.
func (s fleetStatus) vmsText(vms []string) string {
	if len(vms) == len(s.Nodes) {
		return fmt.Sprintf("all %d", len(vms))
	}
	return strings.Join(vms, " ")
}

// view is what nodes say of an upstream, apart from their load.
type view struct {
	zone          ids.Zone
	service       ids.Service
	id            ids.Upstream
	state, reason string
}

// sum gathers the load under a view.
type sum struct {
	vms      []string
	inFlight float64
	slots    int
	rate     float64
	weight   float64
}

// upstreamRows is a row for each upstream and state, with the VMs that see it
// so. Each VM estimates the requests in flight of all VMs: the most is shown.
func (s fleetStatus) upstreamRows() [][]string {
	views := s.views()
	keys := slices.SortedFunc(maps.Keys(views), func(a, b view) int {
		return cmp.Or(
			cmp.Compare(a.zone, b.zone),
			cmp.Compare(a.service, b.service),
			cmp.Compare(a.id, b.id),
			cmp.Compare(a.state, b.state),
			cmp.Compare(a.reason, b.reason),
		)
	})
	rows := [][]string{{"ZONE", "SERVICE", "UPSTREAM", "STATE", "REASON", "IN FLIGHT", "SLOTS", "RATE", "WEIGHT", "SEEN BY"}}
	for _, v := range keys {
		load := views[v]
		rows = append(rows, []string{
			string(v.zone), string(v.service), string(v.id), v.state, orDash(v.reason),
			fmt.Sprintf("%.1f", load.inFlight),
			strconv.Itoa(load.slots),
			fmt.Sprintf("%.0f", load.rate),
			fmt.Sprintf("%.2f", load.weight/float64(len(load.vms))),
			s.vmsText(load.vms),
		})
	}
	return rows
}

// views gathers the nodes' views of upstreams.
func (s fleetStatus) views() map[view]*sum {
	out := make(map[view]*sum)
	for _, n := range s.Nodes {
		for _, u := range n.Upstreams {
			v := view{zone: u.Zone, service: u.Service, id: u.ID, state: u.State, reason: u.Reason}
			if out[v] == nil {
				out[v] = &sum{}
			}
			load := out[v]
			load.vms = append(load.vms, string(n.VM))
			load.inFlight = max(load.inFlight, u.InFlight)
			load.slots = max(load.slots, u.Slots)
			load.rate = max(load.rate, u.Rate)
			load.weight += u.Weight
		}
	}
	return out
}

// orDash gives text, or a dash when it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

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

// statusCommand holds the options of "mimosactl status".
type statusCommand struct {
	env *env
	operatorOptions

	Args struct {
		ExtraAddresses []string `positional-arg-name:"ADDR"`
	} `positional-args:"yes"`
}

// status returns the description of the status command.
func (e *env) status() command {
	return command{
		name:  "status",
		short: "Show nodes, upstreams and active configuration",
		long: "Queries nodes for their status: VMs, the active configuration versions of each, and upstreams by zone " +
			"with the state, reason and load that each node reports. Fails if a node does not answer, after printing the others.",
		data: &statusCommand{env: e},
	}
}

// unanswered is a node that returned no status.
type unanswered struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// fleetStatus is the status of all queried nodes.
type fleetStatus struct {
	Nodes      []node.Status `json:"nodes"`
	Unanswered []unanswered  `json:"unanswered"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.newClient(c.Args.ExtraAddresses)
	if err != nil {
		return err
	}
	defer client.Close()
	responses := queryAll(c.Operators, client.Status)
	status := fleetStatus{Nodes: []node.Status{}, Unanswered: []unanswered{}}
	for _, r := range responses {
		if r.err != nil {
			status.Unanswered = append(status.Unanswered, unanswered{Address: r.address, Error: r.err.Error()})
			continue
		}
		status.Nodes = append(status.Nodes, r.value)
	}
	if err := c.env.print(status, status.text); err != nil {
		return err
	}
	return joinErrors(responses)
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

// vmRows returns the table header and a row for each VM.
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

// peerText returns the number of peers in each state, such as
// "alive 7, suspect 1".
func peerText(peers []node.PeerStatus) string {
	counts := make(map[string]int)
	for _, p := range peers {
		counts[p.State]++
	}
	return countsText(counts)
}

// countsText formats counts sorted by name, or returns "-" if there are none.
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

// configRows returns the table header and a row for each active version of each
// configuration object, with the VMs that use it.
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

// vmsText returns the VMs separated by spaces, or "all N" if they are all N nodes queried.
func (s fleetStatus) vmsText(vms []string) string {
	if len(vms) == len(s.Nodes) {
		return fmt.Sprintf("all %d", len(vms))
	}
	return strings.Join(vms, " ")
}

// upstreamView is the state of an upstream as reported by one or more nodes.
type upstreamView struct {
	zone          ids.Zone
	service       ids.Service
	id            ids.Upstream
	state, reason string
}

// upstreamLoad aggregates the load that the nodes with the same upstreamView
// report. Counts and rates are the maximum over these nodes, weight is the sum.
type upstreamLoad struct {
	vms      []string
	inFlight float64
	slots    int
	rate     float64
	weight   float64
}

// upstreamRows returns the table header and a row for each upstream and state,
// with the VMs that report it. Each VM estimates the in-flight requests of all
// VMs, so the row shows the highest estimate instead of the sum.
func (s fleetStatus) upstreamRows() [][]string {
	views := s.groupUpstreams()
	keys := slices.SortedFunc(maps.Keys(views), func(a, b upstreamView) int {
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
			string(v.zone), string(v.service), string(v.id), v.state, textOrDash(v.reason),
			fmt.Sprintf("%.1f", load.inFlight),
			strconv.Itoa(load.slots),
			fmt.Sprintf("%.0f", load.rate),
			fmt.Sprintf("%.2f", load.weight/float64(len(load.vms))),
			s.vmsText(load.vms),
		})
	}
	return rows
}

// groupUpstreams groups the upstreams that the nodes report by upstreamView.
func (s fleetStatus) groupUpstreams() map[upstreamView]*upstreamLoad {
	out := make(map[upstreamView]*upstreamLoad)
	for _, n := range s.Nodes {
		for _, u := range n.Upstreams {
			v := upstreamView{zone: u.Zone, service: u.Service, id: u.ID, state: u.State, reason: u.Reason}
			if out[v] == nil {
				out[v] = &upstreamLoad{}
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

// textOrDash returns text, or "-" if it is empty.
func textOrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

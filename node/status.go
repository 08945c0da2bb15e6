package node

import (
	"context"
	"strconv"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/configorder"
	"mimosaarch.example/decide/router"
)

// Status is what a node shows operators.
type Status struct {
	VM   ids.VM   `json:"vm"`
	Zone ids.Zone `json:"zone"`
	router.Status
	Config ConfigStatus `json:"config"`
	Peers  []PeerStatus `json:"peers"`
}

// ConfigStatus is the configuration in force on a node. Digest is equal on
// nodes that hold the same.
type ConfigStatus struct {
	Digest  string         `json:"digest"`
	Objects []ObjectStatus `json:"objects"`
}

// ObjectStatus is one object of the configuration.
type ObjectStatus struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// PeerStatus is another node as this one sees it.
type PeerStatus struct {
	VM    ids.VM   `json:"vm"`
	Zone  ids.Zone `json:"zone"`
	State string   `json:"state"`
}

// Status gathers what operators are shown. Any goroutine may call it. The
// error is a *NoStatusError.
func (n *Node) Status(ctx context.Context) (Status, error) {
	shown, err := n.requestStatus(ctx)
	if err != nil {
		return Status{}, err
	}
	s := Status{VM: ids.VM(n.settings.VM), Zone: ids.Zone(n.settings.Zone), Status: shown}
	s.Config, err = n.configStatus(ctx)
	if err != nil {
		return Status{}, &NoStatusError{Cause: err}
	}
	if n.peers == nil {
		return s, nil
	}
	for _, p := range n.peers.Peers() {
		s.Peers = append(s.Peers, PeerStatus{VM: p.VM, Zone: p.Zone, State: p.State.String()})
	}
	return s, nil
}

// requestStatus asks the decision loop, one question at a time.
func (n *Node) requestStatus(ctx context.Context) (router.Status, error) {
	n.statusMu.Lock()
	defer n.statusMu.Unlock()
	// An answer that came too late for an earlier question is dropped.
	select {
	case <-n.statuses.Out():
	default:
	}
	if err := n.events.Put(ctx, router.StatusDue{}); err != nil {
		return router.Status{}, &NoStatusError{Cause: err}
	}
	select {
	case s := <-n.statuses.Out():
		return s, nil
	case <-ctx.Done():
		return router.Status{}, &NoStatusError{Cause: ctx.Err()}
	}
}

// configStatus asks the duty that keeps the configuration.
func (n *Node) configStatus(ctx context.Context) (ConfigStatus, error) {
	digest, err := n.feed.Digest(ctx)
	if err != nil {
		return ConfigStatus{}, err
	}
	held, err := n.feed.Summary(ctx)
	if err != nil {
		return ConfigStatus{}, err
	}
	return ConfigStatus{Digest: strconv.FormatUint(digest, 16), Objects: objectStatus(held)}, nil
}

// objectStatus lists the objects of the configuration.
func objectStatus(held []configorder.KeyVersion) []ObjectStatus {
	objects := make([]ObjectStatus, len(held))
	for i, o := range held {
		objects[i] = ObjectStatus{Key: o.Key, Version: o.Version}
	}
	return objects
}

// deliverStatus hands the newest status to whoever asked.
func (n *Node) deliverStatus(c router.ReportStatus) {
	if err := n.statuses.Offer(c.Status); err != nil {
		n.telemetry.CountError("status_not_taken")
	}
}

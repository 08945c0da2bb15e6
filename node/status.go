package node

import (
	"context"
	"strconv"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/configorder"
	"mimosaarch.example/decide/router"
)

// Status is the state of a node as shown to operators.
type Status struct {
	VM   ids.VM   `json:"vm"`
	Zone ids.Zone `json:"zone"`
	router.Status
	Config ConfigStatus `json:"config"`
	Peers  []PeerStatus `json:"peers"`
}

// ConfigStatus describes the active configuration of a node. Digest is equal on
// nodes with equal configurations.
type ConfigStatus struct {
	Digest  string         `json:"digest"`
	Objects []ObjectStatus `json:"objects"`
}

// ObjectStatus is the key and version of one configuration object.
type ObjectStatus struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// PeerStatus is the state of another node as seen by this one.
type PeerStatus struct {
	VM    ids.VM   `json:"vm"`
	Zone  ids.Zone `json:"zone"`
	State string   `json:"state"`
}

// Status collects the state of the node. It is safe for concurrent use. The
// error is a *NoStatusError.
func (n *Node) Status(ctx context.Context) (Status, error) {
	status, err := n.requestStatus(ctx)
	if err != nil {
		return Status{}, err
	}
	s := Status{VM: ids.VM(n.settings.VM), Zone: ids.Zone(n.settings.Zone), Status: status}
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

// requestStatus requests the status of the decision loop. Concurrent calls wait
// for each other.
func (n *Node) requestStatus(ctx context.Context) (router.Status, error) {
	n.statusMu.Lock()
	defer n.statusMu.Unlock()
	// Drop an answer to an earlier request that had timed out.
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

// configStatus requests the status of the configuration feed.
func (n *Node) configStatus(ctx context.Context) (ConfigStatus, error) {
	digest, err := n.feed.Digest(ctx)
	if err != nil {
		return ConfigStatus{}, err
	}
	versions, err := n.feed.Summary(ctx)
	if err != nil {
		return ConfigStatus{}, err
	}
	return ConfigStatus{Digest: strconv.FormatUint(digest, 16), Objects: objectStatus(versions)}, nil
}

// objectStatus lists the keys and versions of the configuration objects.
func objectStatus(versions []configorder.KeyVersion) []ObjectStatus {
	objects := make([]ObjectStatus, len(versions))
	for i, o := range versions {
		objects[i] = ObjectStatus{Key: o.Key, Version: o.Version}
	}
	return objects
}

// deliverStatus passes a status to the waiting call of requestStatus.
func (n *Node) deliverStatus(c router.ReportStatus) {
	if err := n.statuses.Offer(c.Status); err != nil {
		n.telemetry.CountError("status_not_taken")
	}
}

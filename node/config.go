package node

import (
	"errors"

	"mimosaarch.example/adapter/configfeed"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/configorder"
	"mimosaarch.example/decide/router"
)

// newFeed creates the feed that keeps the configuration current and passes it
// to the decision loop.
func (n *Node) newFeed(client configfeed.Platform) *configfeed.Feed {
	sink := func(config *router.Config) { n.postEvent(router.ConfigReceived{Config: config}) }
	return configfeed.New(client, sink, configfeed.Settings{
		ShouldWatch: func() bool { return n.ownsTask(configTask) },
		OnError:     n.handleConfigError,
	})
}

// handleConfigError counts and logs a rejected configuration object or a failed
// call to the platform.
func (n *Node) handleConfigError(err error) {
	var invalid *configorder.InvalidObjectError
	var backwards *configorder.StaleVersionError
	switch {
	case errors.As(err, &invalid):
		n.telemetry.CountError("config_object")
	case errors.As(err, &backwards):
		n.telemetry.CountError("config_backwards")
	default:
		n.telemetry.CountError("config_call")
	}
	n.log.Warn().Err(err).Msg("configuration")
}

// Tasks that one node of each zone does on behalf of the zone. The other nodes
// receive the results through their peers.
const (
	configTask = "config-watch"
	vmListTask = "vm-list"
)

// ownsTask reports whether this node does a task for its zone. It is true for a
// node without peers.
func (n *Node) ownsTask(task ids.Upstream) bool {
	return n.peers == nil || n.peers.Polls(task, ids.Zone(n.settings.Zone))
}

package node

import (
	"mimosaarch.example/adapter/configfeed"
	"mimosaarch.example/decide/router"
)

// newFeed makes the duty that keeps the configuration.
func (n *Node) newFeed(client configfeed.Platform) *configfeed.Feed {
	sink := func(config *router.Config) { n.tell(router.ConfigSeen{Config: config}) }
	return configfeed.New(client, sink, configfeed.Settings{})
}

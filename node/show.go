package node

import (
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// Ready reports whether the node takes requests and knows an upstream for
// each service.
func (n *Node) Ready() bool { return n.view.Load().ready }

// Explain gives the decisions kept of a request; nil when none is kept.
func (n *Node) Explain(id ids.Request) []router.Decision { return n.records.Of(id) }

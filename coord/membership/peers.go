package membership

import (
	"slices"

	"sprucelane.example/sprucelane/coord/ring"
)

// peers are the machines with which a machine exchanges messages, as its ring determines them.
type peers struct {
	ring         *ring.Ring
	monitors     []string // receive this machine's heartbeats
	predecessors []string // send heartbeats to this machine, which is one of their monitors
	links        []string // are probed in turn, so that updates reach distant parts of the ring
}

// peers returns this machine's peers. They change only when the ring does.
func (n *Node) peers() *peers {
	current := n.table.ring()
	if n.cachedPeers.ring == current {
		return &n.cachedPeers
	}
	self := n.config.Self.Name
	monitors := current.Successors(self, n.config.Monitors)
	isOther := func(name string) bool { return name != self && !slices.Contains(monitors, name) }
	n.cachedPeers = peers{
		ring:         current,
		monitors:     monitors,
		predecessors: current.Predecessors(self, n.config.Monitors),
		links:        current.OwnersFunc(self, n.config.Links, isOther),
	}
	return &n.cachedPeers
}

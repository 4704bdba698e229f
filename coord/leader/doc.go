// Package leader runs singleton roles on one node at a time.
//
// A Source says whether this node leads and until when: coord/replica.Node is one, whose leadership
// is that of the chain's head, proven by a majority of voters. An Election is the pure state machine
// that turns what the source says into starts and stops; a Runner carries it and runs the role.
//
// A role gets a Term. It asks Term.Valid right before each act that only one node may do: a context
// that is cancelled comes too late for a process that stood still. A role stops when its term ends,
// and starts again under a higher epoch.
//
// Leadership moves in two ways. Planned: Resign stops the role, waits for it, and then hands the
// leadership to another node, which may act after the source's delay. Unplanned: the source's proof
// runs out here, and the voters decide on another head, which waits until that must have happened.
package leader

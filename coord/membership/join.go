package membership

import "slices"

const (
	// eagerJoinRounds is the number of rounds during which a machine that has received no table asks a seed in
	// every round.
	eagerJoinRounds = 100
	// reconnectRounds is the number of rounds between attempts to reach a dead machine or an absent seed, and
	// between attempts to join after eagerJoinRounds.
	reconnectRounds = 10
)

// join asks a seed for its table until a table has been received.
func (n *Node) join() {
	if n.hasSynced || n.rounds > eagerJoinRounds && n.rounds%reconnectRounds != 0 {
		return
	}
	if seed := n.pickSeed(); seed != "" {
		n.sendTo("", seed, Message{Kind: Join, Updates: []Update{n.Self()}})
	}
}

// pickSeed returns the address of a random seed other than this machine, or an empty string.
func (n *Node) pickSeed() string {
	isSelf := func(address string) bool { return address == n.config.Self.Address }
	seeds := slices.DeleteFunc(slices.Clone(n.config.Seeds), isSelf)
	if len(seeds) == 0 {
		return ""
	}
	return seeds[n.random.IntN(len(seeds))]
}

// reconnect contacts a random machine that is known as Dead, or a seed whose address no machine on the ring
// has. If it answers, a partition has healed, and the two sides merge. Machines that are Left aren't contacted.
func (n *Node) reconnect() {
	present := make(map[string]bool)
	for _, name := range n.table.ring().Names() {
		present[n.table.entries[name].update.Member.Address] = true
	}
	addresses := slices.Clone(n.config.Seeds)
	for name := range n.table.departed {
		if known := n.table.entries[name].update; known.State == Dead {
			addresses = append(addresses, known.Member.Address)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return present[address] })
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses) // the choice must not depend on the map's order, so that runs replay by seed
	address := addresses[n.random.IntN(len(addresses))]
	n.sendTo("", address, Message{Kind: Join, Updates: []Update{n.Self()}})
}

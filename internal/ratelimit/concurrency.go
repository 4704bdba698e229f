package ratelimit

// SlotAvailable reports whether a customer may have one more request in flight. limit is the number of slots over all n
// gateways; local and remote are the requests in flight from this gateway and, as far as it knows, from the others.
// Gateways that receive no messages from each other (connected is false) use equal shares of at least one slot, so that
// n gateways together have at most limit or n requests in flight, whichever is more.
func SlotAvailable(limit, local, remote, n int, connected bool) bool {
	if !connected {
		return local < max(1, limit/n)
	}
	return local+remote < limit
}

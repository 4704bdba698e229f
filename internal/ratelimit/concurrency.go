package ratelimit

// SlotAvailable reports whether a customer may have one more request in flight, of limit over all n gateways, with
// so many in flight from here and, as far as is known, from the others. Gateways that receive no messages of each other
// (connected is false) use equal shares of at least one slot, so that n gateways together have at most limit or n
// requests in flight, whichever is more.
func SlotAvailable(limit, local, remote, n int, connected bool) bool {
	if !connected {
		return local < max(1, limit/n)
	}
	return local+remote < limit
}

package ledger

// Slot tells whether an account may have one more attempt out, of most over all its n gateways, where so many are out from
// here and others are known to have so many. Where gateways don't hear each other each keeps to its part, one at least: n
// gateways then have most or n out, whichever is more.
func SlotAvailable(most, here, others, n int, heard bool) bool {
	if !heard {
		return here < max(1, most/n)
	}
	return here+others < most
}

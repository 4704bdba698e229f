package view

// GenesisIncarnation is the incarnation of the founders, the machines that the system starts with.
const GenesisIncarnation = "genesis"

// Member is one incarnation of a machine's disk. Address and Incarnation identify it; Node is empty in the
// genesis view.
type Member struct {
	Node        string // name of the machine, for display and to recognise a replacement
	Address     string // coordination address, "ip:port"
	Incarnation string // generated when the disk was empty; GenesisIncarnation for founders
}

// ID returns a string that identifies the member. The same address with another disk has another ID.
func (m Member) ID() string { return m.Address + "#" + m.Incarnation }

// Same reports whether m and other are the same incarnation of the same disk. It ignores their Node names, which
// may be unknown.
func (m Member) Same(other Member) bool {
	return m.Address == other.Address && m.Incarnation == other.Incarnation
}

// IsZero reports whether m identifies no member: its Address and Incarnation are empty.
func (m Member) IsZero() bool { return m.Address == "" && m.Incarnation == "" }

// Index returns the position of m among members, or -1.
func Index(members []Member, m Member) int {
	for i := range members {
		if members[i].Same(m) {
			return i
		}
	}
	return -1
}

// SameMembers reports whether both lists hold the same members in the same order.
func SameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !a[i].Same(b[i]) {
			return false
		}
	}
	return true
}

// countCommon returns the number of members of a that are also in b.
func countCommon(a, b []Member) int {
	count := 0
	for _, m := range a {
		if Index(b, m) >= 0 {
			count++
		}
	}
	return count
}

package view

import (
	"sort"
	"strings"
)

// GenesisIncarnation is the incarnation of the machines that found the system.
const GenesisIncarnation = "genesis"

// GenesisEpoch is the epoch of the view that needs no agreement.
const GenesisEpoch = 1

// Member is one life of a machine's disk. Address and Incarnation identify it; Node may be unknown
// in the genesis view.
type Member struct {
	Node        string // name of the machine, for people and to recognise a replacement
	Address     string // coordination address, "ip:port"
	Incarnation string // drawn when the disk was empty; GenesisIncarnation for founders
}

// ID identifies the member: the same address with a lost disk is another member.
func (m Member) ID() string { return m.Address + "#" + m.Incarnation }

// Same reports whether both are the same life of the same disk.
func (m Member) Same(other Member) bool {
	return m.Address == other.Address && m.Incarnation == other.Incarnation
}

// IsZero reports whether m names nobody.
func (m Member) IsZero() bool { return m.Address == "" && m.Incarnation == "" }

// View says who may vote on the next view and who forms the chain of this one. It is immutable.
type View struct {
	Epoch  uint64
	Voters []Member // decide, by a majority, on the view of Epoch+1
	Chain  []Member // head first, tail last; all of them are voters
	Source Member   // the chain's other members copy their prefix from it before anything commits

	// SourceEpoch is the last epoch before this one in which an order may have committed. Every
	// member whose log was whole in that epoch or later holds all of them.
	SourceEpoch uint64

	// Terms are the epochs, the newest first, in which the last order before this view may have
	// committed: SourceEpoch, and those that come next should nothing have committed in it. Genesis has
	// none, nor have views from before they were kept.
	Terms []Term
}

// Term is an epoch and the chain that had to be whole in it before anything committed.
type Term struct {
	Epoch uint64
	Chain []Member
}

// Genesis returns the first view, which every process derives alike from the same seeds.
func Genesis(seeds []string) View {
	addresses := append([]string(nil), seeds...)
	sort.Strings(addresses)
	members := make([]Member, 0, len(addresses))
	for i, address := range addresses {
		if i > 0 && address == addresses[i-1] {
			continue
		}
		members = append(members, Member{Address: address, Incarnation: GenesisIncarnation})
	}
	if len(members) == 0 {
		return View{}
	}
	return View{Epoch: GenesisEpoch, Voters: members, Chain: members, Source: members[0]}
}

// IsVoter reports whether m votes in this view.
func (v View) IsVoter(m Member) bool { return Index(v.Voters, m) >= 0 }

// InChain reports whether m belongs to this view's chain.
func (v View) InChain(m Member) bool { return Index(v.Chain, m) >= 0 }

// Majority is the number of voters that decide.
func (v View) Majority() int { return len(v.Voters)/2 + 1 }

// Head returns the member that orders writes.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail returns the member whose copy completes an order.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// Neighbours returns the members before and after m in the chain (zero where there is none).
func (v View) Adjacent(m Member) (before, after Member) {
	position := Index(v.Chain, m)
	if position < 0 {
		return Member{}, Member{}
	}
	if position > 0 {
		before = v.Chain[position-1]
	}
	if position+1 < len(v.Chain) {
		after = v.Chain[position+1]
	}
	return before, after
}

// String names the view for logs.
func (v View) String() string {
	names := make([]string, len(v.Chain))
	for i, m := range v.Chain {
		names[i] = m.Node
		if m.Node == "" {
			names[i] = m.Address
		}
	}
	return strings.Join(names, ">")
}

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

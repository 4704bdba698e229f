package view

import (
	"sort"
	"strings"
)

// GenesisEpoch is the epoch of the view that needs no agreement.
const GenesisEpoch = 1

// View is one configuration of the system. It says who votes on the next view and who forms the chain of this
// one. It is immutable, and all who know a view of an epoch know the same one.
type View struct {
	Epoch  uint64
	Voters []Member // a majority of them decides on the view of Epoch+1
	Chain  []Member // head first, tail last; all of them are voters
	Source Member   // the chain's other members copy their prefix from its log before anything commits

	// SourceEpoch is the last epoch before this one in which a command may have committed. The log of every
	// member that was synced in that epoch or later holds all committed commands.
	SourceEpoch uint64

	// Terms are the epochs, the newest first, in which the last command before this view may have committed:
	// SourceEpoch, and those that count instead should it prove that nothing committed there. Empty in the
	// genesis view and in views from before Terms were recorded.
	Terms []Term
}

// Term is an epoch with its chain, all of which had to be synced in the epoch before anything committed.
type Term struct {
	Epoch uint64
	Chain []Member
}

// Genesis returns the first view, which every process derives alike from the same seeds in any order. All
// founders vote and are in the chain; the one with the lowest address is its head. Without seeds the view is
// zero.
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

// Majority is the number of voters that decide. Any two sets of that size have a member in common.
func (v View) Majority() int { return len(v.Voters)/2 + 1 }

// Head returns the head of the chain, which gives each command its index; zero if there is no chain.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail returns the tail of the chain, whose sync commits a command; zero if there is no chain.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// Adjacent returns the members right before and after m in the chain, zero where there is none.
func (v View) Adjacent(m Member) (predecessor, successor Member) {
	position := Index(v.Chain, m)
	if position < 0 {
		return Member{}, Member{}
	}
	if position > 0 {
		predecessor = v.Chain[position-1]
	}
	if position+1 < len(v.Chain) {
		successor = v.Chain[position+1]
	}
	return predecessor, successor
}

// String lists the chain for logs, as "head>middle>tail", by machine names or by addresses where these are
// unknown.
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

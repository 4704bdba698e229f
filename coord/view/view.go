package view

import (
	"sort"
	"strings"
)

// GenesisEpoch is the epoch of the first view, which needs no agreement.
const GenesisEpoch = 1

// View is one configuration of the system. It defines which members vote on the next view and which members
// form the chain of this view. It is immutable, and there is at most one view for each epoch.
type View struct {
	Epoch  uint64
	Voters []Member // a majority of them decides on the view of Epoch+1
	Chain  []Member // head first, tail last; all of them are voters
	Source Member   // the chain's other members copy their prefix from its log before anything commits

	// SourceEpoch is the last epoch before this one in which a command may have been committed. The log of
	// every member that was synced in SourceEpoch or later holds all committed commands.
	SourceEpoch uint64

	// Terms are the epochs, newest first, in which the last command before this view may have been committed:
	// SourceEpoch, and the older epochs to use instead if it is proven that nothing was committed
	// in SourceEpoch. Empty in the genesis view and in views that were decided before Terms were recorded.
	Terms []Term
}

// Term is an epoch with its chain. All members of the chain had to be synced in the epoch before any command
// was committed in it.
type Term struct {
	Epoch uint64
	Chain []Member
}

// Genesis returns the first view. Every process derives the same view from the same seeds, whatever their
// order. All founders vote and are in the chain; the founder with the lowest address is its head. Without
// seeds Genesis returns the zero View.
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

// Majority returns the number of voters that can decide on the next view. Any two sets of that many voters have
// a member in common.
func (v View) Majority() int { return len(v.Voters)/2 + 1 }

// Head returns the head of the chain, which assigns each command its index, or the zero Member if the chain is
// empty.
func (v View) Head() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[0]
}

// Tail returns the tail of the chain, or the zero Member if the chain is empty. A command is committed once the
// tail has synced it to its disk.
func (v View) Tail() Member {
	if len(v.Chain) == 0 {
		return Member{}
	}
	return v.Chain[len(v.Chain)-1]
}

// Adjacent returns the members directly before and after m in the chain, or the zero Member where there is
// none.
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

// String returns the chain for logs, as "head>middle>tail". It uses the names of the machines, and the address
// of a member whose machine name is unknown.
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

package view_test

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// Three founders replace the view of epoch 1 after the third founder has failed. The caller transports the
// messages; here they are function calls. A real caller writes Acceptor.DurableState, if it has changed, before
// it sends an answer.
func Example() {
	genesis := view.Genesis([]string{"10.0.0.1:7350", "10.0.0.2:7350", "10.0.0.3:7350"})
	var alive []*view.Acceptor
	for _, member := range genesis.Voters[:2] {
		alive = append(alive, &view.Acceptor{Self: member, DurableState: view.DurableState{View: genesis}})
	}
	isAlive := func(m view.Member) bool {
		return m.Same(alive[0].Self) || m.Same(alive[1].Self)
	}

	// Phase 1: the proposer collects the promises and the log states of the voters.
	proposer := alive[0].Self
	proposal := view.NewProposal(genesis, view.ProposalNumber{Round: 1, Member: proposer.ID()})
	for _, acceptor := range alive {
		log := view.LogState{Synced: genesis.Epoch, End: 42}
		if answer, _ := acceptor.OnPrepare(proposal.Prepare(), log); answer != nil {
			proposal.OnPrepareResponse(answer.(view.PrepareResponse))
		}
	}

	// The planner computes the next view from what the proposer observes; Choose ensures that no command is lost.
	planner := view.Planner{
		Current:        genesis,
		Tolerance:      1,
		ResolveNode:    func(m view.Member) view.Member { return m },
		Alive:          isAlive,
		Leaving:        func(view.Member) bool { return false },
		MayJoin:        isAlive,
		UnreachableFor: func(view.Member) time.Duration { return 0 },
	}
	fmt.Println("chosen:", proposal.Choose(isAlive, planner.Plan))

	// Phase 2: a majority of votes decides.
	for _, acceptor := range alive {
		answer, _ := acceptor.OnAccept(proposal.Accept())
		if decided := proposal.OnAcceptResponse(answer.(view.AcceptResponse)); decided != nil {
			fmt.Println("decided: epoch", decided.Epoch, "chain", decided)
		}
	}
	// Output:
	// chosen: true
	// decided: epoch 2 chain 10.0.0.1:7350>10.0.0.2:7350
}

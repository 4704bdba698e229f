package view

// Ballot orders the proposals of one instance.
type ProposalNumber struct {
	Round  uint64
	Member string // ID of the proposer
}

// Less reports whether b is lower than other.
func (b ProposalNumber) Less(other ProposalNumber) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Member < other.Member
}

// IsZero reports whether there is no ballot.
func (b ProposalNumber) IsZero() bool { return b.Round == 0 }

// Prepare asks the voters of View for a promise on the instance View.Epoch+1.
type Prepare struct {
	View   View // the proposer's present view, so that a voter that lags adopts it first
	Ballot ProposalNumber
}

// LogState tells what the log of a promiser holds. It can't change after the promise.
type LogState struct {
	Synced uint64 // highest epoch in which the log was whole
	End    uint64 // index of the last order
}

// Promise wedges its sender in Epoch.
type PrepareResponse struct {
	From           Member
	Epoch          uint64 // present epoch; the instance is Epoch+1
	Ballot         ProposalNumber
	Log            LogState
	AcceptedBallot ProposalNumber
	Accepted       *View
}

// Accept asks for the vote on a value.
type Accept struct {
	View   View // present view
	Ballot ProposalNumber
	Value  View
}

// Accepted is a vote.
type AcceptResponse struct {
	From   Member
	Epoch  uint64
	Ballot ProposalNumber
}

// Refused tells a proposer which ballot stands in its way.
type Reject struct {
	From     Member
	Epoch    uint64
	Promised ProposalNumber
}

// Decided tells of a view that a majority accepted.
type Decided struct {
	View View
}

package view

// Ballot orders the proposals of one instance.
type Ballot struct {
	Round  uint64
	Member string // ID of the proposer
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Member < other.Member
}

// IsZero reports whether there is no ballot.
func (b Ballot) IsZero() bool { return b.Round == 0 }

// Prepare asks the voters of View for a promise on the instance View.Epoch+1.
type Prepare struct {
	View   View // the proposer's present view, so that a voter that lags adopts it first
	Ballot Ballot
}

// LogState tells what the log of a promiser holds. It can't change after the promise.
type LogState struct {
	Synced uint64 // highest epoch in which the log was whole
	End    uint64 // index of the last order
}

// Promise wedges its sender in Epoch.
type Promise struct {
	From           Member
	Epoch          uint64 // present epoch; the instance is Epoch+1
	Ballot         Ballot
	Log            LogState
	AcceptedBallot Ballot
	Accepted       *View
}

// Accept asks for the vote on a value.
type Accept struct {
	View   View // present view
	Ballot Ballot
	Value  View
}

// Accepted is a vote.
type Accepted struct {
	From   Member
	Epoch  uint64
	Ballot Ballot
}

// Refused tells a proposer which ballot stands in its way.
type Refused struct {
	From     Member
	Epoch    uint64
	Promised Ballot
}

// Decided tells of a view that a majority accepted.
type Decided struct {
	View View
}

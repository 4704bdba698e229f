package view

// The messages of the agreement. Their fields are encoded by name (encoding/gob), so they must keep the names
// that earlier versions send.

// ProposalNumber orders the proposals of one instance (the proposal number or ballot of Paxos). No two proposers
// use the same number, because it contains the proposer's ID, and a proposer never uses a number twice.
type ProposalNumber struct {
	Round  uint64
	Member string // ID of the proposer
}

// Less reports whether n is lower than other: by round, and within a round by proposer.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	if n.Round != other.Round {
		return n.Round < other.Round
	}
	return n.Member < other.Member
}

// IsZero reports whether n is the number of no proposal. Proposers count rounds from 1.
func (n ProposalNumber) IsZero() bool { return n.Round == 0 }

// Prepare asks the voters of View for a promise in the instance View.Epoch+1 (phase 1a).
type Prepare struct {
	View   View // the proposer's current view: a voter that lags adopts it before it answers
	Ballot ProposalNumber
}

// LogState describes the log of a responder. It can't change after the response, because the responder is
// wedged.
type LogState struct {
	Synced uint64 // highest epoch in which the log was a complete prefix
	End    uint64 // index of the last command
}

// PrepareResponse is the promise not to accept a lower proposal (phase 1b). Its sender is wedged in Epoch.
type PrepareResponse struct {
	From           Member
	Epoch          uint64 // current epoch; the instance is Epoch+1
	Ballot         ProposalNumber
	Log            LogState
	AcceptedBallot ProposalNumber // number of Accepted
	Accepted       *View          // last value that the sender accepted, nil if none
}

// Response is the answer of an Acceptor to a proposer: a PrepareResponse, an AcceptResponse or a Reject.
type Response interface{ isResponse() }

func (PrepareResponse) isResponse() {}
func (AcceptResponse) isResponse()  {}
func (Reject) isResponse()          {}

// Accept asks the voters of View to accept Value as the view of View.Epoch+1 (phase 2a).
type Accept struct {
	View   View // current view, as in Prepare
	Ballot ProposalNumber
	Value  View
}

// AcceptResponse is a vote for the value of a proposal (phase 2b).
type AcceptResponse struct {
	From   Member
	Epoch  uint64
	Ballot ProposalNumber
}

// Reject informs a proposer that the sender has promised a higher proposal, so that the proposer can choose a
// number above Promised.
type Reject struct {
	From     Member
	Epoch    uint64
	Promised ProposalNumber
}

// Decided announces a decided view.
type Decided struct {
	View View
}

package view

// The fields of all messages are encoded by name (encoding/gob): they keep the names that earlier versions
// send.

// ProposalNumber orders the proposals of one instance (Paxos' proposal number or ballot). No two proposers
// use the same one, because it has the proposer's ID, and a proposer never uses one twice.
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

// IsZero reports whether there is no proposal. Proposers count rounds from 1.
func (n ProposalNumber) IsZero() bool { return n.Round == 0 }

// Prepare asks the voters of View to promise for the instance View.Epoch+1 (phase 1a).
type Prepare struct {
	View   View // the proposer's current view: a voter that lags adopts it before it answers
	Ballot ProposalNumber
}

// LogState says what the log of a responder holds. It can't change after the response, as the responder is
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
	Accepted       *View          // the last value that the sender accepted, nil if none
}

// Response is what an Acceptor answers a proposer: a PrepareResponse, an AcceptResponse or a Reject.
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

// Reject tells a proposer of the higher proposal that its own has met, so that it can choose a number above.
type Reject struct {
	From     Member
	Epoch    uint64
	Promised ProposalNumber
}

// Decided makes a decided view known.
type Decided struct {
	View View
}

package view

import "fmt"

// DurableState is the state of an acceptor that must survive restarts: what Paxos requires to be in stable
// storage before an answer is sent. Its fields are encoded by name and keep their names.
type DurableState struct {
	View           View           // highest decided view that the member knows
	Promised       ProposalNumber // in the instance View.Epoch+1; not zero: wedged
	AcceptedBallot ProposalNumber // number of Accepted
	Accepted       *View          // value accepted last in the instance, nil if none
}

// Wedged reports whether the member has answered a proposer of its view's successor. It then takes no further
// part in the epoch of its view.
func (d *DurableState) Wedged() bool { return !d.Promised.IsZero() }

// Adopt moves to a decided view with a higher epoch and reports whether it did. Promises and votes of the
// instance before end with it: that instance is decided, so that they can't change its outcome any more.
func (d *DurableState) Adopt(v View) bool {
	if v.Epoch <= d.View.Epoch {
		return false
	}
	*d = DurableState{View: v}
	return true
}

// Acceptor answers the proposers of the successor of its view. The caller writes DurableState before it sends
// an answer.
type Acceptor struct {
	Self Member
	DurableState
}

// OnPrepare handles phase 1 for the current epoch. The answer is a PrepareResponse or a Reject, or nil if the
// message is of another epoch or this member doesn't vote. changed says that the state must be written first.
// log is the state of this member's log, which must not change once the answer is sent.
//
// A promise excludes all lower numbers from now on, and reports the highest that was accepted before. That is
// all that Paxos asks of phase 1 (Lamport, "Paxos Made Simple", section 2.2).
func (a *Acceptor) OnPrepare(p Prepare, log LogState) (answer Response, changed bool) {
	if p.View.Epoch != a.View.Epoch || !a.View.IsVoter(a.Self) {
		return nil, false
	}
	if p.Ballot.Less(a.Promised) {
		return Reject{From: a.Self, Epoch: a.View.Epoch, Promised: a.Promised}, false
	}
	// An equal number is the same proposer's repeated message and gets the same answer.
	changed = a.Promised != p.Ballot
	a.Promised = p.Ballot
	return PrepareResponse{
		From:           a.Self,
		Epoch:          a.View.Epoch,
		Ballot:         p.Ballot,
		Log:            log,
		AcceptedBallot: a.AcceptedBallot,
		Accepted:       a.Accepted,
	}, changed
}

// OnAccept handles phase 2 for the current epoch. The answer is an AcceptResponse or a Reject, or nil if the
// message is of another epoch or this member doesn't vote. changed says that the state must be written first.
//
// It accepts unless it has promised a higher number. Accepting raises the promise as well: the member is
// wedged even if it never saw the prepare, and a lower proposal can't replace the value.
func (a *Acceptor) OnAccept(m Accept) (answer Response, changed bool) {
	if m.View.Epoch != a.View.Epoch || !a.View.IsVoter(a.Self) {
		return nil, false
	}
	if m.Ballot.Less(a.Promised) {
		return Reject{From: a.Self, Epoch: a.View.Epoch, Promised: a.Promised}, false
	}
	if m.Value.Epoch != a.View.Epoch+1 {
		panic(fmt.Sprintf("view: value of epoch %d voted on in epoch %d", m.Value.Epoch, a.View.Epoch))
	}
	changed = a.AcceptedBallot != m.Ballot
	value := m.Value
	a.Promised, a.AcceptedBallot, a.Accepted = m.Ballot, m.Ballot, &value
	return AcceptResponse{From: a.Self, Epoch: a.View.Epoch, Ballot: m.Ballot}, changed
}

package view

import "fmt"

// DurableState is the state of an acceptor that must survive restarts: Paxos requires it to be in stable
// storage before a response is sent. Its fields are encoded by name and keep their names.
type DurableState struct {
	View           View           // highest decided view that the member knows
	Promised       ProposalNumber // in the instance View.Epoch+1; if not zero, the member is wedged
	AcceptedBallot ProposalNumber // number of Accepted
	Accepted       *View          // last value accepted in the instance, nil if none
}

// Wedged reports whether the member has answered a proposer of its view's successor. A wedged member takes no
// further part in the epoch of its view.
func (d *DurableState) Wedged() bool { return !d.Promised.IsZero() }

// Adopt replaces the state by the decided view v if v has a higher epoch, and reports whether it did. The
// promise and the vote of the previous instance are discarded: that instance is decided, so that they can no
// longer change its outcome.
func (d *DurableState) Adopt(v View) bool {
	if v.Epoch <= d.View.Epoch {
		return false
	}
	*d = DurableState{View: v}
	return true
}

// Acceptor answers the proposers of the successor of its view. The caller must write DurableState durably before
// it sends an answer.
type Acceptor struct {
	Self Member
	DurableState
}

// OnPrepare handles a phase 1 message for the current epoch. The answer is a PrepareResponse or a Reject, or nil
// if the message is for another epoch or this member doesn't vote. If changed is true, the state must be written
// before the answer is sent. log is the state of this member's log, which must not change once the answer is sent.
//
// A promise excludes all lower numbers from now on, and reports the accepted proposal with the highest number.
// Paxos requires nothing else of phase 1 (Lamport, "Paxos Made Simple", section 2.2).
func (a *Acceptor) OnPrepare(p Prepare, log LogState) (answer Response, changed bool) {
	if p.View.Epoch != a.View.Epoch || !a.View.IsVoter(a.Self) {
		return nil, false
	}
	if p.Ballot.Less(a.Promised) {
		return Reject{From: a.Self, Epoch: a.View.Epoch, Promised: a.Promised}, false
	}
	// An equal number is a repeated message of the same proposer and gets the same answer.
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

// OnAccept handles a phase 2 message for the current epoch. The answer is an AcceptResponse or a Reject, or nil
// if the message is for another epoch or this member doesn't vote. If changed is true, the state must be written
// before the answer is sent.
//
// OnAccept accepts the value unless the member has promised a higher number. Accepting raises the promise as
// well: the member is wedged even if it never received the prepare, and a lower proposal can't replace the
// value.
func (a *Acceptor) OnAccept(m Accept) (answer Response, changed bool) {
	if m.View.Epoch != a.View.Epoch || !a.View.IsVoter(a.Self) {
		return nil, false
	}
	if m.Ballot.Less(a.Promised) {
		return Reject{From: a.Self, Epoch: a.View.Epoch, Promised: a.Promised}, false
	}
	if m.Value.Epoch != a.View.Epoch+1 {
		panic(fmt.Sprintf("view: proposed value has epoch %d, want the successor of epoch %d", m.Value.Epoch, a.View.Epoch))
	}
	changed = a.AcceptedBallot != m.Ballot
	value := m.Value
	a.Promised, a.AcceptedBallot, a.Accepted = m.Ballot, m.Ballot, &value
	return AcceptResponse{From: a.Self, Epoch: a.View.Epoch, Ballot: m.Ballot}, changed
}

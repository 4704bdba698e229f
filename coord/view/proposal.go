package view

// Proposal is one attempt of a proposer to decide on the successor of a view.
type Proposal struct {
	View             View // current view, whose voters decide
	Number           ProposalNumber
	Value            *View             // nil until Choose sets it; never changes afterwards
	prepareResponses []PrepareResponse // at most one from each voter
	acceptedBy       []Member          // voters that accepted Value, each once
}

// NewProposal returns a proposal for the successor of current. number must be higher than any number that this
// proposer has used in the instance.
func NewProposal(current View, number ProposalNumber) *Proposal {
	return &Proposal{View: current, Number: number}
}

// Prepare returns the phase 1 message, to be sent to all voters.
func (p *Proposal) Prepare() Prepare { return Prepare{View: p.View, Ballot: p.Number} }

// OnPrepareResponse records a response to this proposal's Prepare. It ignores repeated responses,
// responses to other proposals and responses of members that don't vote.
func (p *Proposal) OnPrepareResponse(m PrepareResponse) {
	if m.Epoch != p.View.Epoch || m.Ballot != p.Number || !p.View.IsVoter(m.From) || p.HasPromised(m.From) {
		return
	}
	p.prepareResponses = append(p.prepareResponses, m)
}

// HasPromised reports whether m has responded to this proposal's Prepare.
func (p *Proposal) HasPromised(m Member) bool {
	for i := range p.prepareResponses {
		if p.prepareResponses[i].From.Same(m) {
			return true
		}
	}
	return false
}

// HasMajority reports whether a majority of the voters has responded to the Prepare.
func (p *Proposal) HasMajority() bool { return len(p.prepareResponses) >= p.View.Majority() }

// PlanFunc returns the voters and the chain of the next view for the given source. synced lists the responders,
// including the source, whose logs hold every command that may have been committed. ok is false if there is no
// acceptable plan.
type PlanFunc func(source Member, synced []Member) (voters, chain []Member, ok bool)

// Choose sets Value, unless it is already set, and reports whether it is set. It returns false while the
// responses don't suffice, or if plan returns no acceptable plan.
//
// If responders have accepted values, the value with the highest number is proposed again: it may have been
// decided, and every higher proposal must then carry it (Lamport, "Paxos Made Simple", section 2.2, condition
// P2c). Only if no responder has accepted a value may the proposer choose one; the value is then the one that
// plan returns for a source that ChooseSource proves safe, a preferred member if possible.
func (p *Proposal) Choose(prefer func(Member) bool, plan PlanFunc) bool {
	if p.Value != nil || !p.HasMajority() {
		return p.Value != nil
	}
	if accepted := p.highestAccepted(); accepted != nil {
		p.Value = accepted
		return true
	}
	source, terms, ok := ChooseSource(p.View, p.prepareResponses, prefer)
	if !ok {
		return false
	}
	voters, chain, ok := plan(source, p.syncedSince(terms[0].Epoch))
	if !ok || Index(chain, source) < 0 {
		return false
	}
	p.Value = &View{
		Epoch:       p.View.Epoch + 1,
		Voters:      voters,
		Chain:       chain,
		Source:      source,
		SourceEpoch: terms[0].Epoch,
		Terms:       terms,
	}
	return true
}

// syncedSince returns the responders whose logs were complete in the given epoch or later.
func (p *Proposal) syncedSince(epoch uint64) []Member {
	var members []Member
	for _, m := range p.prepareResponses {
		if m.Log.Synced >= epoch {
			members = append(members, m.From)
		}
	}
	return members
}

// highestAccepted returns the accepted value with the highest number among the responses, or nil if no
// responder has accepted a value.
func (p *Proposal) highestAccepted() *View {
	var highest ProposalNumber
	var value *View
	for _, m := range p.prepareResponses {
		if m.Accepted != nil && highest.Less(m.AcceptedBallot) {
			highest, value = m.AcceptedBallot, m.Accepted
		}
	}
	return value
}

// Accept returns the phase 2 message, to be sent to all voters. Choose must have set Value.
func (p *Proposal) Accept() Accept {
	return Accept{View: p.View, Ballot: p.Number, Value: *p.Value}
}

// OnAcceptResponse counts a vote. It returns the decided view once a majority has accepted it, and nil before
// that. From then on every higher proposal has a response from one of these voters in its phase 1 and proposes
// the same value.
func (p *Proposal) OnAcceptResponse(m AcceptResponse) (decided *View) {
	if p.Value == nil || m.Epoch != p.View.Epoch || m.Ballot != p.Number || !p.View.IsVoter(m.From) {
		return nil
	}
	if Index(p.acceptedBy, m.From) < 0 {
		p.acceptedBy = append(p.acceptedBy, m.From)
	}
	if len(p.acceptedBy) < p.View.Majority() {
		return nil
	}
	return p.Value
}

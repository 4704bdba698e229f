package view

// Proposal is one attempt of a proposer to decide on the successor of a view.
type Proposal struct {
	View             View // current view, whose voters decide
	Number           ProposalNumber
	Value            *View             // nil until Choose has fixed it; it never changes afterwards
	prepareResponses []PrepareResponse // at most one of each voter
	acceptedBy       []Member          // voters that accepted Value, each once
}

// NewProposal starts an attempt. number must be higher than any that this proposer used in the instance.
func NewProposal(current View, number ProposalNumber) *Proposal {
	return &Proposal{View: current, Number: number}
}

// Prepare returns the message of phase 1 to all voters.
func (p *Proposal) Prepare() Prepare { return Prepare{View: p.View, Ballot: p.Number} }

// OnPrepareResponse counts a response to this proposal's Prepare; any other one, and a repeated one, is
// ignored.
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

// PlanFunc makes the voters and the chain of a next view for its source. synced are the responders, the
// source among them, whose logs hold every command that may have committed. It returns false if there is no
// acceptable plan.
type PlanFunc func(source Member, synced []Member) (voters, chain []Member, ok bool)

// Choose fixes the value and reports whether there is one. It returns false while the responses don't
// suffice.
//
// If a responder has accepted a value, the one with the highest number is proposed again: it may have been
// decided, and every higher proposal must then carry it (Lamport, "Paxos Made Simple", section 2.2, condition
// P2c). Only if no responder has accepted any is the proposer free; the value is then the one that plan makes
// for a source that ChooseSource proves safe, a preferred member if possible.
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

// syncedSince returns the responders whose logs were complete in an epoch or later.
func (p *Proposal) syncedSince(epoch uint64) []Member {
	var members []Member
	for _, m := range p.prepareResponses {
		if m.Log.Synced >= epoch {
			members = append(members, m.From)
		}
	}
	return members
}

// highestAccepted returns the accepted value with the highest number among the responses, nil if there is
// none.
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

// Accept returns the message of phase 2 to all voters. Choose must have fixed a value.
func (p *Proposal) Accept() Accept {
	return Accept{View: p.View, Ballot: p.Number, Value: *p.Value}
}

// OnAcceptResponse counts a vote and returns the view once a majority has accepted it, nil before. From then
// on every higher proposal meets one of these voters in its phase 1 and proposes the same value.
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

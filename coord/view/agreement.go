package view

import "fmt"

// Durable is what an acceptor must never forget.
type DurableState struct {
	View           View           // highest decided view that the member knows
	Promised       ProposalNumber // in the instance View.Epoch+1; not zero: wedged
	AcceptedBallot ProposalNumber
	Accepted       *View
}

// Wedged reports whether the member has promised a successor of its view.
func (d *DurableState) Wedged() bool { return !d.Promised.IsZero() }

// Adopt moves to a decided view with a higher epoch and reports whether it did.
func (d *DurableState) Adopt(v View) bool {
	if v.Epoch <= d.View.Epoch {
		return false
	}
	*d = DurableState{View: v}
	return true
}

// Acceptor decides on the messages of proposers. A caller writes the state durably before it
// sends the answer.
type Acceptor struct {
	Self Member
	DurableState
}

// OnPrepare answers a prepare of the present epoch. changed tells that the state must be written.
func (a *Acceptor) OnPrepare(p Prepare, log LogState) (answer any, changed bool) {
	if p.View.Epoch != a.View.Epoch || !a.View.IsVoter(a.Self) {
		return nil, false
	}
	if p.Ballot.Less(a.Promised) {
		return Reject{From: a.Self, Epoch: a.View.Epoch, Promised: a.Promised}, false
	}
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

// OnAccept votes on a value of the present instance.
func (a *Acceptor) OnAccept(m Accept) (answer any, changed bool) {
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

// Proposal is one attempt to decide on the successor of a view.
type Proposal struct {
	View             View
	Number           ProposalNumber
	Value            *View // set once the promises allow a value
	prepareResponses []PrepareResponse
	acceptedBy       []Member
}

// NewProposal starts an attempt.
func NewProposal(present View, ballot ProposalNumber) *Proposal {
	return &Proposal{View: present, Number: ballot}
}

// Prepare returns the message to all voters.
func (p *Proposal) Prepare() Prepare { return Prepare{View: p.View, Ballot: p.Number} }

// OnPromise counts a promise.
func (p *Proposal) OnPrepareResponse(m PrepareResponse) {
	if m.Epoch != p.View.Epoch || m.Ballot != p.Number || !p.View.IsVoter(m.From) {
		return
	}
	for i := range p.prepareResponses {
		if p.prepareResponses[i].From.Same(m.From) {
			return
		}
	}
	p.prepareResponses = append(p.prepareResponses, m)
}

// Promised reports whether m has promised.
func (p *Proposal) HasPromised(m Member) bool {
	for i := range p.prepareResponses {
		if p.prepareResponses[i].From.Same(m) {
			return true
		}
	}
	return false
}

// HasMajority reports whether a majority of the voters has promised.
func (p *Proposal) HasMajority() bool { return len(p.prepareResponses) >= p.View.Majority() }

// MakePlan makes the voters and the chain of a next view for its source. The holders are the promisers,
// the source among them, that hold every order that may have committed.
type PlanFunc func(source Member, holders []Member) (voters, chain []Member, ok bool)

// Choose fixes the value: the accepted one with the highest ballot, else the one that plan makes
// for the source, which is one that the proposer prefers, if possible. It returns false while the
// promises don't suffice.
func (p *Proposal) Choose(prefer func(Member) bool, plan PlanFunc) bool {
	if p.Value != nil || !p.HasMajority() {
		return p.Value != nil
	}
	if repaired := p.highestAccepted(); repaired != nil {
		p.Value = repaired
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

// holders returns the promisers whose logs were whole in an epoch or later.
func (p *Proposal) syncedSince(epoch uint64) []Member {
	var members []Member
	for _, m := range p.prepareResponses {
		if m.Log.Synced >= epoch {
			members = append(members, m.From)
		}
	}
	return members
}

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

// Accept returns the message to all voters once a value is chosen.
func (p *Proposal) Accept() Accept {
	return Accept{View: p.View, Ballot: p.Number, Value: *p.Value}
}

// OnAccepted counts a vote and returns the view once it is decided.
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

// maximumTerms bounds what a view remembers of epochs in doubt. Without the older ones fewer losses in
// a row of unfinished views are borne, but no order is ever left out.
const maxTerms = 8

// ChooseSource picks the member whose log the next chain starts from, and the epochs in which an order
// may have committed, the newest first. It returns false when the promises don't prove that no committed
// order is left out; see the package comment for the argument. Any log that the argument allows will
// do; a preferred member's comes first, and then the one with the most.
func ChooseSource(present View, promises []PrepareResponse, prefer func(Member) bool) (source Member, terms []Term, ok bool) {
	terms = termsInDoubt(present)
	for len(terms) > 1 && provenEmpty(terms[0], promises) {
		terms = terms[1:]
	}
	best := -1
	for i, m := range promises {
		if m.Log.Synced < terms[0].Epoch || m.Log.Synced == 0 {
			continue
		}
		if best < 0 || betterSource(m, promises[best], prefer) {
			best = i
		}
	}
	if best < 0 {
		return Member{}, nil, false
	}
	if fullySynced(terms[0], promises) {
		terms = terms[:1]
	}
	return promises[best].From, terms[:min(len(terms), maxTerms)], true
}

// presentTerms returns the epochs up to that of a view in which the last order may have committed.
func termsInDoubt(present View) []Term {
	terms := append([]Term{{Epoch: present.Epoch, Chain: present.Chain}}, present.Terms...)
	if len(present.Terms) == 0 {
		terms = append(terms, Term{Epoch: present.SourceEpoch})
	}
	return terms
}

// disproved reports whether a promiser shows that nothing was ever committed in an epoch: it belonged to
// the chain, wasn't whole in it, and can't become so any more.
func provenEmpty(term Term, promises []PrepareResponse) bool {
	for _, m := range promises {
		if Index(term.Chain, m.From) >= 0 && m.Log.Synced < term.Epoch {
			return true
		}
	}
	return false
}

// proven reports whether all of an epoch's chain promise with logs that were whole in it: it can't be
// disproved any more, and there are more of them than disks may be lost.
func fullySynced(term Term, promises []PrepareResponse) bool {
	whole := 0
	for _, m := range promises {
		if Index(term.Chain, m.From) >= 0 && m.Log.Synced >= term.Epoch {
			whole++
		}
	}
	return whole > 0 && whole == len(term.Chain)
}

func betterSource(a, b PrepareResponse, prefer func(Member) bool) bool {
	if first, second := prefer(a.From), prefer(b.From); first != second {
		return first
	}
	return isMoreUpToDate(a.Log, b.Log)
}

func isMoreUpToDate(a, b LogState) bool {
	if a.Synced != b.Synced {
		return a.Synced > b.Synced
	}
	return a.End > b.End
}

package view

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// viewAttempt is one attempt to decide on the successor of a view: its responders, and the values that the
// proposer may choose, which depend on what it observes.
type viewAttempt struct {
	current    *View
	number     ProposalNumber
	responders []Member
	values     []*View
}

// addAttempts adds attempts in the newest epoch, and attempts in the epoch before it by machines that have not
// learnt of the newest view. If random is nil, it adds all of them, otherwise a random selection.
func (s *membershipState) addAttempts(actions []membershipAction, random *rand.Rand) []membershipAction {
	for _, v := range s.decided[max(len(s.decided)-2, 0):] {
		if v.Epoch >= s.config.maxEpoch || v != s.newest() && s.undecided == s.config.undecided {
			continue
		}
		for _, responders := range oneOrAll(s.majorities(v), random) {
			attempt := &viewAttempt{current: v, number: s.nextNumber(v.Epoch), responders: responders}
			s.chooseAll(attempt, random)
			actions = s.addOutcomes(actions, attempt)
		}
	}
	return actions
}

// oneOrAll returns the whole list if random is nil, and otherwise one random element.
func oneOrAll[T any](list []T, random *rand.Rand) []T {
	if random == nil || len(list) == 0 {
		return list
	}
	position := random.IntN(len(list))
	return list[position : position+1]
}

// addOutcomes adds an action for each outcome of an attempt: promises only, one vote, or a decision.
func (s *membershipState) addOutcomes(actions []membershipAction, a *viewAttempt) []membershipAction {
	names := memberNames(a.responders)
	for _, value := range a.values {
		decide := func(s *membershipState) {
			if a.current != s.newest() {
				s.undecided++ // it decides again what is already decided
			}
			s.attempt(a, value, a.responders)
		}
		actions = append(actions, named(decide, "%s decide %s", names, viewText(value)))
	}
	if s.undecided == s.config.undecided {
		return actions
	}
	run := func(s *membershipState) { s.undecided++; s.attempt(a, nil, nil) }
	actions = append(actions, named(run, "%s respond", names))
	for _, value := range a.values {
		for _, m := range a.responders {
			run := func(s *membershipState) { s.undecided++; s.attempt(a, value, []Member{m}) }
			actions = append(actions, named(run, "%s respond, %s accepts %s", names, m.ID(), viewText(value)))
		}
	}
	return actions
}

func memberNames(members []Member) string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.ID()
	}
	return strings.Join(names, " ")
}

// majorities returns the sets of voters that may respond in the epoch of v: each has a majority of the voters,
// and at least one member that has adopted v.
func (s *membershipState) majorities(v *View) [][]Member {
	var eligible []Member
	for _, m := range v.Voters {
		if n := s.at(m); n != nil && n.epoch() <= v.Epoch {
			eligible = append(eligible, m)
		}
	}
	var sets [][]Member
	for mask := 0; mask < 1<<len(eligible); mask++ {
		if bits.OnesCount(uint(mask)) < v.Majority() {
			continue
		}
		set := subset(eligible, mask)
		for _, m := range set {
			if s.at(m).epoch() == v.Epoch {
				sets = append(sets, set)
				break
			}
		}
	}
	return sets
}

// subset returns the members whose bits are set in mask.
func subset(members []Member, mask int) []Member {
	var set []Member
	for i, m := range members {
		if mask>>i&1 == 1 {
			set = append(set, m)
		}
	}
	return set
}

// nextNumber returns a number higher than any promised in the epoch, so that each attempt has its own number.
func (s *membershipState) nextNumber(epoch uint64) ProposalNumber {
	round := uint64(0)
	for _, n := range s.nodes {
		if n.epoch() == epoch {
			round = max(round, n.acceptor.Promised.Round)
		}
	}
	return ProposalNumber{Round: round + 1, Member: "p"}
}

// propose collects the prepare responses of an attempt. It uses copies of the responders, so that the state
// doesn't change.
func (s *membershipState) propose(a *viewAttempt) *Proposal {
	p := NewProposal(*a.current, a.number)
	for _, m := range a.responders {
		n := *s.at(m)
		if n.acceptor.Adopt(*a.current) && a.current.Source.Same(m) {
			n.synced = a.current.Epoch
		}
		answer, _ := n.acceptor.OnPrepare(p.Prepare(), LogState{Synced: n.synced, End: uint64(len(n.log))})
		if promise, ok := answer.(PrepareResponse); ok {
			p.OnPrepareResponse(promise)
		}
	}
	return p
}

// chooseAll sets the values that an attempt may choose: all of them if random is nil, otherwise the value for one
// random observation.
func (s *membershipState) chooseAll(a *viewAttempt, random *rand.Rand) {
	p := s.propose(a)
	known := map[string]bool{}
	for _, observed := range oneOrAll(s.observations(a), random) {
		value := s.choose(p, observed)
		if value == nil {
			continue
		}
		key := string(appendView(nil, value))
		if !known[key] {
			known[key] = true
			a.values = append(a.values, value)
		}
	}
}

// choose chooses the value of a proposal, as coord/replica does. It returns nil if the responses don't
// suffice.
func (s *membershipState) choose(promised *Proposal, observed observation) *View {
	p := *promised
	plan := s.plan(s.planner(p.View, observed))
	if s.config.longestLog && p.highestAccepted() == nil {
		return chooseLongest(&p, plan)
	}
	staying := func(m Member) bool { return !s.isLeaving(m) }
	hasAccepted := p.highestAccepted() != nil
	if !p.Choose(staying, plan) {
		return nil
	}
	if s.config.oneTerm && !hasAccepted {
		p.Value.Terms = p.Value.Terms[:1]
	}
	return p.Value
}

// plan returns the PlanFunc of the real Planner, modified by the injected bugs.
func (s *membershipState) plan(planner *Planner) PlanFunc {
	return func(source Member, synced []Member) (voters, chain []Member, ok bool) {
		if s.config.replacesNeeded || s.config.replacesSeveral {
			synced = append(append([]Member(nil), planner.Current.Voters...), planner.Candidates...)
		}
		voters, chain, ok = planner.Plan(source, synced)
		if s.config.shortChains && Index(voters, source) >= 0 {
			chain, ok = planner.nextChain(voters, source), true
		}
		if s.config.leaverNoVote {
			voters = slices.DeleteFunc(voters, s.isLeaving)
			chain = slices.DeleteFunc(chain, s.isLeaving)
		}
		return voters, chain, ok
	}
}

// chooseLongest implements the injected bug longestLog: it chooses the responder with the longest log as the
// source.
func chooseLongest(p *Proposal, plan PlanFunc) *View {
	best := p.prepareResponses[0]
	for _, m := range p.prepareResponses {
		if m.Log.End > best.Log.End {
			best = m
		}
	}
	voters, chain, ok := plan(best.From, p.syncedSince(0))
	if !ok {
		return nil
	}
	return &View{Epoch: p.View.Epoch + 1, Voters: voters, Chain: chain, Source: best.From, SourceEpoch: p.View.Epoch}
}

// attempt records the promises of the responders of an attempt, and the votes of acceptors for a value.
func (s *membershipState) attempt(a *viewAttempt, value *View, acceptors []Member) {
	for _, m := range a.responders {
		n := s.at(m)
		s.adopt(n, *a.current)
		n.acceptor.OnPrepare(Prepare{View: *a.current, Ballot: a.number}, LogState{})
		n.prefixComplete, n.partialCopy = false, false
	}
	p := NewProposal(*a.current, a.number)
	p.Value = value
	for _, m := range acceptors {
		answer, _ := s.at(m).acceptor.OnAccept(p.Accept())
		if vote, ok := answer.(AcceptResponse); ok && p.OnAcceptResponse(vote) != nil {
			s.decide(value)
		}
	}
}

// observation is the state of the machines as a proposer observes it.
type observation struct {
	alive       []Member
	candidates  []Member
	unreachable []Member // unreachable for so long that candidates may replace them, the longest first
	mayJoin     bool     // the live members and the candidates are also in contact with the whole chain
}

// observations returns what a proposer may observe: all responders, or all but one, are alive; any subset of
// the possible candidates asks to join; and any one of the other voters may have been unreachable for long.
func (s *membershipState) observations(a *viewAttempt) []observation {
	candidates := s.candidates(a.current)
	var observations []observation
	for missing := -1; missing < len(a.responders); missing++ {
		alive := a.responders
		if missing >= 0 {
			alive = append(append([]Member(nil), alive[:missing]...), alive[missing+1:]...)
		}
		for mask := 0; mask < 1<<len(candidates); mask++ {
			observed := observation{alive: alive, candidates: subset(candidates, mask)}
			observations = append(observations, observed.variants(a.current, s.config.replacesSeveral)...)
		}
	}
	return observations
}

// variants returns the observation with each choice of unreachable voters, and with members allowed to join or
// not.
func (o observation) variants(current *View, anyUnreachable bool) []observation {
	unreachable := [][]Member{nil}
	if len(o.candidates) > 0 {
		for _, m := range current.Voters {
			if Index(o.alive, m) < 0 {
				unreachable = append(unreachable, []Member{m})
			}
		}
	}
	if anyUnreachable {
		unreachable = append(unreachable, current.Voters[1:], current.Voters[:2])
	}
	var observations []observation
	for _, members := range unreachable {
		o.unreachable = members
		for _, o.mayJoin = range []bool{true, false} {
			observations = append(observations, o)
		}
	}
	return observations
}

// candidates returns the machines that have adopted any view and don't vote in v, as coord/replica does.
func (s *membershipState) candidates(v *View) []Member {
	var members []Member
	for _, n := range s.nodes {
		if n.epoch() > 0 && !v.IsVoter(n.self()) {
			members = append(members, n.self())
		}
	}
	return members
}

// planner returns the real Planner for a view and an observation, set up as in coord/replica.
func (s *membershipState) planner(current View, observed observation) *Planner {
	return &Planner{
		Current:     current,
		Tolerance:   s.config.tolerance,
		Candidates:  observed.candidates,
		ResolveNode: knownByAddress,
		Alive:       func(m Member) bool { return Index(observed.alive, m) >= 0 },
		Leaving:     s.isLeaving,
		MayJoin: func(m Member) bool {
			inContact := Index(observed.alive, m) >= 0 || Index(observed.candidates, m) >= 0
			return observed.mayJoin && !s.isLeaving(m) && inContact
		},
		UnreachableFor: func(m Member) time.Duration {
			if position := Index(observed.unreachable, m); position >= 0 {
				return time.Duration(len(observed.unreachable)-position) * time.Second
			}
			return 0
		},
	}
}

func (s *membershipState) isLeaving(m Member) bool {
	n := s.at(m)
	return n != nil && n.leaving
}

// knownByAddress returns m with Node set to its machine's name, which the model derives from the address.
func knownByAddress(m Member) Member {
	m.Node = strings.ToLower(m.Address)
	return m
}

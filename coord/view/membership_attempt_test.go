package view

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// memberSight is what a proposer sees of the machines.
type observation struct {
	alive       []Member
	candidates  []Member
	unreachable []Member // silent for so long that candidates may take their places, the longest first
	mayJoin     bool     // those that are heard are also in touch with the whole chain
}

// planner fills in the real Planner, as core.planner does.
func (w *membershipState) planner(present View, sight observation) *Planner {
	return &Planner{
		Current:     present,
		Tolerance:   w.config.tolerance,
		Candidates:  sight.candidates,
		ResolveNode: knownByAddress,
		Alive:       func(m Member) bool { return Index(sight.alive, m) >= 0 },
		Leaving:     w.isLeaving,
		MayJoin: func(m Member) bool {
			return sight.mayJoin && !w.isLeaving(m) && (Index(sight.alive, m) >= 0 || Index(sight.candidates, m) >= 0)
		},
		UnreachableFor: func(m Member) time.Duration {
			if position := Index(sight.unreachable, m); position >= 0 {
				return time.Duration(len(sight.unreachable)-position) * time.Second
			}
			return 0
		},
	}
}

func (w *membershipState) isLeaving(m Member) bool {
	n := w.at(m)
	return n != nil && n.leaving
}

// knownByAddress names the machine of a member: the model's machines are named after their addresses.
func knownByAddress(m Member) Member {
	m.Node = strings.ToLower(m.Address)
	return m
}

// memberAttempt is one attempt on the view after a view: its promises, and the values that what the
// proposer may see makes of them.
type viewAttempt struct {
	current    *View
	number     ProposalNumber
	responders []Member
	values     []*View
}

// addAttempts adds attempts in the newest epoch, and in the one before by those that don't know better:
// all that may be, or any one.
func (w *membershipState) addAttempts(actions []membershipAction, random *rand.Rand) []membershipAction {
	for _, v := range w.decided[max(len(w.decided)-2, 0):] {
		if v.Epoch >= w.config.maxEpoch || v != w.newest() && w.undecided == w.config.undecided {
			continue
		}
		for _, promisers := range oneOrAll(w.majorities(v), random) {
			attempt := &viewAttempt{current: v, number: w.nextNumber(v.Epoch), responders: promisers}
			w.chooseAll(attempt, random)
			actions = w.addOutcomes(actions, attempt)
		}
	}
	return actions
}

// anyOf returns all of a list, or only any one.
func oneOrAll[T any](list []T, random *rand.Rand) []T {
	if random == nil || len(list) == 0 {
		return list
	}
	position := random.IntN(len(list))
	return list[position : position+1]
}

// addOutcomes adds how far an attempt comes.
func (w *membershipState) addOutcomes(actions []membershipAction, a *viewAttempt) []membershipAction {
	names := memberNames(a.responders)
	for _, value := range a.values {
		decide := func(w *membershipState) {
			if a.current != w.newest() {
				w.undecided++ // it tells of nothing new
			}
			w.attempt(a, value, a.responders)
		}
		actions = append(actions, named(decide, "%s decide %s", names, viewText(value)))
	}
	if w.undecided == w.config.undecided {
		return actions
	}
	actions = append(actions, named(func(w *membershipState) { w.undecided++; w.attempt(a, nil, nil) }, "%s promise", names))
	for _, value := range a.values {
		for _, m := range a.responders {
			actions = append(actions, named(func(w *membershipState) { w.undecided++; w.attempt(a, value, []Member{m}) },
				"%s promise, %s accepts %s", names, m.ID(), viewText(value)))
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

// majorities returns the sets of voters that may promise in the epoch of v: a majority, one of them
// knowing the view.
func (w *membershipState) majorities(v *View) [][]Member {
	var eligible []Member
	for _, m := range v.Voters {
		if n := w.at(m); n != nil && n.epoch() <= v.Epoch {
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
			if w.at(m).epoch() == v.Epoch {
				sets = append(sets, set)
				break
			}
		}
	}
	return sets
}

func subset(members []Member, mask int) []Member {
	var set []Member
	for i, m := range members {
		if mask>>i&1 == 1 {
			set = append(set, m)
		}
	}
	return set
}

// nextBallot is above all ballots of the epoch, so that it belongs to one attempt.
func (w *membershipState) nextNumber(epoch uint64) ProposalNumber {
	round := uint64(0)
	for _, n := range w.nodes {
		if n.epoch() == epoch {
			round = max(round, n.acceptor.Promised.Round)
		}
	}
	return ProposalNumber{Round: round + 1, Member: "p"}
}

// propose collects the promises of an attempt from copies of the promisers.
func (w *membershipState) propose(a *viewAttempt) *Proposal {
	p := NewProposal(*a.current, a.number)
	for _, m := range a.responders {
		n := *w.at(m)
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

// chooseAll fills in the values that an attempt may choose.
func (w *membershipState) chooseAll(a *viewAttempt, random *rand.Rand) {
	p := w.propose(a)
	known := map[string]bool{}
	for _, sight := range oneOrAll(w.observations(a), random) {
		value := w.choose(p, sight)
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

// choose is core.driveProposal.
func (w *membershipState) choose(promised *Proposal, sight observation) *View {
	p := *promised
	plan := w.plan(w.planner(p.View, sight))
	if w.config.longestLog && p.highestAccepted() == nil {
		return chooseLongest(&p, plan)
	}
	staying := func(m Member) bool { return !w.isLeaving(m) }
	repaired := p.highestAccepted() != nil
	if !p.Choose(staying, plan) {
		return nil
	}
	if w.config.oneTerm && !repaired {
		p.Value.Terms = p.Value.Terms[:1]
	}
	return p.Value
}

// plan is the real Planner's, with the planted bugs.
func (w *membershipState) plan(planner *Planner) PlanFunc {
	return func(source Member, holders []Member) (voters, chain []Member, ok bool) {
		if w.config.replacesNeeded || w.config.replacesSeveral {
			holders = append(append([]Member(nil), planner.Current.Voters...), planner.Candidates...)
		}
		voters, chain, ok = planner.Plan(source, holders)
		if w.config.shortChains && Index(voters, source) >= 0 {
			chain, ok = planner.nextChain(voters, source), true
		}
		if w.config.leaverNoVote {
			voters = slices.DeleteFunc(voters, w.isLeaving)
			chain = slices.DeleteFunc(chain, w.isLeaving)
		}
		return voters, chain, ok
	}
}

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

// sights returns what a proposer may see: it hears those that promised or one less, any candidates, and
// any one of the others may be absent for long.
func (w *membershipState) observations(a *viewAttempt) []observation {
	candidates := w.candidates(a.current)
	var sights []observation
	for missing := -1; missing < len(a.responders); missing++ {
		heard := a.responders
		if missing >= 0 {
			heard = append(append([]Member(nil), heard[:missing]...), heard[missing+1:]...)
		}
		for mask := 0; mask < 1<<len(candidates); mask++ {
			sight := observation{alive: heard, candidates: subset(candidates, mask)}
			sights = append(sights, sight.variants(a.current, w.config.replacesSeveral)...)
		}
	}
	return sights
}

// variants adds who is absent and whether the others may join.
func (s observation) variants(present *View, anyAbsent bool) []observation {
	absent := [][]Member{nil}
	if len(s.candidates) > 0 {
		for _, m := range present.Voters {
			if Index(s.alive, m) < 0 {
				absent = append(absent, []Member{m})
			}
		}
	}
	if anyAbsent {
		absent = append(absent, present.Voters[1:], present.Voters[:2])
	}
	var sights []observation
	for _, members := range absent {
		s.unreachable = members
		for _, s.mayJoin = range []bool{true, false} {
			sights = append(sights, s)
		}
	}
	return sights
}

// candidates is core.candidates: machines that know of a view and don't vote in it.
func (w *membershipState) candidates(v *View) []Member {
	var members []Member
	for _, n := range w.nodes {
		if n.epoch() > 0 && !v.IsVoter(n.self()) {
			members = append(members, n.self())
		}
	}
	return members
}

// attempt takes the promises, and the votes of some for a value.
func (w *membershipState) attempt(a *viewAttempt, value *View, acceptors []Member) {
	for _, m := range a.responders {
		n := w.at(m)
		w.adopt(n, *a.current)
		n.acceptor.OnPrepare(Prepare{View: *a.current, Ballot: a.number}, LogState{})
		n.prefixComplete, n.partialCopy = false, false
	}
	p := NewProposal(*a.current, a.number)
	p.Value = value
	for _, m := range acceptors {
		answer, _ := w.at(m).acceptor.OnAccept(p.Accept())
		if vote, ok := answer.(AcceptResponse); ok && p.OnAcceptResponse(vote) != nil {
			w.decide(value)
		}
	}
}

// recovers plays on without the machines of a set, all others up and in touch, and tells what stands in
// the way of a view that serves and has all acknowledged orders. Nothing of the machines that are left
// out is used: their disks may as well be gone.
func (w *membershipState) recoveryProblem(without int) string {
	c := w.clone()
	c.messages = nil
	var up []*membershipNode
	for i, n := range c.nodes {
		if without>>i&1 == 0 {
			c.restart(n)
			up = append(up, n)
		}
	}
	for range 8 {
		v := c.shareNewestView(up)
		if v.Epoch == 0 {
			return "nobody knows a view"
		}
		if c.serves(v, up) {
			return c.missingCommit(v)
		}
		if problem := c.advance(v, up); problem != "" {
			return problem
		}
	}
	return "no view serves after eight attempts"
}

// meet tells all the newest view that one of them knows.
func (w *membershipState) shareNewestView(up []*membershipNode) View {
	var newest View
	for _, n := range up {
		if n.epoch() > newest.Epoch {
			newest = n.acceptor.View
		}
	}
	for _, n := range up {
		w.adopt(n, newest)
	}
	return newest
}

// serves copies what the source holds and reports whether the view takes orders.
func (w *membershipState) serves(v View, up []*membershipNode) bool {
	if !w.chainLongEnough(v) {
		return false
	}
	for _, m := range v.Chain {
		if n := w.at(m); n == nil || !isUp(n, up) || n.acceptor.Wedged() {
			return false
		}
	}
	source := w.at(v.Source)
	for _, m := range v.Chain {
		for range 2 {
			w.receive(chainMessage{from: v.Source, to: m, epoch: v.Epoch, isCopy: true, log: source.prefix()})
		}
	}
	return true
}

func isUp(n *membershipNode, up []*membershipNode) bool {
	for _, other := range up {
		if n == other {
			return true
		}
	}
	return false
}

// lacks tells which member of a chain lacks what was acknowledged.
func (w *membershipState) missingCommit(v View) string {
	for _, m := range v.Chain {
		if n := w.at(m); !holdsAll(n.log, w.commits) && n.serving() && !w.inFlightIn(v) {
			return fmt.Sprintf("%s serves in %s without an acknowledged order", m.ID(), viewText(&v))
		}
	}
	return ""
}

// inFlightIn reports whether orders of the view itself were acknowledged: the chain's own links bring them.
func (w *membershipState) inFlightIn(v View) bool {
	return len(w.commits) > 0 && w.commitEpochs[len(w.commits)-1] == v.Epoch
}

// advance makes one attempt with all that are up.
func (w *membershipState) advance(v View, up []*membershipNode) string {
	a := &viewAttempt{current: &v, number: w.nextNumber(v.Epoch)}
	sight := observation{mayJoin: true}
	for _, n := range up {
		sight.alive = append(sight.alive, n.self())
		if v.IsVoter(n.self()) {
			a.responders = append(a.responders, n.self())
		} else {
			sight.candidates = append(sight.candidates, n.self())
		}
	}
	for _, m := range v.Voters {
		if Index(sight.alive, m) < 0 {
			sight.unreachable = append(sight.unreachable, m)
		}
	}
	if len(a.responders) < v.Majority() {
		return fmt.Sprintf("no majority left of %v", v.Voters)
	}
	value := w.choose(w.propose(a), sight)
	if value == nil {
		return fmt.Sprintf("the promises of %s give no view after %s", memberNames(a.responders), viewText(&v))
	}
	w.attempt(a, value, a.responders)
	for _, n := range up {
		w.adopt(n, *value)
	}
	return w.violation
}

// dead tells which permitted losses the state doesn't bear.
func (w *membershipState) unrecoverableLoss() string {
	if problem := w.recoveryProblem(0); problem != "" {
		return "with all machines up: " + problem
	}
	for without := 1; without < 1<<len(w.nodes); without++ {
		if bits.OnesCount(uint(without)) != w.lossesPermitted {
			continue
		}
		if problem := w.recoveryProblem(without); problem != "" {
			return fmt.Sprintf("without %s: %s", w.machineNames(without), problem)
		}
	}
	return ""
}

func (w *membershipState) machineNames(set int) string {
	var members []Member
	for i, n := range w.nodes {
		if set>>i&1 == 1 {
			members = append(members, n.self())
		}
	}
	return memberNames(members)
}

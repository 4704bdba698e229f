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
type memberSight struct {
	heard      []Member
	candidates []Member
	absent     []Member // silent for so long that candidates may take their places, the longest first
	mayJoin    bool     // those that are heard are also in touch with the whole chain
}

// planner fills in the real Planner, as core.planner does.
func (w *memberWorld) planner(present View, sight memberSight) *Planner {
	return &Planner{
		Present:    present,
		Tolerance:  w.rules.tolerance,
		Candidates: sight.candidates,
		Known:      knownByAddress,
		Heard:      func(m Member) bool { return Index(sight.heard, m) >= 0 },
		Leaving:    w.isLeaving,
		MayJoin: func(m Member) bool {
			return sight.mayJoin && !w.isLeaving(m) && (Index(sight.heard, m) >= 0 || Index(sight.candidates, m) >= 0)
		},
		Absent: func(m Member) time.Duration {
			if position := Index(sight.absent, m); position >= 0 {
				return time.Duration(len(sight.absent)-position) * time.Second
			}
			return 0
		},
	}
}

func (w *memberWorld) isLeaving(m Member) bool {
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
type memberAttempt struct {
	present   *View
	ballot    Ballot
	promisers []Member
	values    []*View
}

// addAttempts adds attempts in the newest epoch, and in the one before by those that don't know better:
// all that may be, or any one.
func (w *memberWorld) addAttempts(actions []memberAction, random *rand.Rand) []memberAction {
	for _, v := range w.decided[max(len(w.decided)-2, 0):] {
		if v.Epoch >= w.rules.maxEpoch || v != w.newest() && w.failed == w.rules.failed {
			continue
		}
		for _, promisers := range anyOf(w.majorities(v), random) {
			attempt := &memberAttempt{present: v, ballot: w.nextBallot(v.Epoch), promisers: promisers}
			w.chooseAll(attempt, random)
			actions = w.addOutcomes(actions, attempt)
		}
	}
	return actions
}

// anyOf returns all of a list, or only any one.
func anyOf[T any](list []T, random *rand.Rand) []T {
	if random == nil || len(list) == 0 {
		return list
	}
	position := random.IntN(len(list))
	return list[position : position+1]
}

// addOutcomes adds how far an attempt comes.
func (w *memberWorld) addOutcomes(actions []memberAction, a *memberAttempt) []memberAction {
	names := memberNames(a.promisers)
	for _, value := range a.values {
		decide := func(w *memberWorld) {
			if a.present != w.newest() {
				w.failed++ // it tells of nothing new
			}
			w.attempt(a, value, a.promisers)
		}
		actions = append(actions, named(decide, "%s decide %s", names, viewText(value)))
	}
	if w.failed == w.rules.failed {
		return actions
	}
	actions = append(actions, named(func(w *memberWorld) { w.failed++; w.attempt(a, nil, nil) }, "%s promise", names))
	for _, value := range a.values {
		for _, m := range a.promisers {
			actions = append(actions, named(func(w *memberWorld) { w.failed++; w.attempt(a, value, []Member{m}) },
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
func (w *memberWorld) majorities(v *View) [][]Member {
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
func (w *memberWorld) nextBallot(epoch uint64) Ballot {
	round := uint64(0)
	for _, n := range w.nodes {
		if n.epoch() == epoch {
			round = max(round, n.acceptor.Promised.Round)
		}
	}
	return Ballot{Round: round + 1, Member: "p"}
}

// propose collects the promises of an attempt from copies of the promisers.
func (w *memberWorld) propose(a *memberAttempt) *Proposal {
	p := NewProposal(*a.present, a.ballot)
	for _, m := range a.promisers {
		n := *w.at(m)
		if n.acceptor.Adopt(*a.present) && a.present.Source.Same(m) {
			n.synced = a.present.Epoch
		}
		answer, _ := n.acceptor.OnPrepare(p.Prepare(), LogState{Synced: n.synced, End: uint64(len(n.log))})
		if promise, ok := answer.(Promise); ok {
			p.OnPromise(promise)
		}
	}
	return p
}

// chooseAll fills in the values that an attempt may choose.
func (w *memberWorld) chooseAll(a *memberAttempt, random *rand.Rand) {
	p := w.propose(a)
	known := map[string]bool{}
	for _, sight := range anyOf(w.sights(a), random) {
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
func (w *memberWorld) choose(promised *Proposal, sight memberSight) *View {
	p := *promised
	plan := w.plan(w.planner(p.View, sight))
	if w.rules.longestLog && p.highestAccepted() == nil {
		return chooseLongest(&p, plan)
	}
	staying := func(m Member) bool { return !w.isLeaving(m) }
	repaired := p.highestAccepted() != nil
	if !p.Choose(staying, plan) {
		return nil
	}
	if w.rules.oneTerm && !repaired {
		p.Value.Terms = p.Value.Terms[:1]
	}
	return p.Value
}

// plan is the real Planner's, with the planted bugs.
func (w *memberWorld) plan(planner *Planner) MakePlan {
	return func(source Member, holders []Member) (voters, chain []Member, ok bool) {
		if w.rules.replacesNeeded || w.rules.replacesSeveral {
			holders = append(append([]Member(nil), planner.Present.Voters...), planner.Candidates...)
		}
		voters, chain, ok = planner.Plan(source, holders)
		if w.rules.shortChains && Index(voters, source) >= 0 {
			chain, ok = planner.chain(voters, source), true
		}
		if w.rules.leaverNoVote {
			voters = slices.DeleteFunc(voters, w.isLeaving)
			chain = slices.DeleteFunc(chain, w.isLeaving)
		}
		return voters, chain, ok
	}
}

func chooseLongest(p *Proposal, plan MakePlan) *View {
	best := p.promises[0]
	for _, m := range p.promises {
		if m.Log.End > best.Log.End {
			best = m
		}
	}
	voters, chain, ok := plan(best.From, p.holders(0))
	if !ok {
		return nil
	}
	return &View{Epoch: p.View.Epoch + 1, Voters: voters, Chain: chain, Source: best.From, SourceEpoch: p.View.Epoch}
}

// sights returns what a proposer may see: it hears those that promised or one less, any candidates, and
// any one of the others may be absent for long.
func (w *memberWorld) sights(a *memberAttempt) []memberSight {
	candidates := w.candidates(a.present)
	var sights []memberSight
	for missing := -1; missing < len(a.promisers); missing++ {
		heard := a.promisers
		if missing >= 0 {
			heard = append(append([]Member(nil), heard[:missing]...), heard[missing+1:]...)
		}
		for mask := 0; mask < 1<<len(candidates); mask++ {
			sight := memberSight{heard: heard, candidates: subset(candidates, mask)}
			sights = append(sights, sight.variants(a.present, w.rules.replacesSeveral)...)
		}
	}
	return sights
}

// variants adds who is absent and whether the others may join.
func (s memberSight) variants(present *View, anyAbsent bool) []memberSight {
	absent := [][]Member{nil}
	if len(s.candidates) > 0 {
		for _, m := range present.Voters {
			if Index(s.heard, m) < 0 {
				absent = append(absent, []Member{m})
			}
		}
	}
	if anyAbsent {
		absent = append(absent, present.Voters[1:], present.Voters[:2])
	}
	var sights []memberSight
	for _, members := range absent {
		s.absent = members
		for _, s.mayJoin = range []bool{true, false} {
			sights = append(sights, s)
		}
	}
	return sights
}

// candidates is core.candidates: machines that know of a view and don't vote in it.
func (w *memberWorld) candidates(v *View) []Member {
	var members []Member
	for _, n := range w.nodes {
		if n.epoch() > 0 && !v.IsVoter(n.self()) {
			members = append(members, n.self())
		}
	}
	return members
}

// attempt takes the promises, and the votes of some for a value.
func (w *memberWorld) attempt(a *memberAttempt, value *View, acceptors []Member) {
	for _, m := range a.promisers {
		n := w.at(m)
		w.adopt(n, *a.present)
		n.acceptor.OnPrepare(Prepare{View: *a.present, Ballot: a.ballot}, LogState{})
		n.whole, n.pieces = false, false
	}
	p := NewProposal(*a.present, a.ballot)
	p.Value = value
	for _, m := range acceptors {
		answer, _ := w.at(m).acceptor.OnAccept(p.Accept())
		if vote, ok := answer.(Accepted); ok && p.OnAccepted(vote) != nil {
			w.decide(value)
		}
	}
}

// recovers plays on without the machines of a set, all others up and in touch, and tells what stands in
// the way of a view that serves and has all acknowledged orders. Nothing of the machines that are left
// out is used: their disks may as well be gone.
func (w *memberWorld) recovers(without int) string {
	c := w.clone()
	c.messages = nil
	var up []*memberNode
	for i, n := range c.nodes {
		if without>>i&1 == 0 {
			c.restart(n)
			up = append(up, n)
		}
	}
	for range 8 {
		v := c.meet(up)
		if v.Epoch == 0 {
			return "nobody knows a view"
		}
		if c.serves(v, up) {
			return c.lacks(v)
		}
		if problem := c.advance(v, up); problem != "" {
			return problem
		}
	}
	return "no view serves after eight attempts"
}

// meet tells all the newest view that one of them knows.
func (w *memberWorld) meet(up []*memberNode) View {
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
func (w *memberWorld) serves(v View, up []*memberNode) bool {
	if !w.enough(v) {
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
			w.arrive(memberMessage{from: v.Source, to: m, epoch: v.Epoch, copy: true, log: source.prefix()})
		}
	}
	return true
}

func isUp(n *memberNode, up []*memberNode) bool {
	for _, other := range up {
		if n == other {
			return true
		}
	}
	return false
}

// lacks tells which member of a chain lacks what was acknowledged.
func (w *memberWorld) lacks(v View) string {
	for _, m := range v.Chain {
		if n := w.at(m); !holdsAll(n.log, w.commits) && n.serving() && !w.inFlightIn(v) {
			return fmt.Sprintf("%s serves in %s without an acknowledged order", m.ID(), viewText(&v))
		}
	}
	return ""
}

// inFlightIn reports whether orders of the view itself were acknowledged: the chain's own links bring them.
func (w *memberWorld) inFlightIn(v View) bool {
	return len(w.commits) > 0 && w.commitIn[len(w.commits)-1] == v.Epoch
}

// advance makes one attempt with all that are up.
func (w *memberWorld) advance(v View, up []*memberNode) string {
	a := &memberAttempt{present: &v, ballot: w.nextBallot(v.Epoch)}
	sight := memberSight{mayJoin: true}
	for _, n := range up {
		sight.heard = append(sight.heard, n.self())
		if v.IsVoter(n.self()) {
			a.promisers = append(a.promisers, n.self())
		} else {
			sight.candidates = append(sight.candidates, n.self())
		}
	}
	for _, m := range v.Voters {
		if Index(sight.heard, m) < 0 {
			sight.absent = append(sight.absent, m)
		}
	}
	if len(a.promisers) < v.Majority() {
		return fmt.Sprintf("no majority left of %v", v.Voters)
	}
	value := w.choose(w.propose(a), sight)
	if value == nil {
		return fmt.Sprintf("the promises of %s give no view after %s", memberNames(a.promisers), viewText(&v))
	}
	w.attempt(a, value, a.promisers)
	for _, n := range up {
		w.adopt(n, *value)
	}
	return w.broken
}

// dead tells which permitted losses the state doesn't bear.
func (w *memberWorld) dead() string {
	if problem := w.recovers(0); problem != "" {
		return "with all machines up: " + problem
	}
	for without := 1; without < 1<<len(w.nodes); without++ {
		if bits.OnesCount(uint(without)) != w.permitted {
			continue
		}
		if problem := w.recovers(without); problem != "" {
			return fmt.Sprintf("without %s: %s", w.machineNames(without), problem)
		}
	}
	return ""
}

func (w *memberWorld) machineNames(set int) string {
	var members []Member
	for i, n := range w.nodes {
		if set>>i&1 == 1 {
			members = append(members, n.self())
		}
	}
	return memberNames(members)
}

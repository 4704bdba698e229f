package view

import (
	"fmt"
	"hash/maphash"
)

// This model is coarser than the one in model_test.go, which delivers each message of the agreement by
// itself: here an attempt on a view is one step, made with the real Proposal, Acceptors, ChooseSource and
// Planner, with any majority of promisers and any voters that accept. So it reaches several changes of
// the membership, with the loss of a disk at every step. What a step may assume of the machines beside
// their disks (silence, links, restarts) isn't kept in the state: whoever takes no part is silent.

// memberRules bound an exploration and plant bugs.
type membershipConfig struct {
	tolerance      int
	machines       int // the first three found the system
	maxEpoch       uint64
	commands       int
	losses         int // in all; each must be permitted
	undecided      int // attempts that aren't decided
	restarts       int
	powerCuts      int // losses of power of all machines
	leaves         int
	inFlight       int  // messages of the chain on their way at once; 0: they arrive at once
	copiesInPieces bool // copies come in two pieces
	newAddresses   bool // a lost machine may come back at another address
	membershipBugs
}

// memberBugs are planted by tests that show that the model finds them.
type membershipBugs struct {
	wipedVotes      bool // a lost disk keeps its vote
	endsEarly       bool // a leaving member's disk goes before the view that doesn't need it stands
	leaverNoVote    bool // a leaving member loses its vote with its place in the chain
	shortAcks       bool // a chain of as many members as may be lost acknowledges
	shortChains     bool // ... is made where there could be a longer one
	longestLog      bool // the source is whoever has the longest log
	oneTerm         bool // only SourceEpoch is remembered of the epochs in doubt
	syncedEarly     bool // a new member counts as whole before the copy
	replacesNeeded  bool // a candidate takes the place of an absent voter whose disk is needed
	replacesSeveral bool // ... and of several at once that aren't even absent
}

// memberNode is one machine with a disk. What is in durable, log and synced is on its disk.
type membershipNode struct {
	acceptor     Acceptor
	log          []modelCommand
	synced       uint64
	incarnations byte // disks that this machine has had

	leaving        bool
	prefixComplete bool // its predecessors' copies are whole in its epoch; volatile
	partialCopy    bool // a part of the copy has come; volatile
}

func (n *membershipNode) self() Member { return n.acceptor.Self }

func (n *membershipNode) epoch() uint64 { return n.acceptor.View.Epoch }

// serving is core.serving.
func (n *membershipNode) serving() bool {
	return n.acceptor.View.InChain(n.self()) && n.synced == n.epoch() && !n.acceptor.Wedged()
}

// memberWorld is one state of the model.
type membershipState struct {
	config       *membershipConfig
	nodes        []*membershipNode
	messages     []chainMessage
	decided      []*View // by epoch, from GenesisEpoch on
	commits      []modelCommand
	commitEpochs []uint64 // the epochs in which they were acknowledged

	lossesPermitted  int // disks that may be lost now
	lossesUnrepaired int // disks lost since losses were repaired last
	commands         int
	losses           int
	undecided        int
	restarts         int
	powerCuts        int
	leaves           int

	violation string
	trace     *modelStep
}

func newMembershipState(rules *membershipConfig) *membershipState {
	genesis := Genesis(modelSeeds)
	w := &membershipState{config: rules, decided: []*View{&genesis}}
	for i := 0; i < rules.machines; i++ {
		name := string(rune('a' + i))
		n := &membershipNode{incarnations: 1}
		n.acceptor.Self = Member{Node: name, Address: name, Incarnation: "1"}
		if Index(genesis.Voters, Member{Address: name, Incarnation: GenesisIncarnation}) >= 0 {
			n.acceptor.Self.Incarnation = GenesisIncarnation
			n.acceptor.DurableState = DurableState{View: genesis}
			n.synced = GenesisEpoch
		}
		w.nodes = append(w.nodes, n)
	}
	w.nodes[0].prefixComplete = true
	w.noteRepair()
	return w
}

func (w *membershipState) clone() *membershipState {
	next := *w
	next.nodes = make([]*membershipNode, len(w.nodes))
	for i, n := range w.nodes {
		copied := *n
		next.nodes[i] = &copied
	}
	next.messages = w.messages[:len(w.messages):len(w.messages)]
	next.decided = w.decided[:len(w.decided):len(w.decided)]
	next.commits = w.commits[:len(w.commits):len(w.commits)]
	next.commitEpochs = w.commitEpochs[:len(w.commitEpochs):len(w.commitEpochs)]
	return &next
}

// key describes the state.
func (w *membershipState) key() uint64 {
	text := w.appendDurable(make([]byte, 0, 512))
	for _, n := range w.nodes {
		text = append(text, boolByte(n.leaving)|boolByte(n.prefixComplete)<<1|boolByte(n.partialCopy)<<2)
	}
	sum := uint64(0) // the order of messages doesn't matter
	for _, m := range w.messages {
		key := appendMember(appendMember([]byte{byte(m.epoch), boolByte(m.isCopy)}, m.from), m.to)
		sum += maphash.Bytes(modelHash, appendCommands(key, m.log))
	}
	text = fmt.Appendf(text, "%x", sum)
	text = append(text, byte(w.lossesPermitted), byte(w.lossesUnrepaired), byte(w.commands), byte(w.losses), byte(w.undecided), byte(w.restarts),
		byte(w.powerCuts), byte(w.leaves))
	return maphash.Bytes(modelHash, text)
}

// appendDurable describes what is on the disks, and what was acknowledged and decided.
func (w *membershipState) appendDurable(text []byte) []byte {
	for _, n := range w.nodes {
		d := &n.acceptor.DurableState
		text = append(appendMember(text, n.self()), byte(n.epoch()), byte(n.synced), byte(d.Promised.Round),
			byte(d.AcceptedBallot.Round))
		text = appendCommands(appendView(text, d.Accepted), n.log)
	}
	for _, v := range w.decided {
		text = appendView(text, v)
	}
	for _, epoch := range w.commitEpochs {
		text = append(text, byte(epoch))
	}
	return appendCommands(text, w.commits)
}

func (w *membershipState) at(m Member) *membershipNode {
	for _, n := range w.nodes {
		if n.self().Same(m) {
			return n
		}
	}
	return nil
}

func (w *membershipState) newest() *View { return w.decided[len(w.decided)-1] }

// bearsLoss is the moment from which the next loss of Tolerance disks is borne, with a loss of power of
// all: the newest view is decided and none of its voters has promised another; it has as many voters as
// the losses ask for, each with the disk that it votes with; and Tolerance+1 members of its chain are
// whole in its epoch.
func (w *membershipState) toleratesLoss() bool {
	v := w.newest()
	if len(v.Voters) < TargetVoters(w.config.tolerance) {
		return false
	}
	whole := 0
	for _, m := range v.Voters {
		n := w.at(m)
		if n == nil || n.epoch() == v.Epoch && n.acceptor.Wedged() {
			return false
		}
		if v.InChain(m) && n.epoch() == v.Epoch && n.synced == v.Epoch {
			whole++
		}
	}
	return whole > w.config.tolerance
}

// settle notes that earlier losses are repaired.
func (w *membershipState) noteRepair() {
	if w.toleratesLoss() {
		w.lossesPermitted, w.lossesUnrepaired = w.config.tolerance, 0
	}
}

// memberAction is one thing that may happen next.
type membershipAction struct {
	name func() string
	run  func(w *membershipState)
}

// named makes an action whose name is only put together when a trace is printed.
func named(run func(w *membershipState), format string, arguments ...any) membershipAction {
	return membershipAction{func() string { return fmt.Sprintf(format, arguments...) }, run}
}

// actions returns all that may happen.
func (w *membershipState) actions() []membershipAction { return w.addAttempts(w.steps(), nil) }

// steps returns what may happen but for attempts on views.
func (w *membershipState) steps() []membershipAction {
	var actions []membershipAction
	for i, n := range w.nodes {
		actions = w.addLearning(actions, i, n)
		actions = w.addChain(actions, i, n)
		actions = w.addFaults(actions, i, n)
	}
	if w.powerCuts < w.config.powerCuts {
		actions = append(actions, named((*membershipState).cutPower, "all lose power"))
	}
	for i := range w.messages {
		actions = append(actions,
			named(func(w *membershipState) { w.receive(w.messages[i]) }, "%v arrives", w.messages[i]),
			named(func(w *membershipState) { w.drop(i) }, "%v is lost", w.messages[i]))
	}
	return actions
}

// addLearning adds the decisions that a machine may hear of.
func (w *membershipState) addLearning(actions []membershipAction, i int, n *membershipNode) []membershipAction {
	for _, v := range w.decided {
		if v.Epoch > n.epoch() {
			actions = append(actions, named(func(w *membershipState) { w.adopt(w.nodes[i], *v) }, "%s learns of epoch %d", n.self().ID(), v.Epoch))
		}
	}
	return actions
}

// addTroubles adds what may befall a machine.
func (w *membershipState) addFaults(actions []membershipAction, i int, n *membershipNode) []membershipAction {
	name := n.self().ID()
	if w.restarts < w.config.restarts && (n.prefixComplete || n.partialCopy || n.leaving) {
		actions = append(actions, named(func(w *membershipState) { w.restarts++; w.restart(w.nodes[i]) }, "%s restarts", name))
	}
	if w.leaves < w.config.leaves && !n.leaving && w.newest().InChain(n.self()) {
		actions = append(actions, named(func(w *membershipState) { w.leaves++; w.nodes[i].leaving = true }, "%s is to leave", name))
	}
	if n.epoch() == 0 || w.losses == w.config.losses {
		return actions // an empty machine has nothing to lose
	}
	if w.lossesPermitted > 0 || w.mayEnd(n) {
		actions = append(actions, named(func(w *membershipState) { w.loseDisk(i, false) }, "%s loses its disk", name))
		if w.config.newAddresses {
			actions = append(actions, named(func(w *membershipState) { w.loseDisk(i, true) }, "%s is replaced elsewhere", name))
		}
	}
	return actions
}

// mayEnd reports whether the disk of a leaving machine may go though no loss is permitted.
func (w *membershipState) mayEnd(n *membershipNode) bool {
	return w.config.endsEarly && n.leaving && n.acceptor.Accepted != nil && !n.acceptor.Accepted.InChain(n.self())
}

func (w *membershipState) restart(n *membershipNode) {
	n.partialCopy, n.leaving = false, false
	n.prefixComplete = n.serving() && n.acceptor.View.Head().Same(n.self())
}

func (w *membershipState) cutPower() {
	w.powerCuts++
	w.messages = nil
	for _, n := range w.nodes {
		w.restart(n)
	}
}

// lose puts an empty machine in the place of one, at its address or at another.
func (w *membershipState) loseDisk(i int, elsewhere bool) {
	n := w.nodes[i]
	w.losses++
	w.lossesUnrepaired++
	if w.lossesPermitted > 0 && !w.mayEnd(n) {
		w.lossesPermitted--
	}
	self := n.self()
	next := &membershipNode{incarnations: n.incarnations + 1}
	next.acceptor.Self = Member{Node: self.Node, Address: self.Address, Incarnation: fmt.Sprint(n.incarnations + 1)}
	if elsewhere {
		next.acceptor.Self.Address = string(rune(self.Node[0]) - 32)
	}
	if w.config.wipedVotes {
		next.acceptor.Self = self
		next.acceptor.DurableState = DurableState{View: Genesis(modelSeeds)}
		next.synced = GenesisEpoch
	}
	w.nodes[i] = next
}

// adopt is core.adopt.
func (w *membershipState) adopt(n *membershipNode, v View) {
	before, wedged := n.epoch(), n.acceptor.Wedged()
	if !n.acceptor.Adopt(v) {
		return
	}
	if v.Source.Same(n.self()) {
		if before+1 != v.Epoch || !wedged {
			w.violation = "a source that hadn't promised"
		}
		n.synced = v.Epoch
	}
	n.partialCopy = false
	n.prefixComplete = n.serving() && v.Head().Same(n.self())
}

// decide notes a view that a majority has accepted.
func (w *membershipState) decide(v *View) {
	if int(v.Epoch) <= len(w.decided) {
		before := w.decided[v.Epoch-1]
		if before != v && string(appendView(nil, before)) != string(appendView(nil, v)) {
			w.violation = fmt.Sprintf("two views of epoch %d: %s and %s", v.Epoch, viewText(before), viewText(v))
		}
		return
	}
	w.decided = append(w.decided, v)
	if source := w.at(v.Source); source != nil && !holdsAll(source.log, w.commits) {
		w.violation = fmt.Sprintf("the source of %s lacks an acknowledged order", viewText(v))
	}
}

// check returns what is wrong with the state.
func (w *membershipState) check() string {
	if w.violation != "" {
		return w.violation
	}
	for _, n := range w.nodes {
		if n.synced == 0 || n.synced != n.epoch() {
			continue
		}
		for i, order := range w.commits {
			if w.commitEpochs[i] < n.epoch() && (i >= len(n.log) || n.log[i] != order) {
				return fmt.Sprintf("%s is whole in epoch %d without the order committed at %d", n.self().ID(), n.epoch(), i)
			}
		}
	}
	return ""
}

// step returns the state after an action.
func (w *membershipState) step(action membershipAction) *membershipState {
	next := w.clone()
	next.trace = &modelStep{name: action.name, previous: w.trace}
	action.run(next)
	next.noteRepair()
	return next
}

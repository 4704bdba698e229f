package view

import "fmt"

// membershipConfig bounds an exploration and injects bugs.
type membershipConfig struct {
	tolerance      int
	machines       int // the first three found the system
	maxEpoch       uint64
	commands       int
	losses         int // total number of lost disks; each loss must be permitted
	undecided      int // attempts that aren't decided
	restarts       int
	powerCuts      int // losses of power of all machines
	leaves         int
	inFlight       int  // chain messages in flight at the same time; 0: messages arrive at once
	copiesInPieces bool // copies of the prefix arrive in two pieces
	newAddresses   bool // a lost machine may come back at another address
	membershipBugs
}

// membershipBugs selects bugs to inject. Tests inject them to show that the model detects them.
type membershipBugs struct {
	wipedVotes       bool // a lost disk keeps its vote
	removesDiskEarly bool // a leaving member's disk is removed before the view that doesn't need it is decided
	leaverNoVote     bool // a leaving member loses its vote with its place in the chain
	shortAcks        bool // a chain of only as many members as disks may be lost acknowledges commands
	shortChains      bool // such a chain is planned although a longer one is possible
	longestLog       bool // the source is the member with the longest log
	oneTerm          bool // of the epochs in doubt, Terms keeps only SourceEpoch
	syncedEarly      bool // a new member counts as synced before it has the copy
	replacesNeeded   bool // a candidate replaces an unreachable voter whose disk is needed
	replacesSeveral  bool // candidates replace several such voters at once, even reachable ones
}

// membershipNode is one machine with a disk. acceptor, log and synced are on the disk and survive a restart.
type membershipNode struct {
	acceptor     Acceptor
	log          []modelCommand
	synced       uint64
	incarnations byte // number of disks that this machine has had

	leaving        bool
	prefixComplete bool // its predecessors are synced in its epoch; lost at a restart
	partialCopy    bool // a part of the copy has arrived; lost at a restart
}

func (n *membershipNode) self() Member { return n.acceptor.Self }

func (n *membershipNode) epoch() uint64 { return n.acceptor.View.Epoch }

// serving reports whether the node takes part in the chain of its view, by the same rule as coord/replica.
func (n *membershipNode) serving() bool {
	return n.acceptor.View.InChain(n.self()) && n.synced == n.epoch() && !n.acceptor.Wedged()
}

// membershipState is one state of the model.
type membershipState struct {
	config       *membershipConfig
	nodes        []*membershipNode
	messages     []chainMessage
	decided      []*View // the view of each epoch, from GenesisEpoch on
	commits      []modelCommand
	commitEpochs []uint64 // the epochs in which commits were acknowledged

	lossesPermitted  int // disks that may still be lost
	lossesUnrepaired int // disks lost since all losses were repaired
	commands         int
	losses           int
	undecided        int
	restarts         int
	powerCuts        int
	leaves           int

	violation string
	trace     *modelStep
}

// newMembershipState returns the initial state of a system with three founders, in the genesis view.
func newMembershipState(config *membershipConfig) *membershipState {
	genesis := Genesis(modelSeeds)
	s := &membershipState{config: config, decided: []*View{&genesis}}
	for i := 0; i < config.machines; i++ {
		name := string(rune('a' + i))
		n := &membershipNode{incarnations: 1}
		n.acceptor.Self = Member{Node: name, Address: name, Incarnation: "1"}
		if Index(genesis.Voters, Member{Address: name, Incarnation: GenesisIncarnation}) >= 0 {
			n.acceptor.Self.Incarnation = GenesisIncarnation
			n.acceptor.DurableState = DurableState{View: genesis}
			n.synced = GenesisEpoch
		}
		s.nodes = append(s.nodes, n)
	}
	s.nodes[0].prefixComplete = true
	s.permitLossesAfterRepair()
	return s
}

// clone returns a copy that can be changed without changing s. Slices may only be appended to.
func (s *membershipState) clone() *membershipState {
	next := *s
	next.nodes = make([]*membershipNode, len(s.nodes))
	for i, n := range s.nodes {
		copied := *n
		next.nodes[i] = &copied
	}
	next.messages = s.messages[:len(s.messages):len(s.messages)]
	next.decided = s.decided[:len(s.decided):len(s.decided)]
	next.commits = s.commits[:len(s.commits):len(s.commits)]
	next.commitEpochs = s.commitEpochs[:len(s.commitEpochs):len(s.commitEpochs)]
	return &next
}

// lastStep returns the last step of the trace.
func (s *membershipState) lastStep() *modelStep { return s.trace }

// step returns the state after an action.
func (s *membershipState) step(action membershipAction) *membershipState {
	next := s.clone()
	next.trace = &modelStep{name: action.name, previous: s.trace}
	action.run(next)
	next.permitLossesAfterRepair()
	return next
}

// at returns the machine whose current incarnation is m, or nil.
func (s *membershipState) at(m Member) *membershipNode {
	for _, n := range s.nodes {
		if n.self().Same(m) {
			return n
		}
	}
	return nil
}

// newest returns the last decided view.
func (s *membershipState) newest() *View { return s.decided[len(s.decided)-1] }

// membershipAction is an action of this model.
type membershipAction = modelAction[*membershipState]

// named returns an action whose name is formatted only when a trace is printed.
func named(run func(s *membershipState), format string, arguments ...any) membershipAction {
	return membershipAction{func() string { return fmt.Sprintf(format, arguments...) }, run}
}

// actions returns all transitions that are possible in the state.
func (s *membershipState) actions() []membershipAction { return s.addAttempts(s.steps(), nil) }

// steps returns all possible transitions other than attempts on views.
func (s *membershipState) steps() []membershipAction {
	var actions []membershipAction
	for i, n := range s.nodes {
		actions = s.addLearning(actions, i, n)
		actions = s.addChain(actions, i, n)
		actions = s.addFaults(actions, i, n)
	}
	if s.powerCuts < s.config.powerCuts {
		actions = append(actions, named((*membershipState).cutPower, "all lose power"))
	}
	for i := range s.messages {
		actions = append(actions,
			named(func(s *membershipState) { s.receive(s.messages[i]) }, "%v arrives", s.messages[i]),
			named(func(s *membershipState) { s.drop(i) }, "%v is lost", s.messages[i]))
	}
	return actions
}

// addLearning adds an action for each decided view that machine i, n, may learn of.
func (s *membershipState) addLearning(actions []membershipAction, i int, n *membershipNode) []membershipAction {
	for _, v := range s.decided {
		if v.Epoch > n.epoch() {
			run := func(s *membershipState) { s.adopt(s.nodes[i], *v) }
			actions = append(actions, named(run, "%s learns of epoch %d", n.self().ID(), v.Epoch))
		}
	}
	return actions
}

// adopt makes a machine adopt a decided view, as coord/replica does.
func (s *membershipState) adopt(n *membershipNode, v View) {
	before, wedged := n.epoch(), n.acceptor.Wedged()
	if !n.acceptor.Adopt(v) {
		return
	}
	if v.Source.Same(n.self()) {
		if before+1 != v.Epoch || !wedged {
			s.violation = "a source adopted a view without being wedged in the epoch before it"
		}
		n.synced = v.Epoch
	}
	n.partialCopy = false
	n.prefixComplete = n.serving() && v.Head().Same(n.self())
}

// decide records a view that a majority has accepted. It checks that all decided views of an epoch are equal,
// and that the source holds all acknowledged commands.
func (s *membershipState) decide(v *View) {
	if int(v.Epoch) <= len(s.decided) {
		before := s.decided[v.Epoch-1]
		if before != v && string(appendView(nil, before)) != string(appendView(nil, v)) {
			s.violation = fmt.Sprintf("two views of epoch %d: %s and %s", v.Epoch, viewText(before), viewText(v))
		}
		return
	}
	s.decided = append(s.decided, v)
	if source := s.at(v.Source); source != nil && !holdsAll(source.log, s.commits) {
		s.violation = fmt.Sprintf("the source of %s lacks an acknowledged command", viewText(v))
	}
}

// check returns the violation that a step found, or a violation of invariant (I), or an empty string.
func (s *membershipState) check() string {
	if s.violation != "" {
		return s.violation
	}
	for _, n := range s.nodes {
		if n.synced == 0 || n.synced != n.epoch() {
			continue
		}
		for i, command := range s.commits {
			if s.commitEpochs[i] < n.epoch() && (i >= len(n.log) || n.log[i] != command) {
				return fmt.Sprintf("%s is synced in epoch %d without the command committed at %d",
					n.self().ID(), n.epoch(), i)
			}
		}
	}
	return ""
}

package view

import (
	"fmt"
	"strings"
)

// agreementNode is one machine. acceptor, log and synced are on its disk and survive a restart.
type agreementNode struct {
	acceptor Acceptor
	log      []modelCommand
	synced   uint64

	proposal       *Proposal
	prefixComplete bool // its predecessors are synced in this epoch; lost at a restart
}

// modelCommit is a command that was acknowledged.
type modelCommit struct {
	command modelCommand
	epoch   uint64 // in which it was committed
}

// agreementState is one state of the model.
type agreementState struct {
	config    *agreementConfig
	nodes     []*agreementNode
	messages  []agreementMessage
	commits   []modelCommit
	views     map[uint64]string // the adopted view of each epoch, as viewText describes it
	commands  int               // this and the next three count what agreementConfig bounds
	restarts  int
	wipes     int
	starts    int
	trace     *modelStep
	violation string // violation that a step found, empty if none
}

// agreementConfig bounds an exploration and injects bugs.
type agreementConfig struct {
	maxRound   uint64 // of proposal numbers
	maxEpoch   uint64 // of views
	commands   int
	restarts   int
	wipes      int
	starts     int // proposals
	shortChain bool
	proposers  string // addresses of the machines that may propose; empty: all

	avoidedSource string // address of a member that the proposers don't prefer as a source

	agreementOnly bool // the chain neither appends nor copies commands

	// Injected bugs.
	forgetVotes    bool // a restart loses promises and votes
	ignoreAccepted bool // a proposer ignores accepted values
	serveEarly     bool // a member counts as synced before it has the prefix
	wipedVotes     bool // a lost disk keeps its vote
	longestLog     bool // the source is the member with the longest log
}

// newAgreementState returns the initial state of a system, in the genesis view.
func newAgreementState(config *agreementConfig) *agreementState {
	s := &agreementState{config: config, views: map[uint64]string{}}
	genesis := Genesis(modelSeeds)
	for _, m := range genesis.Voters {
		n := &agreementNode{synced: GenesisEpoch}
		n.acceptor.Self = m
		n.acceptor.DurableState = DurableState{View: genesis}
		s.nodes = append(s.nodes, n)
	}
	s.nodes[0].prefixComplete = true
	return s
}

// clone returns a copy that can be changed without changing s.
func (s *agreementState) clone() *agreementState {
	next := *s
	next.nodes = make([]*agreementNode, len(s.nodes))
	for i, n := range s.nodes {
		copied := *n
		if n.proposal != nil {
			proposal := *n.proposal
			proposal.prepareResponses = append([]PrepareResponse(nil), proposal.prepareResponses...)
			proposal.acceptedBy = append([]Member(nil), proposal.acceptedBy...)
			copied.proposal = &proposal
		}
		next.nodes[i] = &copied
	}
	next.messages = append([]agreementMessage(nil), s.messages...)
	next.commits = append([]modelCommit(nil), s.commits...)
	next.views = make(map[uint64]string, len(s.views))
	for epoch, text := range s.views {
		next.views[epoch] = text
	}
	return &next
}

// lastStep returns the last step of the trace.
func (s *agreementState) lastStep() *modelStep { return s.trace }

// step returns the state after an action.
func (s *agreementState) step(action agreementAction) *agreementState {
	next := s.clone()
	next.trace = &modelStep{name: action.name, previous: s.trace}
	action.run(next)
	return next
}

// agreementAction is an action of this model.
type agreementAction = modelAction[*agreementState]

// actions returns all transitions that are possible in the state.
func (s *agreementState) actions() []agreementAction {
	var actions []agreementAction
	for i := range s.messages {
		message := s.messages[i]
		actions = append(actions, agreementAction{
			name: func() string { return "deliver " + messageText(message) },
			run:  func(s *agreementState) { s.deliver(i) },
		})
	}
	add := func(who Member, what string, run func(s *agreementState)) {
		actions = append(actions, agreementAction{func() string { return who.ID() + what }, run})
	}
	for i, n := range s.nodes {
		name := n.acceptor.Self
		if s.mayStart(n) {
			add(name, " proposes", func(s *agreementState) { s.start(s.nodes[i]) })
		}
		if p := n.proposal; p != nil && p.Value == nil && p.HasMajority() {
			add(name, " chooses", func(s *agreementState) { s.choose(s.nodes[i], false) })
			if s.config.shortChain {
				add(name, " chooses a short chain", func(s *agreementState) { s.choose(s.nodes[i], true) })
			}
		}
		if s.restarts < s.config.restarts {
			add(name, " restarts", func(s *agreementState) { s.restart(s.nodes[i]) })
		}
		if s.wipes < s.config.wipes {
			add(name, " loses its disk", func(s *agreementState) { s.wipe(s.nodes[i]) })
		}
		s.addChainActions(i, add)
	}
	return actions
}

// addChainActions adds the actions that machine i can take as a member of the chain.
func (s *agreementState) addChainActions(i int, add func(Member, string, func(*agreementState))) {
	n := s.nodes[i]
	if !n.serving() || s.config.agreementOnly {
		return
	}
	name := n.acceptor.Self
	v := n.acceptor.View
	_, successor := v.Adjacent(n.acceptor.Self)
	if v.Head().Same(n.acceptor.Self) && s.commands < s.config.commands {
		add(name, " appends a command", func(s *agreementState) { s.appendCommand(s.nodes[i]) })
	}
	if successor.IsZero() && n.prefixComplete && s.uncommitted(n) && len(v.Chain) > 1 {
		add(name, " commits", func(s *agreementState) { s.commit(s.nodes[i]) })
	}
	if !successor.IsZero() && n.prefixComplete && s.lags(successor, n) {
		add(name, " forwards", func(s *agreementState) {
			n := s.nodes[i]
			s.send(successor, appendMessage{from: n.acceptor.Self, epoch: n.acceptor.View.Epoch, log: n.log})
		})
	}
	if !v.Source.Same(n.acceptor.Self) {
		return
	}
	for _, m := range v.Chain {
		if to := s.at(m); to != nil && to.synced != v.Epoch {
			add(name, " copies to "+m.Address, func(s *agreementState) {
				n := s.nodes[i]
				s.send(m, copyMessage{from: n.acceptor.Self, epoch: v.Epoch, prefix: n.prefix()})
			})
		}
	}
}

// lags reports whether the successor may need a message from n. Messages that wouldn't change the successor are
// left out.
func (s *agreementState) lags(successor Member, n *agreementNode) bool {
	to := s.at(successor)
	return to != nil && to.serving() && (len(to.log) < len(n.log) || !to.prefixComplete)
}

// at returns the machine whose current incarnation is m, or nil.
func (s *agreementState) at(m Member) *agreementNode {
	for _, n := range s.nodes {
		if n.acceptor.Self.Same(m) {
			return n
		}
	}
	return nil
}

// mayStart reports whether a machine may begin a proposal within the bounds.
func (s *agreementState) mayStart(n *agreementNode) bool {
	d := &n.acceptor.DurableState
	if s.config.proposers != "" && !strings.Contains(s.config.proposers, n.acceptor.Self.Address) {
		return false
	}
	return n.proposal == nil && s.starts < s.config.starts && d.View.Epoch < s.config.maxEpoch &&
		d.View.IsVoter(n.acceptor.Self) && d.Promised.Round < s.config.maxRound
}

// start begins a proposal.
func (s *agreementState) start(n *agreementNode) {
	s.starts++
	d := &n.acceptor.DurableState
	n.proposal = NewProposal(d.View, ProposalNumber{Round: d.Promised.Round + 1, Member: n.acceptor.Self.ID()})
	prepare := n.proposal.Prepare()
	for _, m := range d.View.Voters {
		if !m.Same(n.acceptor.Self) {
			s.send(m, prepare)
		}
	}
	s.handle(n, n.acceptor.Self, prepare)
}

// choose chooses the value of the proposer n and sends it to all voters. If short is set, the chain of the next
// view has two members.
func (s *agreementState) choose(n *agreementNode, short bool) {
	p := n.proposal
	if s.config.ignoreAccepted {
		for i := range p.prepareResponses {
			p.prepareResponses[i].Accepted = nil
			p.prepareResponses[i].AcceptedBallot = ProposalNumber{}
		}
	}
	if s.config.longestLog {
		best := p.prepareResponses[0]
		for _, m := range p.prepareResponses {
			if best.Log.End < m.Log.End {
				best = m
			}
		}
		if p.highestAccepted() == nil {
			voters, chain, _ := s.plan(p.View, best.From, short)
			p.Value = &View{
				Epoch:       p.View.Epoch + 1,
				Voters:      voters,
				Chain:       chain,
				Source:      best.From,
				SourceEpoch: best.Log.Synced,
			}
		}
	}
	prefer := func(m Member) bool { return m.Address != s.config.avoidedSource }
	chosen := p.Choose(prefer, func(source Member, _ []Member) (voters, chain []Member, ok bool) {
		return s.plan(p.View, source, short)
	})
	if !chosen {
		return
	}
	accept := p.Accept()
	for _, m := range p.View.Voters {
		if !m.Same(n.acceptor.Self) {
			s.send(m, accept)
		}
	}
	s.handle(n, n.acceptor.Self, accept)
}

// plan returns the voters and the chain of the next view, in which the new incarnations of wiped machines
// replace the old ones.
func (s *agreementState) plan(current View, source Member, short bool) (voters, chain []Member, ok bool) {
	for _, m := range current.Voters {
		for _, n := range s.nodes {
			if n.acceptor.Self.Address == m.Address {
				voters = append(voters, n.acceptor.Self)
			}
		}
	}
	if Index(voters, source) < 0 {
		return nil, nil, false
	}
	chain = []Member{source}
	for _, m := range voters {
		if !m.Same(source) {
			chain = append(chain, m)
		}
	}
	if short {
		chain = []Member{source, chain[len(chain)-1]}
	}
	return voters, chain, true
}

// restart restarts the process of a machine, which loses its volatile state.
func (s *agreementState) restart(n *agreementNode) {
	s.restarts++
	n.proposal = nil
	n.prefixComplete = n.serving() && n.acceptor.View.Head().Same(n.acceptor.Self)
	if s.config.forgetVotes {
		n.acceptor.DurableState = DurableState{View: n.acceptor.View}
	}
}

// wipe replaces the disk of a machine by an empty disk.
func (s *agreementState) wipe(n *agreementNode) {
	s.wipes++
	self := n.acceptor.Self
	if !s.config.wipedVotes {
		self.Incarnation = fmt.Sprintf("wiped-%d", s.wipes)
	}
	*n = agreementNode{}
	n.acceptor.Self = self
	if s.config.wipedVotes {
		n.acceptor.DurableState = DurableState{View: Genesis(modelSeeds)}
		n.synced = GenesisEpoch
	}
}

// adopt makes a machine adopt a decided view. It checks that all adopted views of an epoch are equal, and that
// the source of the view was wedged.
func (s *agreementState) adopt(n *agreementNode, v View) {
	before := n.acceptor.View.Epoch
	wedged := n.acceptor.Wedged()
	if !n.acceptor.Adopt(v) {
		return
	}
	text := viewText(&v)
	if earlier, known := s.views[v.Epoch]; known && earlier != text {
		s.violation = fmt.Sprintf("two views of epoch %d: %s and %s", v.Epoch, earlier, text)
	}
	s.views[v.Epoch] = text
	n.proposal = nil
	if v.Source.Same(n.acceptor.Self) {
		if before+1 != v.Epoch || !wedged {
			s.violation = "a source adopted a view without being wedged in the epoch before it"
		}
		n.synced = v.Epoch
	}
	if s.config.serveEarly && v.InChain(n.acceptor.Self) {
		n.synced = v.Epoch
	}
	n.prefixComplete = n.serving() && v.Head().Same(n.acceptor.Self)
}

// check returns the violation that a step found, or a violation of invariant (I), or an empty string.
func (s *agreementState) check() string {
	if s.violation != "" {
		return s.violation
	}
	for _, n := range s.nodes {
		if n.synced == 0 || n.synced != n.acceptor.View.Epoch {
			continue
		}
		for i, commit := range s.commits {
			if commit.epoch >= n.acceptor.View.Epoch {
				continue
			}
			if i >= len(n.log) || n.log[i] != commit.command {
				return fmt.Sprintf("%s is synced in epoch %d without the command committed at %d in epoch %d",
					n.acceptor.Self.ID(), n.acceptor.View.Epoch, i, commit.epoch)
			}
		}
	}
	return ""
}

package view

import (
	"fmt"
	"strings"
)

// modelOrder is an order of the model: its epoch and its name.
type modelCommand struct {
	epoch uint64
	name  byte
}

// modelNode is one address. Everything in durable survives a restart.
type agreementNode struct {
	acceptor Acceptor
	log      []modelCommand
	synced   uint64

	proposal       *Proposal
	acceptSent     bool
	prefixComplete bool // has heard from its predecessor in this epoch
}

// The messages that the view package doesn't know.
type appendMessage struct {
	from  Member
	epoch uint64
	log   []modelCommand
}

type copyMessage struct {
	from   Member
	epoch  uint64
	prefix []modelCommand
}

// modelMessage is on its way; one that is never delivered is lost.
type agreementMessage struct {
	to   Member
	body any
	key  string
}

// modelCommit is an order that was acknowledged.
type modelCommit struct {
	command modelCommand
	epoch   uint64 // in which it was completed
}

// modelWorld is one state of the model.
type agreementState struct {
	config    *agreementConfig
	nodes     []*agreementNode
	messages  []agreementMessage
	commits   []modelCommit
	views     map[uint64]string
	commands  int
	restarts  int
	wipes     int
	starts    int
	trace     *modelStep
	violation string
}

type modelStep struct {
	name     func() string
	previous *modelStep
}

func (s *modelStep) String() string {
	var names []string
	for ; s != nil; s = s.previous {
		names = append(names, s.name())
	}
	for i, j := 0, len(names)-1; i < j; i, j = i+1, j-1 {
		names[i], names[j] = names[j], names[i]
	}
	return strings.Join(names, "\n")
}

// modelRules bound an exploration and plant bugs.
type agreementConfig struct {
	maxRound   uint64
	maxEpoch   uint64
	commands   int
	restarts   int
	wipes      int
	starts     int // proposals
	shortChain bool
	proposers  string // addresses of those who propose; empty: all

	disliked string // address of a member that the proposers don't prefer as a source

	agreementOnly bool // no orders and no copies

	forgetVotes    bool // bugs
	ignoreAccepted bool
	serveEarly     bool
	wipedVotes     bool
	longestLog     bool // the source is whoever has the longest log
}

var modelSeeds = []string{"a", "b", "c"}

func newAgreementState(rules *agreementConfig) *agreementState {
	w := &agreementState{config: rules, views: map[uint64]string{}}
	genesis := Genesis(modelSeeds)
	for _, m := range genesis.Voters {
		n := &agreementNode{synced: GenesisEpoch}
		n.acceptor.Self = m
		n.acceptor.DurableState = DurableState{View: genesis}
		w.nodes = append(w.nodes, n)
	}
	w.nodes[0].prefixComplete = true
	return w
}

func (w *agreementState) clone() *agreementState {
	next := *w
	next.nodes = make([]*agreementNode, len(w.nodes))
	for i, n := range w.nodes {
		copied := *n
		if n.proposal != nil {
			proposal := *n.proposal
			proposal.prepareResponses = append([]PrepareResponse(nil), proposal.prepareResponses...)
			proposal.acceptedBy = append([]Member(nil), proposal.acceptedBy...)
			copied.proposal = &proposal
		}
		next.nodes[i] = &copied
	}
	next.messages = append([]agreementMessage(nil), w.messages...)
	next.commits = append([]modelCommit(nil), w.commits...)
	next.views = make(map[uint64]string, len(w.views))
	for epoch, text := range w.views {
		next.views[epoch] = text
	}
	return &next
}

// modelAction is one thing that may happen next.
type agreementAction struct {
	name func() string
	run  func(w *agreementState)
}

func (w *agreementState) actions() []agreementAction {
	var actions []agreementAction
	for i := range w.messages {
		message := w.messages[i]
		actions = append(actions, agreementAction{
			name: func() string { return "deliver " + messageText(message) },
			run:  func(w *agreementState) { w.deliver(i) },
		})
	}
	add := func(who Member, what string, run func(w *agreementState)) {
		actions = append(actions, agreementAction{func() string { return who.ID() + what }, run})
	}
	for i, n := range w.nodes {
		name := n.acceptor.Self
		if w.mayStart(n) {
			add(name, " proposes", func(w *agreementState) { w.start(w.nodes[i]) })
		}
		if p := n.proposal; p != nil && p.Value == nil && p.HasMajority() {
			add(name, " chooses", func(w *agreementState) { w.choose(w.nodes[i], false) })
			if w.config.shortChain {
				add(name, " chooses a short chain", func(w *agreementState) { w.choose(w.nodes[i], true) })
			}
		}
		if w.restarts < w.config.restarts {
			add(name, " restarts", func(w *agreementState) { w.restart(w.nodes[i]) })
		}
		if w.wipes < w.config.wipes {
			add(name, " is wiped", func(w *agreementState) { w.wipe(w.nodes[i]) })
		}
		w.addChainActions(i, add)
	}
	return actions
}

func (w *agreementState) addChainActions(i int, add func(Member, string, func(*agreementState))) {
	n := w.nodes[i]
	if !n.serving() || w.config.agreementOnly {
		return
	}
	name := n.acceptor.Self
	v := n.acceptor.View
	_, after := v.Adjacent(n.acceptor.Self)
	if v.Head().Same(n.acceptor.Self) && w.commands < w.config.commands {
		add(name, " orders", func(w *agreementState) { w.appendCommand(w.nodes[i]) })
	}
	if after.IsZero() && n.prefixComplete && w.uncommitted(n) && len(v.Chain) > 1 {
		add(name, " commits", func(w *agreementState) { w.commit(w.nodes[i]) })
	}
	if !after.IsZero() && n.prefixComplete && w.lags(after, n) {
		add(name, " forwards", func(w *agreementState) {
			n := w.nodes[i]
			w.send(after, appendMessage{from: n.acceptor.Self, epoch: n.acceptor.View.Epoch, log: n.log})
		})
	}
	if !v.Source.Same(n.acceptor.Self) {
		return
	}
	for _, m := range v.Chain {
		if to := w.at(m); to != nil && to.synced != v.Epoch {
			add(name, " copies to "+m.Address, func(w *agreementState) {
				n := w.nodes[i]
				w.send(m, copyMessage{from: n.acceptor.Self, epoch: v.Epoch, prefix: n.prefix()})
			})
		}
	}
}

// lags reports whether the successor may need a message: one that wouldn't change it is left out.
func (w *agreementState) lags(after Member, n *agreementNode) bool {
	to := w.at(after)
	return to != nil && to.serving() && (len(to.log) < len(n.log) || !to.prefixComplete)
}

func (w *agreementState) at(m Member) *agreementNode {
	for _, n := range w.nodes {
		if n.acceptor.Self.Same(m) {
			return n
		}
	}
	return nil
}

func (n *agreementNode) serving() bool {
	return n.acceptor.View.InChain(n.acceptor.Self) && n.synced == n.acceptor.View.Epoch && !n.acceptor.Wedged()
}

func (n *agreementNode) prefix() []modelCommand {
	end := len(n.log)
	for end > 0 && n.log[end-1].epoch == n.acceptor.View.Epoch {
		end--
	}
	return n.log[:end:end]
}

func (w *agreementState) send(to Member, body any) {
	key := string(appendMember(messageKey(body), to))
	for i := range w.messages {
		if w.messages[i].key == key {
			return
		}
	}
	w.messages = append(w.messages, agreementMessage{to: to, body: body, key: key})
}

func (w *agreementState) mayStart(n *agreementNode) bool {
	d := &n.acceptor.DurableState
	if w.config.proposers != "" && !strings.Contains(w.config.proposers, n.acceptor.Self.Address) {
		return false
	}
	return n.proposal == nil && w.starts < w.config.starts && d.View.Epoch < w.config.maxEpoch &&
		d.View.IsVoter(n.acceptor.Self) && d.Promised.Round < w.config.maxRound
}

func (w *agreementState) start(n *agreementNode) {
	w.starts++
	d := &n.acceptor.DurableState
	n.proposal = NewProposal(d.View, ProposalNumber{Round: d.Promised.Round + 1, Member: n.acceptor.Self.ID()})
	n.acceptSent = false
	prepare := n.proposal.Prepare()
	for _, m := range d.View.Voters {
		if !m.Same(n.acceptor.Self) {
			w.send(m, prepare)
		}
	}
	w.handle(n, n.acceptor.Self, prepare)
}

func (w *agreementState) choose(n *agreementNode, short bool) {
	p := n.proposal
	if w.config.ignoreAccepted {
		for i := range p.prepareResponses {
			p.prepareResponses[i].Accepted = nil
			p.prepareResponses[i].AcceptedBallot = ProposalNumber{}
		}
	}
	if w.config.longestLog {
		best := p.prepareResponses[0]
		for _, m := range p.prepareResponses {
			if best.Log.End < m.Log.End {
				best = m
			}
		}
		if p.highestAccepted() == nil {
			voters, chain, _ := w.plan(p.View, best.From, short)
			p.Value = &View{Epoch: p.View.Epoch + 1, Voters: voters, Chain: chain, Source: best.From, SourceEpoch: best.Log.Synced}
		}
	}
	prefer := func(m Member) bool { return m.Address != w.config.disliked }
	chosen := p.Choose(prefer, func(source Member, _ []Member) ([]Member, []Member, bool) { return w.plan(p.View, source, short) })
	if !chosen {
		return
	}
	accept := p.Accept()
	for _, m := range p.View.Voters {
		if !m.Same(n.acceptor.Self) {
			w.send(m, accept)
		}
	}
	w.handle(n, n.acceptor.Self, accept)
}

// plan puts wiped machines' new lives in the places of the old ones.
func (w *agreementState) plan(present View, source Member, short bool) (voters, chain []Member, ok bool) {
	for _, m := range present.Voters {
		for _, n := range w.nodes {
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

func (w *agreementState) restart(n *agreementNode) {
	w.restarts++
	n.proposal, n.acceptSent = nil, false
	n.prefixComplete = n.serving() && n.acceptor.View.Head().Same(n.acceptor.Self)
	if w.config.forgetVotes {
		n.acceptor.DurableState = DurableState{View: n.acceptor.View}
	}
}

func (w *agreementState) wipe(n *agreementNode) {
	w.wipes++
	self := n.acceptor.Self
	if !w.config.wipedVotes {
		self.Incarnation = fmt.Sprintf("wiped-%d", w.wipes)
	}
	*n = agreementNode{}
	n.acceptor.Self = self
	if w.config.wipedVotes {
		n.acceptor.DurableState = DurableState{View: Genesis(modelSeeds)}
		n.synced = GenesisEpoch
	}
}

func (w *agreementState) appendCommand(n *agreementNode) {
	w.commands++
	n.log = append(n.log[:len(n.log):len(n.log)], modelCommand{epoch: n.acceptor.View.Epoch, name: byte('0' + w.commands)})
}

func (w *agreementState) uncommitted(n *agreementNode) bool { return len(n.log) > len(w.commits) }

func (w *agreementState) commit(n *agreementNode) {
	for i, order := range n.log {
		if i < len(w.commits) {
			if w.commits[i].command != order {
				w.violation = fmt.Sprintf("two orders committed at %d", i)
			}
			continue
		}
		w.commits = append(w.commits, modelCommit{command: order, epoch: n.acceptor.View.Epoch})
	}
}

func (w *agreementState) deliver(i int) {
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	if n := w.at(m.to); n != nil {
		w.handle(n, Member{}, m.body)
	}
}

func (w *agreementState) handle(n *agreementNode, _ Member, body any) {
	switch m := body.(type) {
	case Prepare:
		w.adopt(n, m.View)
		answer, _ := n.acceptor.OnPrepare(m, LogState{Synced: n.synced, End: uint64(len(n.log))})
		w.reply(n, m.Ballot, answer)
	case Accept:
		w.adopt(n, m.View)
		answer, _ := n.acceptor.OnAccept(m)
		w.reply(n, m.Ballot, answer)
	case PrepareResponse:
		if n.proposal != nil && n.proposal.Value == nil {
			n.proposal.OnPrepareResponse(m)
		}
	case Reject:
	case AcceptResponse:
		w.onAcceptResponse(n, m)
	case Decided:
		w.adopt(n, m.View)
	case appendMessage:
		before, _ := n.acceptor.View.Adjacent(n.acceptor.Self)
		if m.epoch == n.acceptor.View.Epoch && n.serving() && before.Same(m.from) {
			n.prefixComplete = true
			if len(m.log) > len(n.log) {
				n.log = m.log[:len(m.log):len(m.log)]
			}
		}
	case copyMessage:
		if m.epoch == n.acceptor.View.Epoch && !n.acceptor.Wedged() && n.synced != m.epoch &&
			n.acceptor.View.InChain(n.acceptor.Self) {
			n.log, n.synced = m.prefix, m.epoch
			n.prefixComplete = n.acceptor.View.Head().Same(n.acceptor.Self)
		}
	}
}

func (w *agreementState) reply(n *agreementNode, ballot ProposalNumber, answer any) {
	if answer == nil {
		return
	}
	if ballot.Member == n.acceptor.Self.ID() {
		w.handle(n, n.acceptor.Self, answer)
		return
	}
	if _, refused := answer.(Reject); refused {
		return
	}
	for _, other := range w.nodes {
		if other.acceptor.Self.ID() == ballot.Member {
			w.send(other.acceptor.Self, answer)
		}
	}
}

func (w *agreementState) onAcceptResponse(n *agreementNode, m AcceptResponse) {
	if n.proposal == nil {
		return
	}
	decided := n.proposal.OnAcceptResponse(m)
	if decided == nil {
		return
	}
	value := *decided
	w.adopt(n, value)
	for _, other := range value.Voters {
		if !other.Same(n.acceptor.Self) {
			w.send(other, Decided{View: value})
		}
	}
}

func (w *agreementState) adopt(n *agreementNode, v View) {
	before := n.acceptor.View.Epoch
	wedged := n.acceptor.Wedged()
	if !n.acceptor.Adopt(v) {
		return
	}
	text := viewText(&v)
	if earlier, known := w.views[v.Epoch]; known && earlier != text {
		w.violation = fmt.Sprintf("two views of epoch %d: %s and %s", v.Epoch, earlier, text)
	}
	w.views[v.Epoch] = text
	n.proposal, n.acceptSent = nil, false
	if v.Source.Same(n.acceptor.Self) {
		if before+1 != v.Epoch || !wedged {
			w.violation = "a source that hadn't promised"
		}
		n.synced = v.Epoch
	}
	if w.config.serveEarly && v.InChain(n.acceptor.Self) {
		n.synced = v.Epoch
	}
	n.prefixComplete = n.serving() && v.Head().Same(n.acceptor.Self)
}

// check returns what is wrong with the state.
func (w *agreementState) check() string {
	if w.violation != "" {
		return w.violation
	}
	for _, n := range w.nodes {
		if n.synced == 0 || n.synced != n.acceptor.View.Epoch {
			continue
		}
		for i, commit := range w.commits {
			if commit.epoch >= n.acceptor.View.Epoch {
				continue
			}
			if i >= len(n.log) || n.log[i] != commit.command {
				return fmt.Sprintf("%s is whole in epoch %d without the order committed at %d in epoch %d",
					n.acceptor.Self.ID(), n.acceptor.View.Epoch, i, commit.epoch)
			}
		}
	}
	return ""
}

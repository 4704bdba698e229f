package view

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
)

// modelOrder is an order of the model: its epoch and its name.
type modelOrder struct {
	epoch uint64
	name  byte
}

// modelNode is one address. Everything in durable survives a restart.
type modelNode struct {
	acceptor Acceptor
	log      []modelOrder
	synced   uint64

	proposal   *Proposal
	acceptSent bool
	whole      bool // has heard from its predecessor in this epoch
}

// The messages that the view package doesn't know.
type modelAppend struct {
	from  Member
	epoch uint64
	log   []modelOrder
}

type modelCopy struct {
	from   Member
	epoch  uint64
	prefix []modelOrder
}

// modelMessage is on its way; one that is never delivered is lost.
type modelMessage struct {
	to   Member
	body any
	key  string
}

// modelCommit is an order that was acknowledged.
type modelCommit struct {
	order modelOrder
	epoch uint64 // in which it was completed
}

// modelWorld is one state of the model.
type modelWorld struct {
	rules    *modelRules
	nodes    []*modelNode
	messages []modelMessage
	commits  []modelCommit
	views    map[uint64]string
	orders   int
	restarts int
	wipes    int
	starts   int
	trace    *modelStep
	broken   string
}

type modelStep struct {
	name   func() string
	before *modelStep
}

func (s *modelStep) String() string {
	var names []string
	for ; s != nil; s = s.before {
		names = append(names, s.name())
	}
	for i, j := 0, len(names)-1; i < j; i, j = i+1, j-1 {
		names[i], names[j] = names[j], names[i]
	}
	return strings.Join(names, "\n")
}

// modelRules bound an exploration and plant bugs.
type modelRules struct {
	maxRound   uint64
	maxEpoch   uint64
	orders     int
	restarts   int
	wipes      int
	starts     int // proposals
	shortChain bool
	proposers  string // addresses of those who propose; empty: all

	disliked string // address of a member that the proposers don't prefer as a source

	agreementOnly bool // no orders and no copies

	forgetVotes bool // bugs
	skipRepair  bool
	serveEarly  bool
	wipedVotes  bool
	longestLog  bool // the source is whoever has the longest log
}

var modelSeeds = []string{"a", "b", "c"}

func newModelWorld(rules *modelRules) *modelWorld {
	w := &modelWorld{rules: rules, views: map[uint64]string{}}
	genesis := Genesis(modelSeeds)
	for _, m := range genesis.Voters {
		n := &modelNode{synced: GenesisEpoch}
		n.acceptor.Self = m
		n.acceptor.Durable = Durable{View: genesis}
		w.nodes = append(w.nodes, n)
	}
	w.nodes[0].whole = true
	return w
}

func (w *modelWorld) clone() *modelWorld {
	next := *w
	next.nodes = make([]*modelNode, len(w.nodes))
	for i, n := range w.nodes {
		copied := *n
		if n.proposal != nil {
			proposal := *n.proposal
			proposal.promises = append([]Promise(nil), proposal.promises...)
			proposal.accepted = append([]Member(nil), proposal.accepted...)
			copied.proposal = &proposal
		}
		next.nodes[i] = &copied
	}
	next.messages = append([]modelMessage(nil), w.messages...)
	next.commits = append([]modelCommit(nil), w.commits...)
	next.views = make(map[uint64]string, len(w.views))
	for epoch, text := range w.views {
		next.views[epoch] = text
	}
	return &next
}

// key describes the state; the order of messages doesn't matter.
func (w *modelWorld) key() uint64 {
	text := make([]byte, 0, 1024)
	for _, n := range w.nodes {
		text = n.appendKey(text)
	}
	keys := make([]string, len(w.messages))
	for i := range w.messages {
		keys[i] = w.messages[i].key
	}
	sort.Strings(keys)
	for _, key := range keys {
		text = append(text, key...)
		text = append(text, 255)
	}
	for _, commit := range w.commits {
		text = append(text, byte(commit.order.epoch), commit.order.name, byte(commit.epoch))
	}
	text = append(text, byte(len(w.views)), byte(w.orders), byte(w.restarts), byte(w.wipes), byte(w.starts))
	return maphash.Bytes(modelHash, text)
}

func (n *modelNode) appendKey(text []byte) []byte {
	d := &n.acceptor.Durable
	text = appendMember(text, n.acceptor.Self)
	text = append(text, byte(d.View.Epoch), byte(n.synced), flag(n.whole), byte(len(n.log)))
	text = appendBallot(appendBallot(text, d.Promised), d.AcceptedBallot)
	text = appendView(text, d.Accepted)
	text = appendOrders(text, n.log)
	p := n.proposal
	if p == nil {
		return append(text, 0)
	}
	text = appendView(appendBallot(text, p.Ballot), p.Value)
	text = append(text, byte(len(p.promises)))
	for _, m := range p.promises {
		text = append(text, messageKey(m)...)
	}
	for _, m := range p.accepted {
		text = appendMember(text, m)
	}
	return append(text, 1)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func appendMember(text []byte, m Member) []byte {
	if m.IsZero() {
		return append(text, 0)
	}
	return append(text, m.Address[0], m.Incarnation[0], m.Incarnation[len(m.Incarnation)-1])
}

func appendBallot(text []byte, b Ballot) []byte {
	text = append(text, byte(b.Round))
	if b.Member != "" {
		text = append(text, b.Member[0], b.Member[len(b.Member)-1])
	}
	return text
}

func appendView(text []byte, v *View) []byte {
	if v == nil {
		return append(text, 0)
	}
	text = append(text, byte(v.Epoch), byte(v.SourceEpoch), byte(len(v.Voters)), byte(len(v.Chain)))
	text = appendMember(text, v.Source)
	for _, m := range v.Voters {
		text = appendMember(text, m)
	}
	for _, m := range v.Chain {
		text = appendMember(text, m)
	}
	for _, term := range v.Terms {
		text = append(text, byte(term.Epoch), byte(len(term.Chain)))
	}
	return text
}

func appendOrders(text []byte, orders []modelOrder) []byte {
	text = append(text, byte(len(orders)))
	for _, order := range orders {
		text = append(text, byte(order.epoch), order.name)
	}
	return text
}

// messageKey describes a message without its addressee.
func messageKey(body any) []byte {
	switch m := body.(type) {
	case Prepare:
		return appendBallot([]byte{1, byte(m.View.Epoch)}, m.Ballot)
	case Promise:
		text := appendMember([]byte{2, byte(m.Epoch), byte(m.Log.Synced), byte(m.Log.End)}, m.From)
		return appendView(appendBallot(appendBallot(text, m.Ballot), m.AcceptedBallot), m.Accepted)
	case Accept:
		return appendView(appendBallot([]byte{3}, m.Ballot), &m.Value)
	case Accepted:
		return appendBallot(appendMember([]byte{4, byte(m.Epoch)}, m.From), m.Ballot)
	case Decided:
		return appendView([]byte{5}, &m.View)
	case modelAppend:
		return appendOrders(appendMember([]byte{6, byte(m.epoch)}, m.from), m.log)
	case modelCopy:
		return appendOrders(appendMember([]byte{7, byte(m.epoch)}, m.from), m.prefix)
	}
	panic(fmt.Sprintf("model: message %T", body))
}

func viewText(v *View) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%d %v %v %s %d", v.Epoch, v.Voters, v.Chain, v.Source.ID(), v.SourceEpoch)
}

func messageText(m modelMessage) string {
	switch body := m.body.(type) {
	case Prepare:
		return fmt.Sprintf("%s prepare %d %v", m.to.ID(), body.View.Epoch, body.Ballot)
	case Promise:
		return fmt.Sprintf("%s promise %s %d %v %v %v %s", m.to.ID(), body.From.ID(), body.Epoch, body.Ballot,
			body.Log, body.AcceptedBallot, viewText(body.Accepted))
	case Accept:
		return fmt.Sprintf("%s accept %v %s", m.to.ID(), body.Ballot, viewText(&body.Value))
	case Decided:
		return fmt.Sprintf("%s decided %s", m.to.ID(), viewText(&body.View))
	default:
		return fmt.Sprintf("%s %T %v", m.to.ID(), body, body)
	}
}

// modelAction is one thing that may happen next.
type modelAction struct {
	name func() string
	run  func(w *modelWorld)
}

func (w *modelWorld) actions() []modelAction {
	var actions []modelAction
	for i := range w.messages {
		message := w.messages[i]
		actions = append(actions, modelAction{
			name: func() string { return "deliver " + messageText(message) },
			run:  func(w *modelWorld) { w.deliver(i) },
		})
	}
	add := func(who Member, what string, run func(w *modelWorld)) {
		actions = append(actions, modelAction{func() string { return who.ID() + what }, run})
	}
	for i, n := range w.nodes {
		name := n.acceptor.Self
		if w.mayStart(n) {
			add(name, " proposes", func(w *modelWorld) { w.start(w.nodes[i]) })
		}
		if p := n.proposal; p != nil && p.Value == nil && p.HasMajority() {
			add(name, " chooses", func(w *modelWorld) { w.choose(w.nodes[i], false) })
			if w.rules.shortChain {
				add(name, " chooses a short chain", func(w *modelWorld) { w.choose(w.nodes[i], true) })
			}
		}
		if w.restarts < w.rules.restarts {
			add(name, " restarts", func(w *modelWorld) { w.restart(w.nodes[i]) })
		}
		if w.wipes < w.rules.wipes {
			add(name, " is wiped", func(w *modelWorld) { w.wipe(w.nodes[i]) })
		}
		w.addChainActions(i, add)
	}
	return actions
}

func (w *modelWorld) addChainActions(i int, add func(Member, string, func(*modelWorld))) {
	n := w.nodes[i]
	if !n.serving() || w.rules.agreementOnly {
		return
	}
	name := n.acceptor.Self
	v := n.acceptor.View
	_, after := v.Neighbours(n.acceptor.Self)
	if v.Head().Same(n.acceptor.Self) && w.orders < w.rules.orders {
		add(name, " orders", func(w *modelWorld) { w.order(w.nodes[i]) })
	}
	if after.IsZero() && n.whole && w.uncommitted(n) && len(v.Chain) > 1 {
		add(name, " commits", func(w *modelWorld) { w.commit(w.nodes[i]) })
	}
	if !after.IsZero() && n.whole && w.lags(after, n) {
		add(name, " forwards", func(w *modelWorld) {
			n := w.nodes[i]
			w.send(after, modelAppend{from: n.acceptor.Self, epoch: n.acceptor.View.Epoch, log: n.log})
		})
	}
	if !v.Source.Same(n.acceptor.Self) {
		return
	}
	for _, m := range v.Chain {
		if to := w.at(m); to != nil && to.synced != v.Epoch {
			add(name, " copies to "+m.Address, func(w *modelWorld) {
				n := w.nodes[i]
				w.send(m, modelCopy{from: n.acceptor.Self, epoch: v.Epoch, prefix: n.prefix()})
			})
		}
	}
}

// lags reports whether the successor may need a message: one that wouldn't change it is left out.
func (w *modelWorld) lags(after Member, n *modelNode) bool {
	to := w.at(after)
	return to != nil && to.serving() && (len(to.log) < len(n.log) || !to.whole)
}

func (w *modelWorld) at(m Member) *modelNode {
	for _, n := range w.nodes {
		if n.acceptor.Self.Same(m) {
			return n
		}
	}
	return nil
}

func (n *modelNode) serving() bool {
	return n.acceptor.View.InChain(n.acceptor.Self) && n.synced == n.acceptor.View.Epoch && !n.acceptor.Wedged()
}

func (n *modelNode) prefix() []modelOrder {
	end := len(n.log)
	for end > 0 && n.log[end-1].epoch == n.acceptor.View.Epoch {
		end--
	}
	return n.log[:end:end]
}

func (w *modelWorld) send(to Member, body any) {
	key := string(appendMember(messageKey(body), to))
	for i := range w.messages {
		if w.messages[i].key == key {
			return
		}
	}
	w.messages = append(w.messages, modelMessage{to: to, body: body, key: key})
}

func (w *modelWorld) mayStart(n *modelNode) bool {
	d := &n.acceptor.Durable
	if w.rules.proposers != "" && !strings.Contains(w.rules.proposers, n.acceptor.Self.Address) {
		return false
	}
	return n.proposal == nil && w.starts < w.rules.starts && d.View.Epoch < w.rules.maxEpoch &&
		d.View.IsVoter(n.acceptor.Self) && d.Promised.Round < w.rules.maxRound
}

func (w *modelWorld) start(n *modelNode) {
	w.starts++
	d := &n.acceptor.Durable
	n.proposal = NewProposal(d.View, Ballot{Round: d.Promised.Round + 1, Member: n.acceptor.Self.ID()})
	n.acceptSent = false
	prepare := n.proposal.Prepare()
	for _, m := range d.View.Voters {
		if !m.Same(n.acceptor.Self) {
			w.send(m, prepare)
		}
	}
	w.handle(n, n.acceptor.Self, prepare)
}

func (w *modelWorld) choose(n *modelNode, short bool) {
	p := n.proposal
	if w.rules.skipRepair {
		for i := range p.promises {
			p.promises[i].Accepted = nil
			p.promises[i].AcceptedBallot = Ballot{}
		}
	}
	if w.rules.longestLog {
		best := p.promises[0]
		for _, m := range p.promises {
			if best.Log.End < m.Log.End {
				best = m
			}
		}
		if p.highestAccepted() == nil {
			voters, chain, _ := w.plan(p.View, best.From, short)
			p.Value = &View{Epoch: p.View.Epoch + 1, Voters: voters, Chain: chain, Source: best.From, SourceEpoch: best.Log.Synced}
		}
	}
	prefer := func(m Member) bool { return m.Address != w.rules.disliked }
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
func (w *modelWorld) plan(present View, source Member, short bool) (voters, chain []Member, ok bool) {
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

func (w *modelWorld) restart(n *modelNode) {
	w.restarts++
	n.proposal, n.acceptSent = nil, false
	n.whole = n.serving() && n.acceptor.View.Head().Same(n.acceptor.Self)
	if w.rules.forgetVotes {
		n.acceptor.Durable = Durable{View: n.acceptor.View}
	}
}

func (w *modelWorld) wipe(n *modelNode) {
	w.wipes++
	self := n.acceptor.Self
	if !w.rules.wipedVotes {
		self.Incarnation = fmt.Sprintf("wiped-%d", w.wipes)
	}
	*n = modelNode{}
	n.acceptor.Self = self
	if w.rules.wipedVotes {
		n.acceptor.Durable = Durable{View: Genesis(modelSeeds)}
		n.synced = GenesisEpoch
	}
}

func (w *modelWorld) order(n *modelNode) {
	w.orders++
	n.log = append(n.log[:len(n.log):len(n.log)], modelOrder{epoch: n.acceptor.View.Epoch, name: byte('0' + w.orders)})
}

func (w *modelWorld) uncommitted(n *modelNode) bool { return len(n.log) > len(w.commits) }

func (w *modelWorld) commit(n *modelNode) {
	for i, order := range n.log {
		if i < len(w.commits) {
			if w.commits[i].order != order {
				w.broken = fmt.Sprintf("two orders committed at %d", i)
			}
			continue
		}
		w.commits = append(w.commits, modelCommit{order: order, epoch: n.acceptor.View.Epoch})
	}
}

func (w *modelWorld) deliver(i int) {
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	if n := w.at(m.to); n != nil {
		w.handle(n, Member{}, m.body)
	}
}

func (w *modelWorld) handle(n *modelNode, _ Member, body any) {
	switch m := body.(type) {
	case Prepare:
		w.adopt(n, m.View)
		answer, _ := n.acceptor.OnPrepare(m, LogState{Synced: n.synced, End: uint64(len(n.log))})
		w.reply(n, m.Ballot, answer)
	case Accept:
		w.adopt(n, m.View)
		answer, _ := n.acceptor.OnAccept(m)
		w.reply(n, m.Ballot, answer)
	case Promise:
		if n.proposal != nil && n.proposal.Value == nil {
			n.proposal.OnPromise(m)
		}
	case Refused:
	case Accepted:
		w.onAccepted(n, m)
	case Decided:
		w.adopt(n, m.View)
	case modelAppend:
		before, _ := n.acceptor.View.Neighbours(n.acceptor.Self)
		if m.epoch == n.acceptor.View.Epoch && n.serving() && before.Same(m.from) {
			n.whole = true
			if len(m.log) > len(n.log) {
				n.log = m.log[:len(m.log):len(m.log)]
			}
		}
	case modelCopy:
		if m.epoch == n.acceptor.View.Epoch && !n.acceptor.Wedged() && n.synced != m.epoch &&
			n.acceptor.View.InChain(n.acceptor.Self) {
			n.log, n.synced = m.prefix, m.epoch
			n.whole = n.acceptor.View.Head().Same(n.acceptor.Self)
		}
	}
}

func (w *modelWorld) reply(n *modelNode, ballot Ballot, answer any) {
	if answer == nil {
		return
	}
	if ballot.Member == n.acceptor.Self.ID() {
		w.handle(n, n.acceptor.Self, answer)
		return
	}
	if _, refused := answer.(Refused); refused {
		return
	}
	for _, other := range w.nodes {
		if other.acceptor.Self.ID() == ballot.Member {
			w.send(other.acceptor.Self, answer)
		}
	}
}

func (w *modelWorld) onAccepted(n *modelNode, m Accepted) {
	if n.proposal == nil {
		return
	}
	decided := n.proposal.OnAccepted(m)
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

func (w *modelWorld) adopt(n *modelNode, v View) {
	before := n.acceptor.View.Epoch
	wedged := n.acceptor.Wedged()
	if !n.acceptor.Adopt(v) {
		return
	}
	text := viewText(&v)
	if earlier, known := w.views[v.Epoch]; known && earlier != text {
		w.broken = fmt.Sprintf("two views of epoch %d: %s and %s", v.Epoch, earlier, text)
	}
	w.views[v.Epoch] = text
	n.proposal, n.acceptSent = nil, false
	if v.Source.Same(n.acceptor.Self) {
		if before+1 != v.Epoch || !wedged {
			w.broken = "a source that hadn't promised"
		}
		n.synced = v.Epoch
	}
	if w.rules.serveEarly && v.InChain(n.acceptor.Self) {
		n.synced = v.Epoch
	}
	n.whole = n.serving() && v.Head().Same(n.acceptor.Self)
}

// check returns what is wrong with the state.
func (w *modelWorld) check() string {
	if w.broken != "" {
		return w.broken
	}
	for _, n := range w.nodes {
		if n.synced == 0 || n.synced != n.acceptor.View.Epoch {
			continue
		}
		for i, commit := range w.commits {
			if commit.epoch >= n.acceptor.View.Epoch {
				continue
			}
			if i >= len(n.log) || n.log[i] != commit.order {
				return fmt.Sprintf("%s is whole in epoch %d without the order committed at %d in epoch %d",
					n.acceptor.Self.ID(), n.acceptor.View.Epoch, i, commit.epoch)
			}
		}
	}
	return ""
}

// step returns the state after an action.
func (w *modelWorld) step(action modelAction) *modelWorld {
	next := w.clone()
	next.trace = &modelStep{name: action.name, before: w.trace}
	action.run(next)
	return next
}

// play runs the actions whose names begin with these texts, one each.
func (w *modelWorld) play(t testing.TB, names ...string) *modelWorld {
	t.Helper()
	for _, name := range names {
		found := false
		for _, action := range w.actions() {
			if strings.HasPrefix(action.name(), name) {
				w = w.step(action)
				found = true
				break
			}
		}
		if !found {
			t.Fatalf("no action %q in state after\n%s", name, w.trace)
		}
	}
	return w
}

var modelHash = maphash.MakeSeed()

// explore visits every state within a depth, breadth first, up to a number of states. It returns the
// first broken state.
func explore(start *modelWorld, depth, limit int) (broken *modelWorld, problem string, states, reached int) {
	seen := map[uint64]struct{}{start.key(): {}}
	level := []*modelWorld{start}
	for reached = 0; reached < depth && len(level) > 0; reached++ {
		var next []*modelWorld
		for _, w := range level {
			for _, action := range w.actions() {
				after := w.step(action)
				if problem := after.check(); problem != "" {
					return after, problem, len(seen), reached + 1
				}
				key := after.key()
				if _, known := seen[key]; known {
					continue
				}
				seen[key] = struct{}{}
				next = append(next, after)
			}
			if len(seen) > limit {
				return nil, "", len(seen), reached
			}
		}
		level = next
	}
	return nil, "", len(seen), reached
}

// walk takes random steps from a state, many times.
func walk(start *modelWorld, seed uint64, walks, length int) (broken *modelWorld, problem string) {
	random := rand.New(rand.NewPCG(seed, 5))
	for i := 0; i < walks; i++ {
		w := start
		for j := 0; j < length; j++ {
			actions := w.actions()
			if len(actions) == 0 {
				break
			}
			w = w.step(actions[random.IntN(len(actions))])
			if problem := w.check(); problem != "" {
				return w, problem
			}
		}
	}
	return nil, ""
}

// modelEffort multiplies the bounds; MODEL=N in the environment sets it.
func modelEffort() int {
	if effort, err := strconv.Atoi(os.Getenv("MODEL")); err == nil && effort > 0 {
		return effort
	}
	return 1
}

type modelScenario struct {
	name  string
	rules modelRules
	steps []string
	depth int
}

func modelScenarios() []modelScenario {
	committed := []string{"a#genesis orders", "a#genesis forwards", "deliver b#genesis", "b#genesis forwards",
		"deliver c#genesis", "c#genesis commits"}
	return []modelScenario{
		{
			name:  "two proposers and a restart",
			rules: modelRules{maxRound: 2, maxEpoch: 2, restarts: 1, starts: 2, proposers: "ac", agreementOnly: true},
			depth: 15,
		},
		{
			name:  "a wiped machine and two proposers",
			rules: modelRules{maxRound: 2, maxEpoch: 2, wipes: 1, starts: 2, proposers: "ac", agreementOnly: true},
			depth: 15,
		},
		{
			name:  "orders while a view changes",
			rules: modelRules{maxRound: 1, maxEpoch: 2, orders: 1, starts: 1, shortChain: true, proposers: "ac"},
			depth: 14,
		},
		{
			name:  "a head that hands over with orders on their way",
			rules: modelRules{maxRound: 1, maxEpoch: 3, orders: 3, starts: 2, shortChain: true, disliked: "a"},
			steps: append(committed[:6:6], "a#genesis orders", "a#genesis forwards", "a#genesis proposes"),
			depth: 11,
		},
		{
			name:  "a view after a committed order, with a wiped machine",
			rules: modelRules{maxRound: 1, maxEpoch: 2, orders: 1, wipes: 1, starts: 1},
			steps: committed,
			depth: 13,
		},
		{
			name:  "a source that goes before its prefix is copied",
			rules: modelRules{maxRound: 1, maxEpoch: 3, orders: 2, wipes: 1, starts: 2, shortChain: true},
			steps: append(committed[:6:6], "a#genesis orders", "a#genesis proposes", "deliver b#genesis prepare",
				"deliver a#genesis promise b", "a#genesis chooses a short chain", "deliver b#genesis accept",
				"deliver a#genesis view.Accepted"),
			depth: 12,
		},
		{
			name:  "an older log that is longer",
			rules: modelRules{maxRound: 1, maxEpoch: 3, orders: 4, starts: 2, shortChain: true},
			steps: append(committed[:6:6], "a#genesis orders", "a#genesis orders", "b#genesis proposes",
				"deliver c#genesis prepare", "deliver b#genesis promise c", "b#genesis chooses a short chain",
				"deliver c#genesis accept", "deliver b#genesis view.Accepted", "deliver c#genesis decided",
				"b#genesis copies to c", "deliver c#genesis view.modelCopy", "b#genesis orders",
				"b#genesis forwards", "deliver c#genesis view.modelAppend", "c#genesis commits"),
			depth: 11,
		},
	}
}

func (s modelScenario) world(t testing.TB, plant func(*modelRules)) *modelWorld {
	rules := s.rules
	plant(&rules)
	return newModelWorld(&rules).play(t, s.steps...)
}

// TestModel checks the change of views in every order of messages, restarts and wiped disks, up to
// bounds; MODEL=N explores N times as many states.
func TestModel(t *testing.T) {
	for _, scenario := range modelScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			start := scenario.world(t, func(*modelRules) {})
			depth, limit := scenario.depth, 25_000*modelEffort()
			if modelEffort() > 1 {
				depth *= 3
			}
			broken, problem, states, reached := explore(start, depth, limit)
			if problem != "" {
				t.Fatalf("%s after\n%s", problem, broken.trace)
			}
			t.Logf("%d states, all to depth %d", states, reached)
			wide := *start.rules
			wide.maxEpoch, wide.maxRound, wide.starts, wide.orders, wide.restarts = 4, 3, 6, 4, 3
			wide.shortChain, wide.agreementOnly, wide.proposers = true, false, ""
			wide.wipes = min(1, wide.wipes)
			start.rules = &wide
			if broken, problem := walk(start, 1, 300*modelEffort(), 80); problem != "" {
				t.Fatalf("%s after\n%s", problem, broken.trace)
			}
		})
	}
}

// TestModelFindsPlantedBugs checks that the exploration finds what it is for.
func TestModelFindsPlantedBugs(t *testing.T) {
	plants := []struct {
		name     string
		scenario string
		plant    func(*modelRules)
	}{
		{"votes are forgotten at a restart", "two proposers and a restart", func(r *modelRules) { r.forgetVotes = true }},
		{"a proposer doesn't repair", "two proposers and a restart", func(r *modelRules) { r.skipRepair = true }},
		{"a view serves before the prefix is copied", "a view after a committed order, with a wiped machine",
			func(r *modelRules) { r.serveEarly = true }},
		{"a wiped machine votes", "a wiped machine and two proposers", func(r *modelRules) { r.wipedVotes = true }},
		{"the source is whoever has the longest log", "an older log that is longer",
			func(r *modelRules) { r.longestLog = true }},
	}
	for _, planted := range plants {
		t.Run(planted.name, func(t *testing.T) {
			for _, scenario := range modelScenarios() {
				if scenario.name != planted.scenario {
					continue
				}
				start := scenario.world(t, planted.plant)
				broken, problem, states, _ := explore(start, scenario.depth, 100_000)
				if problem == "" {
					t.Fatalf("not found in %d states", states)
				}
				t.Logf("found after %d states: %s\n%s", states, problem, broken.trace)
			}
		})
	}
}

package view

import "fmt"

// memberMessage is an Append or a Copy on its way. It may be delivered any number of times, or lost.
type memberMessage struct {
	from, to Member
	epoch    uint64
	copy     bool
	log      []modelOrder
}

// addChain adds what the members of a chain do.
func (w *memberWorld) addChain(actions []memberAction, i int, n *memberNode) []memberAction {
	if !n.serving() {
		return actions
	}
	v, name := n.acceptor.View, n.self().ID()
	_, after := v.Neighbours(n.self())
	if v.Head().Same(n.self()) && w.orders < w.rules.orders {
		actions = append(actions, named(func(w *memberWorld) { w.order(w.nodes[i]) }, "%s orders", name))
	}
	if after.IsZero() && n.whole && w.enough(v) && len(n.log) > len(w.commits) {
		actions = append(actions, named(func(w *memberWorld) { w.commit(w.nodes[i]) }, "%s commits", name))
	}
	if !after.IsZero() && n.whole && w.lags(after, n) {
		message := memberMessage{from: n.self(), to: after, epoch: v.Epoch, log: n.log}
		actions = append(actions, named(func(w *memberWorld) { w.send(message) }, "%s forwards", name))
	}
	if !v.Source.Same(n.self()) {
		return actions
	}
	for _, m := range v.Chain {
		if to := w.at(m); to != nil && to.synced != v.Epoch && to.epoch() == v.Epoch && !to.acceptor.Wedged() {
			message := memberMessage{from: n.self(), to: m, epoch: v.Epoch, copy: true, log: n.prefix()}
			actions = append(actions, named(func(w *memberWorld) { w.send(message) }, "%s copies to %s", name, m.ID()))
		}
	}
	return actions
}

// enough is core.enough.
func (w *memberWorld) enough(v View) bool {
	if w.rules.shortAcks {
		return len(v.Chain) >= w.rules.tolerance
	}
	return len(v.Chain) > w.rules.tolerance
}

// lags reports whether the successor has a use for a message.
func (w *memberWorld) lags(after Member, n *memberNode) bool {
	to := w.at(after)
	return to != nil && to.epoch() == n.epoch() && to.serving() && (len(to.log) < len(n.log) || !to.whole)
}

func (n *memberNode) prefix() []modelOrder {
	end := len(n.log)
	for end > 0 && n.log[end-1].epoch == n.epoch() {
		end--
	}
	return n.log[:end:end]
}

func (w *memberWorld) order(n *memberNode) {
	w.orders++
	n.log = append(n.log[:len(n.log):len(n.log)], modelOrder{epoch: n.epoch(), name: byte('0' + w.orders)})
}

func (w *memberWorld) commit(n *memberNode) {
	for i, order := range n.log {
		if i < len(w.commits) {
			if w.commits[i] != order {
				w.broken = fmt.Sprintf("two orders committed at %d", i)
			}
			continue
		}
		w.commits = append(w.commits, order)
		w.commitIn = append(w.commitIn, n.epoch())
	}
	copies := 0
	for _, other := range w.nodes {
		if holdsAll(other.log, w.commits) {
			copies++
		}
	}
	if copies <= w.rules.tolerance-w.spent {
		w.broken = fmt.Sprintf("an order is acknowledged on %d disks after %d losses", copies, w.spent)
	}
}

func holdsAll(log, commits []modelOrder) bool {
	if len(log) < len(commits) {
		return false
	}
	for i, order := range commits {
		if log[i] != order {
			return false
		}
	}
	return true
}

func (w *memberWorld) send(m memberMessage) {
	if w.rules.inFlight == 0 {
		w.arrive(m)
	} else if len(w.messages) < w.rules.inFlight {
		w.messages = append(w.messages, m)
	}
}

func (w *memberWorld) drop(i int) {
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
}

// arrive is core.onAppend and core.onCopy.
func (w *memberWorld) arrive(m memberMessage) {
	n := w.at(m.to)
	if n == nil || m.epoch != n.epoch() || n.acceptor.Wedged() || !n.acceptor.View.InChain(n.self()) {
		return
	}
	if m.copy {
		w.takeCopy(n, m)
		return
	}
	before, _ := n.acceptor.View.Neighbours(n.self())
	if !n.serving() || !before.Same(m.from) {
		return
	}
	n.whole = true
	if len(m.log) > len(n.log) {
		n.log = m.log[:len(m.log):len(m.log)]
	}
}

func (w *memberWorld) takeCopy(n *memberNode, m memberMessage) {
	if n.synced == m.epoch {
		return
	}
	if w.rules.wholeEarly {
		n.synced = m.epoch
	}
	if w.rules.pieces && !n.pieces {
		n.pieces = true
		return
	}
	n.log, n.synced, n.pieces = m.log, m.epoch, false
	n.whole = n.acceptor.View.Head().Same(n.self())
}

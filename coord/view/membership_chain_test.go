package view

import "fmt"

// memberMessage is an Append or a Copy on its way. It may be delivered any number of times, or lost.
type chainMessage struct {
	from, to Member
	epoch    uint64
	isCopy   bool
	log      []modelCommand
}

// addChain adds what the members of a chain do.
func (w *membershipState) addChain(actions []membershipAction, i int, n *membershipNode) []membershipAction {
	if !n.serving() {
		return actions
	}
	v, name := n.acceptor.View, n.self().ID()
	_, after := v.Adjacent(n.self())
	if v.Head().Same(n.self()) && w.commands < w.config.commands {
		actions = append(actions, named(func(w *membershipState) { w.appendCommand(w.nodes[i]) }, "%s orders", name))
	}
	if after.IsZero() && n.prefixComplete && w.chainLongEnough(v) && len(n.log) > len(w.commits) {
		actions = append(actions, named(func(w *membershipState) { w.commit(w.nodes[i]) }, "%s commits", name))
	}
	if !after.IsZero() && n.prefixComplete && w.lags(after, n) {
		message := chainMessage{from: n.self(), to: after, epoch: v.Epoch, log: n.log}
		actions = append(actions, named(func(w *membershipState) { w.send(message) }, "%s forwards", name))
	}
	if !v.Source.Same(n.self()) {
		return actions
	}
	for _, m := range v.Chain {
		if to := w.at(m); to != nil && to.synced != v.Epoch && to.epoch() == v.Epoch && !to.acceptor.Wedged() {
			message := chainMessage{from: n.self(), to: m, epoch: v.Epoch, isCopy: true, log: n.prefix()}
			actions = append(actions, named(func(w *membershipState) { w.send(message) }, "%s copies to %s", name, m.ID()))
		}
	}
	return actions
}

// enough is core.enough.
func (w *membershipState) chainLongEnough(v View) bool {
	if w.config.shortAcks {
		return len(v.Chain) >= w.config.tolerance
	}
	return len(v.Chain) > w.config.tolerance
}

// lags reports whether the successor has a use for a message.
func (w *membershipState) lags(after Member, n *membershipNode) bool {
	to := w.at(after)
	return to != nil && to.epoch() == n.epoch() && to.serving() && (len(to.log) < len(n.log) || !to.prefixComplete)
}

func (n *membershipNode) prefix() []modelCommand {
	end := len(n.log)
	for end > 0 && n.log[end-1].epoch == n.epoch() {
		end--
	}
	return n.log[:end:end]
}

func (w *membershipState) appendCommand(n *membershipNode) {
	w.commands++
	n.log = append(n.log[:len(n.log):len(n.log)], modelCommand{epoch: n.epoch(), name: byte('0' + w.commands)})
}

func (w *membershipState) commit(n *membershipNode) {
	for i, order := range n.log {
		if i < len(w.commits) {
			if w.commits[i] != order {
				w.violation = fmt.Sprintf("two orders committed at %d", i)
			}
			continue
		}
		w.commits = append(w.commits, order)
		w.commitEpochs = append(w.commitEpochs, n.epoch())
	}
	copies := 0
	for _, other := range w.nodes {
		if holdsAll(other.log, w.commits) {
			copies++
		}
	}
	if copies <= w.config.tolerance-w.lossesUnrepaired {
		w.violation = fmt.Sprintf("an order is acknowledged on %d disks after %d losses", copies, w.lossesUnrepaired)
	}
}

func holdsAll(log, commits []modelCommand) bool {
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

func (w *membershipState) send(m chainMessage) {
	if w.config.inFlight == 0 {
		w.receive(m)
	} else if len(w.messages) < w.config.inFlight {
		w.messages = append(w.messages, m)
	}
}

func (w *membershipState) drop(i int) {
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
}

// arrive is core.onAppend and core.onCopy.
func (w *membershipState) receive(m chainMessage) {
	n := w.at(m.to)
	if n == nil || m.epoch != n.epoch() || n.acceptor.Wedged() || !n.acceptor.View.InChain(n.self()) {
		return
	}
	if m.isCopy {
		w.receiveCopy(n, m)
		return
	}
	before, _ := n.acceptor.View.Adjacent(n.self())
	if !n.serving() || !before.Same(m.from) {
		return
	}
	n.prefixComplete = true
	if len(m.log) > len(n.log) {
		n.log = m.log[:len(m.log):len(m.log)]
	}
}

func (w *membershipState) receiveCopy(n *membershipNode, m chainMessage) {
	if n.synced == m.epoch {
		return
	}
	if w.config.syncedEarly {
		n.synced = m.epoch
	}
	if w.config.copiesInPieces && !n.partialCopy {
		n.partialCopy = true
		return
	}
	n.log, n.synced, n.partialCopy = m.log, m.epoch, false
	n.prefixComplete = n.acceptor.View.Head().Same(n.self())
}

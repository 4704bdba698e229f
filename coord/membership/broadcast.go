package membership

import "math/bits"

// maxPiggyback bounds the updates in one message. A higher bound disseminates a burst of changes in fewer
// rounds, with larger messages.
const maxPiggyback = 24

// broadcastQueue holds the updates that are still to be disseminated, at most one of each machine. Updates that
// haven't been sent yet go first, as in SWIM, followed by the others in turn.
type broadcastQueue struct {
	unsent   []*rumor          // not sent yet, oldest first
	sent     []*rumor          // sent at least once, least recently sent first
	byMember map[string]*rumor // the rumors that aren't superseded, by name of the machine
}

// rumor is an update of one machine in the queue.
type rumor struct {
	update        Update
	transmissions int
	superseded    bool // replaced by a newer update of the machine; take discards it
}

// pending returns the number of updates still to be disseminated.
func (q *broadcastQueue) pending() int {
	return len(q.byMember)
}

// add queues an update and replaces an earlier update of the same machine.
func (q *broadcastQueue) add(update Update) {
	name := update.Member.Name
	if old, ok := q.byMember[name]; ok {
		old.superseded = true
	}
	added := &rumor{update: update}
	if q.byMember == nil {
		q.byMember = make(map[string]*rumor)
	}
	q.byMember[name] = added
	q.unsent = append(q.unsent, added)
}

// maxTransmissions returns how often an update is sent in a system of the given number of machines. An update
// that each machine forwards a number of times proportional to the logarithm of that number reaches all
// machines with high probability (SWIM).
func maxTransmissions(machines int) int {
	return 2 + 2*bits.Len(uint(machines))
}

// take returns the updates for one message and counts a transmission of each. An update that reaches
// maxTransmissions for the number of machines is removed from the queue.
func (q *broadcastQueue) take(machines int) []Update {
	if len(q.byMember) == 0 {
		return nil
	}
	limit := maxTransmissions(machines)
	updates := make([]Update, 0, min(maxPiggyback, len(q.byMember)))
	for range len(q.unsent) + len(q.sent) {
		if len(updates) == maxPiggyback {
			break
		}
		next := q.pop()
		if next.superseded {
			continue
		}
		updates = append(updates, next.update)
		next.transmissions++
		if next.transmissions < limit {
			q.sent = append(q.sent, next)
			continue
		}
		delete(q.byMember, next.update.Member.Name)
	}
	return updates
}

// pop removes and returns the rumor to be sent next. The queue must not be empty.
func (q *broadcastQueue) pop() *rumor {
	source := &q.sent
	if len(q.unsent) > 0 {
		source = &q.unsent
	}
	next := (*source)[0]
	(*source)[0] = nil // the backing array outlives the rumor
	*source = (*source)[1:]
	if len(*source) == 0 {
		*source = nil
	}
	return next
}

// piggyback returns the updates that the next message carries.
func (n *Node) piggyback() []Update {
	return n.broadcasts.take(n.table.ring().Len())
}

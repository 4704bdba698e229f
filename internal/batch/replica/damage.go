package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns what becomes of copies that are not whole: who owns the batch job instead, and how they are replaced.

// concession is a batch job that this store would own, given to another one.
type ownershipTransfer struct {
	to      placement.Key
	version Version
	sentAt  time.Duration
}

// takeOrConcede owns a batch job that falls to this store, or gives it to a store that holds a better copy of the newest
// version. Only the store that would own it does so; so there is one decision in an epoch.
func (m *StateMachine) ownOrTransfer(id string, found *newestCopies) {
	j := m.jobs[id]
	held := j != nil && j.version == found.version
	if held && !j.corrupt {
		m.takeOwnership(j)
		return
	}
	mine := -1
	if held {
		mine = len(j.results)
	}
	if better := found.betterHolder(m.self, mine); better != "" {
		m.transferOwnership(id, ownershipTransfer{to: better, version: found.version})
		return
	}
	if held {
		m.takeOwnership(j)
	}
}

// better gives the store that holds a whole copy, the first of the set where it is one of several, or else the longest
// sound prefix, if it is of more than a count of results.
func (c *newestCopies) betterHolder(self placement.Key, count int) placement.Key {
	candidates := slices.Sorted(slices.Values(c.holders))
	for _, replica := range slices.Backward(c.replicas) {
		if key := placement.KeyOf(replica); slices.Contains(candidates, key) {
			candidates = slices.Insert(slices.DeleteFunc(candidates, func(k placement.Key) bool { return k == key }), 0, key)
		}
	}
	var longest placement.Key
	for _, key := range candidates {
		prefix, damaged := c.corrupt[key]
		switch {
		case key == self:
		case !damaged:
			return key
		case prefix > count:
			longest, count = key, prefix
		}
	}
	return longest
}

func (m *StateMachine) transferOwnership(id string, c ownershipTransfer) {
	member, present := placement.MemberOf(m.view, c.to)
	if !present {
		return
	}
	c.sentAt = m.env.Now()
	m.transfers[id] = c
	m.owners[id] = c.to
	if j := m.jobs[id]; j != nil {
		m.followOwner(j)
	}
	m.env.Send(member.Process, OwnershipTransfer{Stamp: m.stamp(), Job: id, Version: c.version})
}

// concedeAgain sends what may have been lost, and asks whether the batch job stands whole where it was given to.
func (m *StateMachine) resendTransfers(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(m.transfers)) {
		c := m.transfers[id]
		if now-c.sentAt >= inventoryRetry {
			m.transferOwnership(id, c)
		}
	}
}

// conceded owns a batch job that the store which would own it holds no good copy of.
func (m *StateMachine) handleOwnershipTransfer(from protocol.Process, message OwnershipTransfer) {
	if !m.reconciled {
		return
	}
	j := m.jobs[message.Job]
	if j == nil || !j.owned && j.version != message.Version { // what the inventory listed was dropped or replaced since
		m.env.Send(from, ReplicationResponse{Stamp: m.stamp(), Job: message.Job, Version: message.Version})
		return
	}
	if j.owned {
		m.env.Send(from, OwnerNotice{Stamp: m.stamp(), Job: j.id, Owner: m.self})
		m.sendReplicationResponse(j, from)
		return
	}
	if j.handedOver { // to the next owner
		m.sendOwnerNotice(from, j.id)
		return
	}
	m.revokeReconciled() // its set has to be made whole first
	m.takeOwnership(j)
	m.retryParkedCalls()
}

// concededInVain looks again at who holds what, where the store that a batch job was given to has it no more: it has none of the version
// that it was given. One that has taken it may have yet to write a newer one.
func (m *StateMachine) checkTransferRejected(from placement.Key, message ReplicationResponse) {
	c, conceded := m.transfers[message.Job]
	if conceded && c.to == from && !message.Held && message.Version == c.version {
		delete(m.transfers, message.Job)
		delete(m.owners, message.Job)
		m.restartReconciliation()
	}
}

// forgetPeer forgets what is known of copies at a store that has started again: it may have found them damaged.
func (m *StateMachine) resetPeer(key placement.Key) {
	for _, j := range m.order {
		if p := j.peer(key); j.owned && p != nil {
			*p = peer{process: p.process}
			m.revokeReconciled()
		}
	}
}

// unsettle takes back that all that this store owns stands whole.
func (m *StateMachine) revokeReconciled() {
	if m.reconciledEpoch > 0 && m.reconciledEpoch == m.view.Epoch {
		m.reconciledEpoch--
	}
}

// rewrite replaces a damaged copy by its sound part, as a whole copy of a new version.
func (m *StateMachine) rewriteCopy(j *storedJob) {
	message := ReplicationRequest{}
	if !m.fillFullCopy(j, &message, len(j.results)) {
		return // neither content nor results can be read: calls wait and are refused, for as long as this store owns it
	}
	j.corrupt = false
	j.versionDurable = false
	version := j.version
	record := encodeCopy(j.id, version, j.replicas, j.ended, message.Content, message.Results)
	j.previousAt = j.oldestLocation()
	at := m.write(record, true, func() {
		j.previousAt = nil
		if j.version == version {
			j.versionDurable = true
			m.replicateJob(j)
			m.maybeCommit(j)
		}
	})
	j.contentAt, j.results = locateCopy(j, record, at)
	j.progress = nil // what is left of it stands in segments that may go now
}

package replica

import (
	"fmt"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file checks the messages of other stores and dispatches them to their handlers.

// Receive handles a message of another store. It drops messages of other epochs, of stores that aren't members and
// of earlier incarnations.
func (m *StateMachine) Receive(from protocol.Process, message any) {
	stampedMessage, ok := message.(stamped)
	if !ok {
		return
	}
	stamp := stampedMessage.header()
	key := placement.KeyOf(from)
	if stamp.Epoch != m.view.Epoch || !m.isMember {
		return
	}
	if _, member := placement.MemberOf(m.view, key); !member || key == m.self {
		return
	}
	if m.noteIncarnation(key, stamp.Life) {
		return
	}
	switch message := message.(type) {
	case InventoryRequest:
		m.env.Send(from, m.inventory(message.Round))
	case InventoryResponse:
		m.handleInventoryResponse(key, message)
	case ReservationRequest:
		m.handleReservationRequest(from, message)
	case ReservationResponse:
		m.handleReservationResponse(key, message)
	case ReservationRelease:
		m.handleReservationRelease(key, message)
	case LookupRequest:
		m.handleLookupRequest(from, message)
	case LookupResponse:
		m.handleLookupResponse(key, message)
	case OwnerNotice:
		m.noteOwner(message.Job, message.Owner)
	case ReplicationRequest:
		m.handleReplicationRequest(from, message)
	case ReplicationResponse:
		m.handleReplicationResponse(key, message)
	case ReconciledNotice:
		m.handleReconciledNotice(from, message)
	case OwnershipTransfer:
		m.handleOwnershipTransfer(from, message)
	case Claim:
		m.handleClaim(key, message)
	case ClaimResponse:
		m.handleClaimResponse(key, message)
	case ClaimPoll:
		m.sendClaim(key)
	default:
		panic(fmt.Sprintf("replica: message of unknown type %T", message))
	}
}

// noteIncarnation records the sender's process incarnation, and reports whether the message is of an earlier one.
// After a restart a process has forgotten its votes, its claims and the requests that it received, and may have found
// its copies corrupt: its earlier promises are discarded, and all inventories are exchanged again.
func (m *StateMachine) noteIncarnation(key placement.Key, incarnation uint64) (stale bool) {
	last, seen := m.incarnations[key]
	if seen && incarnation < last {
		return true
	}
	m.incarnations[key] = incarnation
	if seen && incarnation > last {
		delete(m.departures.reconciledEpochs, key) // it has to reconcile again
		m.resetPeer(key)
		m.noteClaimantRestart(key)
		for _, a := range m.acceptances {
			delete(a.votes, key)
		}
		for _, l := range m.lookups {
			delete(l.unknownTo, key)
		}
		m.restartReconciliation()
	}
	return false
}

// stamp returns the header of a message of this store.
func (m *StateMachine) stamp() Stamp {
	return Stamp{Epoch: m.view.Epoch, Life: m.options.ProcessIncarnation}
}

package replica

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// What is the state of one store's part, what does it act through, and where does a message go?

// CallID names a client's call until it is answered.
type CallID uint64

// Environment is what a StateMachine acts through. None of its methods may call the state machine back.
type Environment interface {
	// Now reads a monotonic clock.
	Now() time.Duration
	// WallClock gives the time of day in Unix milliseconds.
	WallClock() int64
	// Write queues a record; StateMachine.Synced says when it is durable. Records are written in order. An urgent
	// one is written without waiting for others to share its sync.
	Write(record []byte, urgent bool) (sequence uint64, at wal.Location)
	// Read reads part of a durable record.
	Read(at wal.Location) ([]byte, error)
	// Send sends a message to another store; it may be lost.
	Send(to protocol.Process, message any)
	// Answer ends a call.
	Answer(id CallID, answer protocol.BatchAnswer)
	// Start says that this store may run the batch job's items.
	Start(id string)
	// Stop says that this store may not run the batch job's items any more.
	Stop(id string)
	// FreeBytes gives the number of bytes that the disk still takes.
	FreeBytes() int64
	// QueueLimit gives the number of tokens of one tenant that may be queued on a route, 0 for no limit. It is not
	// known while the configuration doesn't have the route yet.
	QueueLimit(route string) (tokens int64, known bool)
}

// Options are constants of a state machine.
type Options struct {
	Self protocol.Process // its Incarnation is that of the disk
	// ProcessIncarnation rises with each start of the process on the same disk. Others discard what an earlier
	// incarnation promised without writing it.
	ProcessIncarnation uint64
	// ReplicationFactor is the number of disks that each batch job is on: f + 1, where f may be lost at once.
	ReplicationFactor int
	// Retention is for how long a batch job is kept, counted from its first submission by the time of day. A longer
	// one lets clients read results later and takes more disk.
	Retention    time.Duration
	MinFreeBytes int64 // bytes of disk that a new batch job must leave free
	MaxJobs      int   // most batch jobs to store, 0 for no limit
}

// StateMachine is one store's part in the replication of batch jobs. Its methods must not be called concurrently.
type StateMachine struct {
	options Options
	env     Environment
	self    placement.Key

	// The newest view, and the right to act in it.
	view       protocol.StoreView
	isMember   bool          // this store is in the view
	retiring   bool          // this store is to be emptied
	leaseUntil time.Duration // by Environment.Now

	// Reconciliation in the present epoch.
	inventoryRound         uint64 // answers to requests of an earlier round are ignored
	reconciled             bool   // all inventories are here, and owners are known
	unowned                int    // batch jobs that no member may own until departed stores are back
	inventoriesRequestedAt time.Duration
	inventories            map[placement.Key]InventoryResponse
	incarnations           map[placement.Key]uint64     // newest process incarnation seen of each store
	transfers              map[string]ownershipTransfer // batch jobs that this store would own, and transferred to others
	reconciledEpoch        uint64                       // newest epoch in which this store had reconciled

	jobs        map[string]*storedJob
	jobsInOrder []*storedJob             // the same, in the order in which they came
	owners      map[string]placement.Key // of batch jobs that this store doesn't own

	reservations map[string]reservation // votes as arbiter, in the present epoch
	lastAttempt  uint64                 // to accept a batch job
	acceptances  map[string]*acceptance
	claims       claims
	lookups      map[string]*lookup
	lastLookup   uint64
	parkedCalls  []parkedCall

	pendingWrites []pendingWrite
	slowUntil     map[placement.Key]time.Duration // until when slow stores are not chosen
	departures    departureSet
	lastExpiry    time.Duration

	findings      int        // records of the log that could not be used at the start
	incompleteLog bool       // because of them, this store may lack batch jobs that it can't name
	violations    Violations // since the start of the process
}

// New returns a state machine without batch jobs. The records of its log must be replayed (Replay) before anything
// else is called.
func New(options Options, env Environment) *StateMachine {
	return &StateMachine{
		options: options, env: env,
		self:         placement.KeyOf(options.Self),
		inventories:  map[placement.Key]InventoryResponse{},
		incarnations: map[placement.Key]uint64{},
		jobs:         map[string]*storedJob{},
		owners:       map[string]placement.Key{},
		reservations: map[string]reservation{},
		acceptances:  map[string]*acceptance{},
		lookups:      map[string]*lookup{},
		slowUntil:    map[placement.Key]time.Duration{},
		transfers:    map[string]ownershipTransfer{},
		violations:   Violations{},
		claims:       newClaims(),
		departures: departureSet{
			stores:           map[placement.Key]departure{},
			reconciledEpochs: map[placement.Key]uint64{},
			incompleteLogs:   map[placement.Key]time.Duration{},
		},
	}
}

// GrantLease renews the right to act as a member of the view of an epoch until a time of Environment.Now, which the
// caller counts from when it asked for the lease. A lease for a later epoch than that of the view known here is
// ignored: this store may have been out of the set in between, and others may have taken over what it owned.
func (m *StateMachine) GrantLease(epoch uint64, member bool, until time.Duration) {
	switch {
	case !member:
		m.leaseUntil = 0
	case epoch <= m.view.Epoch:
		m.leaseUntil = max(m.leaseUntil, until)
	}
}

// MayAct reports whether this store is a member with a running lease. It is checked right before anything leaves that
// depends on it.
func (m *StateMachine) MayAct() bool { return m.isMember && m.env.Now() < m.leaseUntil }

// CurrentView returns the newest view known here.
func (m *StateMachine) CurrentView() protocol.StoreView { return m.view }

// Epoch returns the epoch of the newest view known here.
func (m *StateMachine) Epoch() uint64 { return m.view.Epoch }

// ActedIn returns the epoch of the newest view that this store acted in, in earlier incarnations as well, as far as
// its log shows.
func (m *StateMachine) ActedIn() uint64 { return m.departures.actedEpoch }

// Receive takes a message of another store. It drops messages of other epochs, of stores that aren't members and of
// earlier incarnations.
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
		panic(fmt.Sprintf("replica: message of type %T", message))
	}
}

// noteIncarnation records the sender's process incarnation, and reports whether the message is of an earlier one. A
// restarted process has forgotten its votes, its claims and the requests it got, and may have found its copies
// corrupt: what it promised is discarded, and all inventories are exchanged again.
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

// stamp heads a message of this store.
func (m *StateMachine) stamp() Stamp {
	return Stamp{Epoch: m.view.Epoch, Life: m.options.ProcessIncarnation}
}

// eachOtherMember calls a function for each other member of the view that may hold replicas.
func (m *StateMachine) eachOtherMember(call func(protocol.Process)) {
	for _, member := range m.view.Members {
		if member.State != protocol.StoreRetired && placement.KeyOf(member.Process) != m.self {
			call(member.Process)
		}
	}
}

package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// What is the state of one store's part, and when may it act?

// Options are constants of a state machine.
type Options struct {
	Self protocol.Process // its Incarnation is that of the disk
	// ProcessIncarnation rises with each start of the process on the same disk. Others discard what an earlier
	// incarnation promised without writing it.
	ProcessIncarnation uint64
	// ReplicationFactor is the number of disks that each batch job is on: f + 1, where f may be lost at once.
	ReplicationFactor int
	// Retention is for how long a batch job is kept, counted from its first submission by the time of day. A
	// longer one lets clients read results later and takes more disk.
	Retention    time.Duration
	MinFreeBytes int64 // bytes of disk that a new batch job must leave free
	MaxJobs      int   // most batch jobs to store, 0 for no limit
}

// StateMachine is one store's part in the replication of batch jobs. Its methods must not be called
// concurrently.
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

	findings      int  // records of the log that could not be used at the start
	incompleteLog bool // because of them, this store may lack batch jobs that it can't name
	findingPlaces accountedFindings
	violations    Violations // since the start of the process
}

// New returns a state machine without batch jobs. The records of its log must be replayed (Replay) before
// anything else is called.
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

// GrantLease renews the right to act as a member of the view of an epoch until a time of Environment.Now,
// which the caller counts from when it asked for the lease. A lease for a later epoch than that of the view
// known here is ignored: this store may have been out of the set in between, and others may have taken over
// what it owned.
func (m *StateMachine) GrantLease(epoch uint64, member bool, until time.Duration) {
	switch {
	case !member:
		m.leaseUntil = 0
	case epoch <= m.view.Epoch:
		m.leaseUntil = max(m.leaseUntil, until)
	}
}

// MayAct reports whether this store is a member with a running lease. It is checked right before anything
// leaves that depends on it.
func (m *StateMachine) MayAct() bool { return m.isMember && m.env.Now() < m.leaseUntil }

// CurrentView returns the newest view known here.
func (m *StateMachine) CurrentView() protocol.StoreView { return m.view }

// Epoch returns the epoch of the newest view known here.
func (m *StateMachine) Epoch() uint64 { return m.view.Epoch }

// ActedIn returns the epoch of the newest view that this store acted in, in earlier incarnations as well, as
// far as its log shows.
func (m *StateMachine) ActedIn() uint64 { return m.departures.actedEpoch }

// eachOtherMember calls a function for each other member of the view that may hold replicas.
func (m *StateMachine) eachOtherMember(call func(protocol.Process)) {
	for _, member := range m.view.Members {
		if member.State != protocol.StoreRetired && placement.KeyOf(member.Process) != m.self {
			call(member.Process)
		}
	}
}

package replica

import (
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the state of one store's part in the protocol, and the lease that allows it to act.

// Options configures a StateMachine. The values don't change after New.
type Options struct {
	Self protocol.Process // its Incarnation identifies the disk
	// ProcessIncarnation rises with each start of the process on the same disk. Other stores discard the promises
	// of an earlier incarnation that it had not written to its log.
	ProcessIncarnation uint64
	// ReplicationFactor is the number of disks that store each batch job: f + 1, where f disks may be lost at once.
	ReplicationFactor int
	// Retention is how long a batch job is kept, counted from its first submission by the time of day. A longer
	// Retention lets clients read results later and takes more disk space.
	Retention    time.Duration
	MinFreeBytes int64 // a batch job is accepted only if Environment.FreeBytes less its size exceeds this
	MaxJobs      int   // maximum number of stored batch jobs, 0 for no limit
}

// StateMachine is one store's part in the replication of batch jobs. Its methods must not be called
// concurrently.
type StateMachine struct {
	options Options
	env     Environment
	self    placement.Key

	// The newest view, and the lease that allows this store to act in it.
	view       protocol.StoreView
	isMember   bool          // this store is in the view
	retiring   bool          // this store's member state isn't active: it hands its batch jobs over
	leaseUntil time.Duration // by Environment.Now

	// Reconciliation in the present epoch.
	inventoryRound         uint64 // inventories of an earlier round are ignored
	reconciled             bool   // all inventories have been received, and owners are known
	unowned                int    // number of batch jobs that no member may own until departed stores have returned
	inventoriesRequestedAt time.Duration
	inventories            map[placement.Key]InventoryResponse
	incarnations           map[placement.Key]uint64     // newest process incarnation seen of each store
	transfers              map[string]ownershipTransfer // batch jobs that this store would own, and transferred to others
	reconciledEpoch        uint64                       // newest epoch in which this store had reconciled

	jobs        map[string]*storedJob
	jobsInOrder []*storedJob             // the values of jobs, in the order in which they were first stored
	owners      map[string]placement.Key // owners of batch jobs that this store doesn't own

	reservations map[string]reservation // this store's votes as an arbiter in the present epoch, by batch job
	lastAttempt  uint64                 // number of the latest attempt to accept a batch job
	acceptances  map[string]*acceptance
	claims       claims
	lookups      map[string]*lookup
	lastLookup   uint64
	parkedCalls  []parkedCall

	pendingWrites []pendingWrite
	slowUntil     map[placement.Key]time.Duration // time until which a slow store is not chosen as a replica
	departures    departureSet
	lastExpiry    time.Duration

	findings      int  // number of findings (unusable records and unreadable parts) in the replayed log
	incompleteLog bool // because of findings, this store may lack batch jobs that it can't name
	findingPlaces accountedFindings
	violations    Violations // since the start of the process
}

// New returns a StateMachine without batch jobs. The records of its log must be replayed (Replay) before any
// other method is called.
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

// GrantLease extends the lease, which allows this store to act as a member of the view of an epoch, until a time
// of Environment.Now. The caller counts the time from when it requested the lease. A lease for a later epoch than
// that of the view known here is ignored: this store may have been out of the set in between, and other stores
// may have taken over the batch jobs that it owned. If member is false, the lease ends at once.
func (m *StateMachine) GrantLease(epoch uint64, member bool, until time.Duration) {
	switch {
	case !member:
		m.leaseUntil = 0
	case epoch <= m.view.Epoch:
		m.leaseUntil = max(m.leaseUntil, until)
	}
}

// MayAct reports whether this store is a member with a running lease. It is checked immediately before anything
// that depends on the lease is sent.
func (m *StateMachine) MayAct() bool { return m.isMember && m.env.Now() < m.leaseUntil }

// CurrentView returns the newest view known here.
func (m *StateMachine) CurrentView() protocol.StoreView { return m.view }

// Epoch returns the epoch of the newest view known here.
func (m *StateMachine) Epoch() uint64 { return m.view.Epoch }

// ActedIn returns the epoch of the newest view that this store acted in. It includes earlier incarnations, as far
// as the log has their epochs.
func (m *StateMachine) ActedIn() uint64 { return m.departures.actedEpoch }

// eachOtherMember calls a function for each other member of the view that isn't retired, and so may hold replicas.
func (m *StateMachine) eachOtherMember(call func(protocol.Process)) {
	for _, member := range m.view.Members {
		if member.State != protocol.StoreRetired && placement.KeyOf(member.Process) != m.self {
			call(member.Process)
		}
	}
}

// Package replica owns the agreement between stores on batch jobs: which are accepted, who keeps and orders them, what
// may be shown. It is a state machine: calls, messages, durable writes, views and time come in through Machine's methods,
// and what is to be done goes out through Environment. It must never run an item.
//
// # Views
//
// The set of stores is agreed elsewhere (protocol.StoreView). A store acts only while its lease runs and only as a member
// of the newest view that it knows; a store is taken out of the set only after its lease has surely ended. Messages carry
// the epoch, and those of another one are dropped: whoever needs an answer sends again. A view names who departed since all members
// stood whole, and whether they do in its epoch; no store concludes that for itself. The epoch is on the disk, and no view below it is
// taken, also after a start.
//
// # Acceptance
//
// A batch job's id has arbiters, a pure function of id and view: two for each store that may be lost at once, and one. A store
// that wants to accept a batch job asks them for their votes; an arbiter gives its vote for an id to one store, and to another
// only once that one has given it back. Up to a majority nothing was written anywhere, and a refusal is a promise. From there
// on the store goes through with it: it writes the whole batch job to its own disk and to those of the other members of the
// replica set that it chose, and answers 202 once all have synced it. A member that is slow to do so is replaced by another,
// under a new version. An arbiter votes only once it has the inventories of all members of its epoch, pending acceptances
// included; so a batch job that was accepted, or may yet be, in an earlier epoch is known to it. An arbiter that has started
// again has forgotten its votes, and those are not counted any more. So no batch job is accepted twice.
//
// # Results
//
// The first member of the replica set owns the batch job. It lists a result at the next position on its own disk first and
// only then sends it on; a replica's list is therefore a prefix of the owner's, also after the owner has lost what it had
// not synced. A result is shown when it is on the disks of all members of the set.
//
// # Change of the set
//
// A replica set has a version, and each change raises it. After a change of the view all members exchange inventories. For
// each batch job the copies of the highest version count, and the first member of that set which is left and holds one is
// the owner; it completes the set with other active members, under a new version. All that was ever shown under a
// version is on every copy of it, so the owner's list is at least what was shown, and it becomes the list of the new set.
// Until the new set is whole nothing is shown or acknowledged. A copy of a lower version is never used again: a change of
// the set shows something only after all members of the new set hold the higher version, one of which is left as long as
// no more disks are lost at once than are allowed for. Who holds one lets it go only on the word of the owner, in the present
// epoch, that all of the newer set hold theirs.
//
// # Damage
//
// A copy of which records can't be used is no whole copy of its version, and says so. Whoever would own the batch job by
// the rule above and has no whole copy of the highest version concedes it to a store that has one. Where there is none, the
// longest sound prefix is owned: as all that was shown is on every copy, no more than what was damaged is missing from it.
// A damaged copy is replaced by the owner's. A store whose log may have held batch jobs that it can't name any more counts
// like one that left, where it is asked whether a batch job exists.
package replica

import (
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Token names a client's call until it is answered.
type CallID uint64

// Environment is what a Machine acts through. None of its methods may call the machine back.
type Environment interface {
	// Now is a steady clock.
	Now() time.Duration
	// Wall is the time of day in Unix milliseconds.
	WallClock() int64
	// Write queues a record; Machine.Written tells when it is durable. Records are written in order.
	Write(record []byte, urgent bool) (sequence uint64, at wal.Location)
	// Read gives bytes of a durable record.
	Read(at wal.Location) ([]byte, error)
	// Send sends a message to another store; it may be lost.
	Send(to protocol.Process, message any)
	// Answer ends a call.
	Answer(token CallID, answer protocol.BatchAnswer)
	// Start tells that this store is to run the batch job's items, Stop that it may not any more.
	Start(id string)
	Stop(id string)
	// Free tells how many bytes the disk still takes.
	FreeBytes() int64
	// QueueLimit tells how many tokens of a tenant may wait on a route, 0: no limit; false where the route isn't known yet.
	QueueLimit(route string) (tokens int64, known bool)
}

// Options are a machine's constants.
type Options struct {
	Self               protocol.Process
	ProcessIncarnation uint64        // differs for each start of the process
	ReplicationFactor  int           // disks that a batch job is on: one more than may be lost at once
	Retention          time.Duration // from a batch job's first send, and while it is open
	MinFreeBytes       int64         // bytes of disk that new batch jobs must leave free
	MaxJobs            int           // batch jobs held at most, 0: no limit
}

// Machine is one store's part.
type StateMachine struct {
	options Options
	env     Environment
	self    placement.Key

	view       protocol.StoreView
	isMember   bool // this store is in the view
	retiring   bool // it is to be emptied
	leaseUntil time.Duration

	inventoryRound         uint64 // of inventories
	reconciled             bool   // all inventories of the epoch are here
	unowned                int    // batch jobs that they hold and nobody owns until stores that left are back
	inventoriesRequestedAt time.Duration
	inventories            map[placement.Key]InventoryResponse
	incarnations           map[placement.Key]uint64 // newest life heard of each member

	jobs          map[string]*storedJob
	order         []*storedJob             // of jobs, in the order in which they came
	owners        map[string]placement.Key // owners of batch jobs that are not held here, or not owned
	reservations  map[string]reservation   // votes as arbiter, in this epoch
	lastAttempt   uint64                   // to accept a batch job
	claims        claims                   // of room for waiting tokens
	acceptances   map[string]*acceptance
	lookups       map[string]*lookup // of batch jobs that aren't known here, at their arbiters
	lastLookup    uint64
	parkedCalls   []parkedCall
	pendingWrites []pendingWrite

	slowUntil       map[placement.Key]time.Duration // until when stores are passed over that took long to write
	departures      departureSet
	reconciledEpoch uint64
	lastExpiry      time.Duration

	findings      int                          // records of the log that could not be used at the start
	incompleteLog bool                         // batch jobs may be missing here for them
	violations    Violations                   // of invariants, in this life
	transfers     map[string]ownershipTransfer // batch jobs that this store would own in this epoch, and gave to others
}

type pendingWrite struct {
	sequence  uint64
	queuedAt  time.Duration // it was queued
	onDurable func()
}

// New gives a machine without batch jobs. Replay its log before anything else.
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
			stores: map[placement.Key]departure{}, reconciledEpochs: map[placement.Key]uint64{}, incompleteLogs: map[placement.Key]time.Duration{},
		},
	}
}

// Grant renews the right to act as a member of the view of an epoch. The lease ends at a time of Environment.Now; it was counted from
// when it was asked for. One of a later epoch than the view known here gives none: the store may have been out of the set in between,
// and others may have taken its place.
func (m *StateMachine) GrantLease(epoch uint64, member bool, until time.Duration) {
	switch {
	case !member:
		m.leaseUntil = 0
	case epoch <= m.view.Epoch:
		m.leaseUntil = max(m.leaseUntil, until)
	}
}

// Allowed tells whether this store may act now. It is asked right before anything leaves that depends on it.
func (m *StateMachine) MayAct() bool { return m.isMember && m.env.Now() < m.leaseUntil }

// Epoch gives the epoch of the newest view known here.
func (m *StateMachine) Epoch() uint64 { return m.view.Epoch }

// ActedIn gives the epoch of the newest view that this store acted in, earlier lives included, as far as its disk tells.
func (m *StateMachine) ActedIn() uint64 { return m.departures.actedEpoch }

// Written tells that all records up to a number are durable.
func (m *StateMachine) Synced(sequence uint64) {
	for len(m.pendingWrites) > 0 && m.pendingWrites[0].sequence <= sequence {
		then := m.pendingWrites[0].onDurable
		m.pendingWrites[0].onDurable = nil
		m.pendingWrites = m.pendingWrites[1:]
		then()
	}
	if len(m.pendingWrites) == 0 {
		m.pendingWrites = nil
	}
}

func (m *StateMachine) write(record []byte, urgent bool, then func()) wal.Location {
	sequence, at := m.env.Write(record, urgent)
	m.pendingWrites = append(m.pendingWrites, pendingWrite{sequence: sequence, queuedAt: m.env.Now(), onDurable: then})
	return at
}

// keep holds a batch job, in place of an earlier copy.
func (m *StateMachine) putJob(j *storedJob) {
	if old := m.jobs[j.id]; old != nil {
		m.order[slices.Index(m.order, old)] = j
	} else {
		m.order = append(m.order, j)
	}
	m.jobs[j.id] = j
}

// drop forgets a batch job.
func (m *StateMachine) removeJob(id string) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	delete(m.jobs, id)
	m.order = slices.DeleteFunc(m.order, func(other *storedJob) bool { return other == j })
}

func (m *StateMachine) stamp() Stamp {
	return Stamp{Epoch: m.view.Epoch, Life: m.options.ProcessIncarnation}
}

// others calls a function for each other member of the view that may hold something.
func (m *StateMachine) eachOtherMember(call func(protocol.Process)) {
	for _, member := range m.view.Members {
		if member.State != protocol.StoreRetired && placement.KeyOf(member.Process) != m.self {
			call(member.Process)
		}
	}
}

// Message takes a message of another store.
func (m *StateMachine) Receive(from protocol.Process, message any) {
	stamp, known := stampOf(message)
	key := placement.KeyOf(from)
	if !known || stamp.Epoch != m.view.Epoch || !m.isMember {
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

// hears notes a sender's life. A new one has forgotten what it granted and knows nothing of what was asked: all
// inventories are exchanged again. It tells whether the message is of a life that is over.
func (m *StateMachine) noteIncarnation(key placement.Key, life uint64) (stale bool) {
	last, heard := m.incarnations[key]
	if heard && life < last {
		return true
	}
	m.incarnations[key] = life
	if heard && life > last {
		delete(m.departures.reconciledEpochs, key) // it has to choose sets anew
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

// learn notes who owns a batch job that is not owned here.
func (m *StateMachine) noteOwner(id string, owner placement.Key) {
	if j := m.jobs[id]; j != nil && j.owned {
		return
	}
	if _, present := placement.MemberOf(m.view, owner); present && owner != m.self {
		m.owners[id] = owner
		delete(m.lookups, id)
		if c, conceded := m.transfers[id]; conceded { // until it stands whole there
			c.to = owner
			m.transfers[id] = c
		}
	}
}

// Job tells what a runner needs of a batch job that this store owns.
type Job struct {
	ID, Tenant, Route string
	FirstSent         int64 // Unix milliseconds
	Items             []JobItem
}

// JobItem is an item that isn't listed yet.
type JobItem struct {
	Index int
	At    wal.Location // of its encoding, see job.DecodeItem
	Progress
}

// Work gives a batch job's items that are not listed, where this store may run them.
func (m *StateMachine) Work(id string) (Job, bool) {
	j := m.jobs[id]
	if j == nil || !j.owned || j.ended {
		return Job{}, false
	}
	work := Job{ID: j.id, Tenant: j.tenant, Route: j.route, FirstSent: j.firstSent}
	for i := range j.items {
		if !j.items[i].finished {
			work.Items = append(work.Items, JobItem{Index: i, At: j.itemLocation(i), Progress: j.progressOfItem(i)})
		}
	}
	return work, true
}

func (j *storedJob) progressOfItem(index int) Progress {
	if known, started := j.progress[index]; started {
		return known
	}
	return Progress{Last: -1}
}

func (j *storedJob) itemLocation(index int) wal.Location {
	return j.contentAt.Part(j.items[index].span.Offset, j.items[index].span.Length)
}

// MayRun tells whether an item may go to a server now. It is asked right before its first byte.
func (m *StateMachine) MayRun(id string, index int) bool {
	j := m.jobs[id]
	return m.MayAct() && j != nil && j.owned && j.replicated && !j.ended && len(j.handoverReplicas) == 0 && !j.items[index].finished
}

// Finish lists what became of an item. It tells whether it was taken; where it wasn't, ask again unless the batch job was
// stopped.
func (m *StateMachine) Finish(id string, index int, state job.State, text []byte) bool {
	j := m.jobs[id]
	if j == nil || !j.owned || !j.replicated || j.ended || !m.isMember {
		return false
	}
	if j.items[index].finished {
		return true
	}
	result := &Result{Item: index, State: byte(state), Text: text}
	position := len(j.results)
	record := encodeResult(id, position, result)
	at := m.write(record, false, func() {
		j.durableResults = max(j.durableResults, position+1)
		m.replicateJob(j)
		m.maybeCommit(j)
	})
	j.appendResult(storedResult{item: int32(index), state: state, at: at.Part(uint32(len(record)-len(text)), uint32(len(text)))})
	if j.uncommitted == nil {
		j.uncommitted = map[int]*Result{}
	}
	j.uncommitted[position] = result
	return true
}

// Members gives the newest view known here.
func (m *StateMachine) CurrentView() protocol.StoreView { return m.view }

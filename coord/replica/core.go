package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// envelope is an outgoing message.
type envelope struct {
	to   view.Member // empty Incarnation: any process at the address
	body any
}

// coreOptions configure a core.
type coreOptions struct {
	self         view.Member
	hasDisk      bool // false: the node is always a learner
	tolerance    int  // number of disks that may be lost at once
	limits       limits
	seeds        []string // coordination addresses to query while no member of the view is reachable
	stateMachine chain.StateMachine
	random       *rand.Rand // draws backoffs and a learner's first upstream
	incarnation  uint64     // of the process, drawn at its start; view.Member.Incarnation is that of the disk

	logEvent      func(event string, fields ...any) // may be nil
	onApply       func(entry chain.Entry, outcome chain.Outcome, repeated bool)
	onViewAdopted func(view.View)
}

// core is the pure state machine of a node: its inputs are messages and time, its outputs records and messages.
// It uses no goroutines, sockets, disks or clocks. For each batch of inputs, its driver
//
//  1. calls step, tick, submit, read or leave for each input,
//  2. makes the records returned by takeRecords durable,
//  3. calls persisted, and
//  4. sends the messages returned by takeMessages.
//
// The order is a safety requirement: an acknowledgement, a prepare response or an accept response is a
// statement about durable state, and is sent only after the records that it depends on are durable. If step 2
// fails, the driver discards the messages. Once the disk accepts writes again, it calls reopened with the
// contents of the disk.
type core struct {
	coreOptions
	acceptor     view.Acceptor
	log          *chain.Log
	state        *chain.State
	syncedEpoch  uint64        // highest epoch in which the log had the complete prefix: (I) in coord/view
	commitIndex  uint64        // last command known to be on all disks of a chain
	durableIndex uint64        // last command on this member's disk; durableIndex <= log.LastIndex()
	now          time.Duration // time of the current input, on the driver's clock

	records       [][]byte   // queued until the driver calls takeRecords
	checkpointDue bool       // the next write is a checkpoint instead of records
	messages      []envelope // queued until the records are durable

	replication replicationState
	proposer    proposerState
	requests    pendingRequests
	learner     learnerState
	learners    map[string]*learnerProgress // learners that poll this chain member, by member ID

	peers            map[string]*peer // by member ID: all voters, and candidates
	heartbeats       heartbeatRounds
	epochConfirmedAt time.Duration // no successor of this epoch was decided before; never: unproven
	staleness        stalenessProof
	leaseNotBefore   time.Duration // this member, as the head, doesn't hold the leader lease before this moment

	lastTick      time.Duration
	lastHeartbeat time.Duration
	lastViewQuery time.Duration
	viewQueries   int // sent so far; selects the next address

	leaving    bool
	onDeparted func() // called when this member has left the chain and the others know; see checkDeparture
	departedAt time.Duration
}

// newCore returns the core of a starting process. recovered is the state found on its disk, nil for an empty
// disk or none. genesis is the first view if this start founds the system; it is ignored if recovered isn't nil.
func newCore(options coreOptions, recovered *recoveredState, genesis *view.View, now time.Duration) (*core, error) {
	c := &core{
		coreOptions:    options,
		log:            chain.NewLog(0, 0, nil),
		state:          chain.NewState(options.stateMachine, options.limits.deduplicationWindow),
		requests:       pendingRequests{proposals: make(map[string]*pendingProposal)},
		learners:       make(map[string]*learnerProgress),
		peers:          make(map[string]*peer),
		now:            now,
		lastTick:       now,
		lastHeartbeat:  now - heartbeatInterval,
		lastViewQuery:  now - time.Second,
		leaseNotBefore: now + newLeaderDelay,
	}
	if c.logEvent == nil {
		c.logEvent = func(string, ...any) {}
	}
	c.learner = newLearnerState(c.random)
	c.acceptor.Self = options.self
	if recovered != nil {
		c.self = recovered.self
		c.acceptor.Self = recovered.self
		if recovered.snapshot != nil {
			if err := c.state.Restore(*recovered.snapshot); err != nil {
				return nil, err
			}
		}
		c.loadRecovered(recovered)
	} else if genesis != nil {
		c.acceptor.DurableState = view.DurableState{View: *genesis}
		if genesis.InChain(c.self) {
			c.syncedEpoch = genesis.Epoch
		}
	}
	c.checkpointDue = recovered == nil
	c.resetFailureDetector()
	c.enterView()
	return c, nil
}

// loadRecovered sets the durable state of the core, except for the state machine, to the state recovered from the
// disk.
func (c *core) loadRecovered(recovered *recoveredState) {
	c.acceptor.DurableState = recovered.durable
	c.syncedEpoch = recovered.synced
	c.log = recovered.log
	c.commitIndex, _ = c.state.Applied()
	c.durableIndex = c.log.LastIndex()
}

// view returns the newest decided view that this node knows.
func (c *core) view() view.View { return c.acceptor.View }

// epoch returns the epoch of the current view, 0 if no view is known yet.
func (c *core) epoch() uint64 { return c.acceptor.View.Epoch }

// isVoter reports whether this member votes on the next view.
func (c *core) isVoter() bool { return c.hasDisk && c.acceptor.View.IsVoter(c.self) }

// inChain reports whether this member belongs to the current chain.
func (c *core) inChain() bool { return c.hasDisk && c.acceptor.View.InChain(c.self) }

// serving reports whether this member may append, forward and acknowledge commands in its epoch: it is in the
// chain, has the complete prefix, and isn't wedged. A wedged member's log must not change, because its
// prepare response has described it.
func (c *core) serving() bool {
	return c.inChain() && c.syncedEpoch == c.epoch() && !c.acceptor.Wedged()
}

// toleratesFailures reports whether the chain is long enough to commit. A command that is only on the disks of a
// shorter chain could be lost through the loss of tolerance disks.
func (c *core) toleratesFailures() bool { return len(c.acceptor.View.Chain) > c.tolerance }

// send queues a message until the records queued before it are durable. Messages to this process itself and to
// an empty address are dropped.
func (c *core) send(to view.Member, body any) {
	if to.Address == c.self.Address || to.Address == "" {
		return
	}
	c.messages = append(c.messages, envelope{to: to, body: body})
}

// record queues a record for the disk.
func (c *core) record(kind byte, value any) {
	if c.hasDisk {
		c.records = append(c.records, encodeRecord(kind, value))
	}
}

// takeRecords returns the records that must be durable before persisted is called. If snapshot isn't nil, there
// are no records, and the driver replaces the whole contents of the disk by the snapshot.
//
// Before that, takeRecords handles the proposals to be sent again, the deferred commands and the read indexes
// that this batch of inputs may have unblocked, so that their records share the batch's sync.
func (c *core) takeRecords() (records [][]byte, snapshot []byte) {
	if c.requests.resendDue {
		c.retryRequests()
	}
	c.retryDeferred()
	c.requestReadIndexes()
	records, c.records = c.records, nil
	if c.checkpointDue && c.hasDisk {
		c.checkpointDue = false
		return nil, c.checkpoint()
	}
	return records, nil
}

// takeMessages returns the messages to send now that all records are durable.
func (c *core) takeMessages() []envelope {
	messages := c.messages
	c.messages = nil
	return messages
}

// step handles a message from a member.
func (c *core) step(now time.Duration, from view.Member, body any) {
	c.now = now
	switch m := body.(type) {
	case ViewQuery:
		if m.Epoch < c.epoch() {
			c.sendView(from)
		}
	case Heartbeat:
		c.onHeartbeat(from, m)
	case view.Prepare:
		c.onPrepare(from, m)
	case view.Accept:
		c.onAccept(from, m)
	case view.PrepareResponse:
		c.onPrepareResponse(m)
	case view.AcceptResponse:
		c.onAcceptResponse(m)
	case view.Reject:
		c.onReject(m)
	case view.Decided:
		c.adoptView(m.View)
	case Append:
		c.onAppend(from, m)
	case Ack:
		c.onAck(from, m)
	case AckRequest:
		if m.Epoch == c.epoch() {
			c.replication.ackDue = true
		}
	case PrefixRequest:
		c.onPrefixRequest(from, m)
	case PrefixTransfer:
		c.onPrefixTransfer(from, m)
	case Forward:
		c.onForward(from, m)
	case LearnerPoll:
		c.onLearnerPoll(from, m)
	case LearnerUpdate:
		c.onLearnerUpdate(from, m)
	case ReadIndexRequest:
		c.onReadIndexRequest(from, m)
	case ReadIndexReply:
		c.onReadIndexReply(m)
	}
}

// reopened resets the core to the contents of the disk after the disk refused a write. The state that wasn't
// written is unknown to other members, because the driver discarded the messages.
func (c *core) reopened(now time.Duration, recovered *recoveredState) {
	c.now = now
	c.loadRecovered(recovered)
	c.records, c.messages, c.checkpointDue = nil, nil, false
	c.proposer.abandon(now, 0)
	c.lastTick = now
	c.resetFailureDetector()
	c.enterView()
}

// wasPaused reports whether this process has just resumed after a pause and hasn't ticked since: the messages
// that it receives may be as old as the pause was long.
func (c *core) wasPaused() bool { return c.now-c.lastTick > processPauseThreshold }

// tick performs the periodic work and the time-outs that are due. The driver calls it every tickInterval.
func (c *core) tick(now time.Duration) {
	c.now = now
	if c.wasPaused() {
		c.logEvent("process_paused", "for", now-c.lastTick)
		c.resetFailureDetector()
		c.proposer.abandon(now, 0)
		c.proposer.reasonSince = 0
	}
	c.lastTick = now
	// Ticks jitter: without this tolerance, a tick that is slightly early would delay the round by a whole tick.
	if now-c.lastHeartbeat >= heartbeatInterval-tickInterval/4 {
		c.lastHeartbeat = now
		c.sendHeartbeats(false)
		c.retransmit()
	}
	c.discoverView()
	c.considerReconfiguration()
	c.pollIfDue()
	c.retryRequests()
	c.checkDeparture()
}

// persisted handles the completion of a write. The driver calls it once all records that it took are durable.
func (c *core) persisted(now time.Duration) {
	c.now = now
	c.durableIndex = c.log.LastIndex()
	c.advanceReplication()
	c.completeReads()
	c.pushLearnerUpdates()
}

// invariant panics if a condition that the protocol guarantees doesn't hold, because continuing could lose
// acknowledged commands.
func (c *core) invariant(holds bool, format string, arguments ...any) {
	if !holds {
		panic(fmt.Sprintf("replica %s: ", c.self.ID()) + fmt.Sprintf(format, arguments...))
	}
}

package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// Times of the protocol, all on the steady clock.
const (
	tickInterval          = 100 * time.Millisecond // how often a carrier calls tick
	heartbeatInterval     = 200 * time.Millisecond
	suspicionTimeout      = 700 * time.Millisecond  // a member not heard for this long is suspected
	echoTimeout           = 1000 * time.Millisecond // nor one that hasn't heard this member
	processPauseThreshold = 400 * time.Millisecond  // a gap between ticks that means: this process stood still
	replacementTimeout    = 2 * time.Second         // a voter silent for this long may be replaced by a spare
	retransmitInterval    = 300 * time.Millisecond  // of fetches and forwarded orders
	viewQueryInterval     = 500 * time.Millisecond  // between questions of a node that hears nobody of its view
	learnerPollInterval   = 250 * time.Millisecond  // of nodes outside of the chain
	proposalTimeout       = 600 * time.Millisecond  // an attempt on a view that takes longer is given up
	prepareGracePeriod    = 100 * time.Millisecond  // for the promises beyond a majority
	proposerStagger       = 200 * time.Millisecond  // between possible proposers
	rejoinDelay           = 150 * time.Millisecond  // a member must be heard this long before it is let in
	wedgedTimeout         = 400 * time.Millisecond  // a wedged member without a decision proposes
	leaderLeaseDuration   = 800 * time.Millisecond  // after the last proof of its epoch a head leads
	newLeaderDelay        = 1000 * time.Millisecond // after the decision on its view a head waits
)

// Sizes of messages and of the log kept in memory for others.
const (
	defaultBatchBytes       = 256 << 10
	defaultRetainedLogBytes = 256 << 10
	defaultMaxUncommitted   = 8192
	checkpointLogBytes      = 1 << 20
)

// limits bound what a core keeps and sends at once. All members of a system have the same.
type limits struct {
	batchBytes          int // orders in one message
	retainedLogBytes    int // bytes of applied orders that the log keeps for others
	maxUncommitted      int // orders
	deduplicationWindow int // outcomes of the last orders
}

var defaultLimits = limits{
	batchBytes:          defaultBatchBytes,
	retainedLogBytes:    defaultRetainedLogBytes,
	maxUncommitted:      defaultMaxUncommitted,
	deduplicationWindow: chain.DeduplicationWindow,
}

// envelope is a message on its way out.
type envelope struct {
	to   view.Member // without an incarnation: whoever is at the address
	body any
}

// coreOptions are what a core needs to know.
type coreOptions struct {
	self          view.Member
	hasDisk       bool
	tolerance     int
	limits        limits
	seeds         []string
	stateMachine  chain.StateMachine
	random        *rand.Rand
	incarnation   uint64
	report        func(event string, fields ...any)
	onApply       func(entry chain.Entry, outcome chain.Outcome, repeated bool)
	onViewAdopted func(view.View)
}

// core is the pure state machine of a node: messages and time go in, records and messages come
// out. Its carrier makes the records durable first, then calls persisted, then sends the messages.
type core struct {
	coreOptions
	acceptor     view.Acceptor
	log          *chain.Log
	state        *chain.State
	syncedEpoch  uint64 // highest epoch in which the log was whole
	commitIndex  uint64 // last order known to be on all disks of a chain
	durableIndex uint64 // last order on the own disk
	now          time.Duration

	records       [][]byte
	checkpointDue bool // the whole state is to be written instead of records
	messages      []envelope

	replication replicationState
	peers       map[string]*peer
	proposer    proposerState
	staleness   stalenessProof
	requests    pendingRequests
	learner     learnerState

	lastTick      time.Duration
	lastHeartbeat time.Duration
	lastViewQuery time.Duration
	viewQueries   int
	leaving       bool
	onDeparted    func() // called once this member is out of the chain and the others know
	departedAt    time.Duration
	lease         leaderLease
}

// newCore starts a member from what its disk held (nil: nothing, or no disk).
func newCore(options coreOptions, found *recoveredState, genesis *view.View, now time.Duration) (*core, error) {
	c := &core{
		coreOptions:   options,
		log:           chain.NewLog(0, 0, nil),
		state:         chain.NewState(options.stateMachine, options.limits.deduplicationWindow),
		peers:         make(map[string]*peer),
		now:           now,
		lastTick:      now,
		lastHeartbeat: now - heartbeatInterval,
		lastViewQuery: now - time.Second,
	}
	if c.report == nil {
		c.report = func(string, ...any) {}
	}
	c.acceptor.Self = options.self
	c.requests.init()
	c.learner.init(c)
	c.lease.notBefore = now + newLeaderDelay
	if found != nil {
		c.acceptor.Self = found.self
		c.self = found.self
		c.acceptor.DurableState = found.durable
		c.syncedEpoch = found.synced
		c.log = found.log
		if found.image != nil {
			if err := c.state.Restore(*found.image); err != nil {
				return nil, err
			}
		}
		c.commitIndex, _ = c.state.Applied()
		c.durableIndex = c.log.LastIndex()
	} else if genesis != nil {
		c.acceptor.DurableState = view.DurableState{View: *genesis}
		if genesis.InChain(c.self) {
			c.syncedEpoch = genesis.Epoch
		}
	}
	c.checkpointDue = found == nil
	c.resetFailureDetector()
	c.enterView()
	return c, nil
}

func (c *core) view() view.View { return c.acceptor.View }

func (c *core) epoch() uint64 { return c.acceptor.View.Epoch }

func (c *core) isVoter() bool { return c.hasDisk && c.acceptor.View.IsVoter(c.self) }

func (c *core) inChain() bool { return c.hasDisk && c.acceptor.View.InChain(c.self) }

// serving reports whether the member may order, forward and acknowledge in its epoch.
func (c *core) serving() bool {
	return c.inChain() && c.syncedEpoch == c.epoch() && !c.acceptor.Wedged()
}

// enough reports whether the chain may acknowledge: fewer members than this couldn't bear the losses.
func (c *core) toleratesFailures() bool { return len(c.acceptor.View.Chain) > c.tolerance }

func (c *core) send(to view.Member, body any) {
	if to.Address == c.self.Address || to.Address == "" {
		return
	}
	c.messages = append(c.messages, envelope{to: to, body: body})
}

func (c *core) record(kind byte, value any) {
	if c.hasDisk {
		c.records = append(c.records, encodeRecord(kind, value))
	}
}

// takeRecords returns what must be durable before persisted is called. When whole is set, the
// carrier writes the snapshot in place of all that the disk held.
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

// takeMessages returns what is to be sent now that all records are durable.
func (c *core) takeMessages() []envelope {
	messages := c.messages
	c.messages = nil
	return messages
}

// step takes in a message.
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
		c.onPromise(m)
	case view.AcceptResponse:
		c.onAccepted(m)
	case view.Reject:
		c.onRefused(m)
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

// reopened goes back to what the disk holds, after it refused to take what this member decided.
// Nothing of that has left the member.
func (c *core) reopened(now time.Duration, found *recoveredState) {
	c.now = now
	c.acceptor.DurableState = found.durable
	c.syncedEpoch = found.synced
	c.log = found.log
	c.commitIndex, _ = c.state.Applied()
	c.durableIndex = c.log.LastIndex()
	c.records, c.messages, c.checkpointDue = nil, nil, false
	c.proposer.abandon(now, 0)
	c.lastTick = now
	c.resetFailureDetector()
	c.enterView()
}

// stoodStill reports whether this process did nothing for long, and hasn't ticked since.
func (c *core) wasPaused() bool { return c.now-c.lastTick > processPauseThreshold }

// tick is called every tickInterval.
func (c *core) tick(now time.Duration) {
	c.now = now
	if c.wasPaused() {
		c.logEvent("stood still", "for", now-c.lastTick)
		c.resetFailureDetector()
		c.proposer.abandon(now, 0)
		c.proposer.reasonSince = 0
	}
	c.lastTick = now
	if now-c.lastHeartbeat >= heartbeatInterval-tickInterval/4 {
		c.lastHeartbeat = now
		c.sendHeartbeats(false)
		c.retransmit()
	}
	c.discoverView()
	c.considerReconfiguration()
	c.pollTick()
	c.retryRequests()
	c.checkDeparture()
}

// persisted is called once all records taken are durable.
func (c *core) persisted(now time.Duration) {
	c.now = now
	c.durableIndex = c.log.LastIndex()
	c.advanceReplication()
	c.completeReads()
	c.pushLearnerUpdates()
}

// checkpoint returns the whole durable state, and forgets what the log needn't hold any more.
func (c *core) checkpoint() []byte {
	c.compactLog()
	baseIndex, baseEpoch := c.log.Base()
	return encodeGob(checkpoint{
		Self:      c.self,
		Durable:   c.acceptor.DurableState,
		Synced:    c.syncedEpoch,
		BaseIndex: baseIndex,
		BaseEpoch: baseEpoch,
		Image:     c.diskSnapshot(),
		Entries:   c.log.After(baseIndex, int(^uint(0)>>1)),
	})
}

// compactable reports whether the machine's state stands inside of the log that the disk holds.
func (c *core) compactable() bool {
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	return applied >= base && applied <= c.log.LastIndex()
}

// diskImage is the machine as the checkpoint holds it. A member that follows a chain from outside
// has applied more than its own log holds; only orders of its log may be left out of it.
func (c *core) diskSnapshot() chain.Snapshot { return c.state.Snapshot() }

func (c *core) compactLog() {
	if !c.compactable() {
		return
	}
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	kept := 0
	index := applied
	for index > base {
		entry := c.log.Entry(index)
		kept += len(entry.Order) + len(entry.ID)
		if kept > c.limits.retainedLogBytes {
			break
		}
		index--
	}
	c.log.Compact(index)
}

func (c *core) logEvent(event string, fields ...any) { c.report(event, fields...) }

func (c *core) invariant(holds bool, format string, arguments ...any) {
	if !holds {
		panic(fmt.Sprintf("replica %s: ", c.self.ID()) + fmt.Sprintf(format, arguments...))
	}
}

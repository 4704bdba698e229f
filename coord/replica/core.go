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
	tickInterval      = 100 * time.Millisecond // how often a carrier calls tick
	heartbeatInterval = 200 * time.Millisecond
	silenceLimit      = 700 * time.Millisecond  // a member not heard for this long is suspected
	echoLimit         = 1000 * time.Millisecond // nor one that hasn't heard this member
	thawGap           = 400 * time.Millisecond  // a gap between ticks that means: this process stood still
	absenceLimit      = 2 * time.Second         // a voter silent for this long may be replaced by a spare
	retryInterval     = 300 * time.Millisecond  // of fetches and forwarded orders
	helloInterval     = 500 * time.Millisecond  // between questions of a node that hears nobody of its view
	pollInterval      = 250 * time.Millisecond  // of nodes outside of the chain
	proposalLimit     = 600 * time.Millisecond  // an attempt on a view that takes longer is given up
	promiseWait       = 100 * time.Millisecond  // for the promises beyond a majority
	rankDelay         = 200 * time.Millisecond  // between possible proposers
	returnSettle      = 150 * time.Millisecond  // a member must be heard this long before it is let in
	wedgeLimit        = 400 * time.Millisecond  // a wedged member without a decision proposes
	leadTerm          = 800 * time.Millisecond  // after the last proof of its epoch a head leads
	leadDelay         = 1000 * time.Millisecond // after the decision on its view a head waits
)

// Sizes of messages and of the log kept in memory for others.
const (
	batchBytes      = 256 << 10
	keptLogBytes    = 256 << 10
	maxUncommitted  = 8192
	compactLogBytes = 1 << 20
)

// limits bound what a core keeps and sends at once. All members of a system have the same.
type limits struct {
	batchBytes  int // orders in one message
	keptLog     int // bytes of applied orders that the log keeps for others
	uncommitted int // orders
	remembered  int // outcomes of the last orders
}

var usualLimits = limits{
	batchBytes:  batchBytes,
	keptLog:     keptLogBytes,
	uncommitted: maxUncommitted,
	remembered:  chain.RememberedRequests,
}

// envelope is a message on its way out.
type envelope struct {
	to   view.Member // without an incarnation: whoever is at the address
	body any
}

// coreOptions are what a core needs to know.
type coreOptions struct {
	self      view.Member
	disk      bool
	tolerance int
	limits    limits
	seeds     []string
	machine   chain.Machine
	random    *rand.Rand
	life      uint64
	report    func(event string, fields ...any)
	onApply   func(entry chain.Entry, outcome chain.Outcome, repeated bool)
	onView    func(view.View)
}

// core is the pure state machine of a node: messages and time go in, records and messages come
// out. Its carrier makes the records durable first, then calls persisted, then sends the messages.
type core struct {
	coreOptions
	acceptor  view.Acceptor
	log       *chain.Log
	state     *chain.State
	synced    uint64 // highest epoch in which the log was whole
	commit    uint64 // last order known to be on all disks of a chain
	durableTo uint64 // last order on the own disk
	now       time.Duration

	records  [][]byte
	rewrite  bool // the whole state is to be written instead of records
	messages []envelope

	link  chainLink
	peers map[string]*peer
	agree agreementState
	fresh freshness
	work  clientWork
	feed  follower

	lastTick   time.Duration
	lastBeat   time.Duration
	lastHello  time.Duration
	helloRound int
	leaving    bool
	onLeft     func() // called once this member is out of the chain and the others know
	leftAt     time.Duration
	lead       leadState
}

// newCore starts a member from what its disk held (nil: nothing, or no disk).
func newCore(options coreOptions, found *recovered, genesis *view.View, now time.Duration) (*core, error) {
	c := &core{
		coreOptions: options,
		log:         chain.NewLog(0, 0, nil),
		state:       chain.NewState(options.machine, options.limits.remembered),
		peers:       make(map[string]*peer),
		now:         now,
		lastTick:    now,
		lastBeat:    now - heartbeatInterval,
		lastHello:   now - time.Second,
	}
	if c.report == nil {
		c.report = func(string, ...any) {}
	}
	c.acceptor.Self = options.self
	c.work.init()
	c.feed.init(c)
	c.lead.since = now + leadDelay
	if found != nil {
		c.acceptor.Self = found.self
		c.self = found.self
		c.acceptor.DurableState = found.durable
		c.synced = found.synced
		c.log = found.log
		if found.image != nil {
			if err := c.state.Restore(*found.image); err != nil {
				return nil, err
			}
		}
		c.commit, _ = c.state.Applied()
		c.durableTo = c.log.End()
	} else if genesis != nil {
		c.acceptor.DurableState = view.DurableState{View: *genesis}
		if genesis.InChain(c.self) {
			c.synced = genesis.Epoch
		}
	}
	c.rewrite = found == nil
	c.resetPeers()
	c.enterView()
	return c, nil
}

func (c *core) view() view.View { return c.acceptor.View }

func (c *core) epoch() uint64 { return c.acceptor.View.Epoch }

func (c *core) isVoter() bool { return c.disk && c.acceptor.View.IsVoter(c.self) }

func (c *core) inChain() bool { return c.disk && c.acceptor.View.InChain(c.self) }

// serving reports whether the member may order, forward and acknowledge in its epoch.
func (c *core) serving() bool {
	return c.inChain() && c.synced == c.epoch() && !c.acceptor.Wedged()
}

// enough reports whether the chain may acknowledge: fewer members than this couldn't bear the losses.
func (c *core) enough() bool { return len(c.acceptor.View.Chain) > c.tolerance }

func (c *core) send(to view.Member, body any) {
	if to.Address == c.self.Address || to.Address == "" {
		return
	}
	c.messages = append(c.messages, envelope{to: to, body: body})
}

func (c *core) record(kind byte, value any) {
	if c.disk {
		c.records = append(c.records, encodeRecord(kind, value))
	}
}

// takeRecords returns what must be durable before persisted is called. When whole is set, the
// carrier writes the snapshot in place of all that the disk held.
func (c *core) takeRecords() (records [][]byte, whole []byte) {
	if c.work.resend {
		c.workTick()
	}
	c.releaseHeld()
	c.askForReads()
	records, c.records = c.records, nil
	if c.rewrite && c.disk {
		c.rewrite = false
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
	case Hello:
		if m.Epoch < c.epoch() {
			c.tellView(from)
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
		c.adopt(m.View)
	case Append:
		c.onAppend(from, m)
	case Ack:
		c.onAck(from, m)
	case Resume:
		if m.Epoch == c.epoch() {
			c.link.ackDue = true
		}
	case Fetch:
		c.onFetch(from, m)
	case Copy:
		c.onCopy(from, m)
	case Forward:
		c.onForward(from, m)
	case Poll:
		c.onPoll(from, m)
	case Feed:
		c.onFeed(from, m)
	case ReadRequest:
		c.onReadRequest(from, m)
	case ReadReply:
		c.onReadReply(m)
	}
}

// reopened goes back to what the disk holds, after it refused to take what this member decided.
// Nothing of that has left the member.
func (c *core) reopened(now time.Duration, found *recovered) {
	c.now = now
	c.acceptor.DurableState = found.durable
	c.synced = found.synced
	c.log = found.log
	c.commit, _ = c.state.Applied()
	c.durableTo = c.log.End()
	c.records, c.messages, c.rewrite = nil, nil, false
	c.agree.abandon(now, 0)
	c.lastTick = now
	c.resetPeers()
	c.enterView()
}

// stoodStill reports whether this process did nothing for long, and hasn't ticked since.
func (c *core) stoodStill() bool { return c.now-c.lastTick > thawGap }

// tick is called every tickInterval.
func (c *core) tick(now time.Duration) {
	c.now = now
	if c.stoodStill() {
		c.logEvent("stood still", "for", now-c.lastTick)
		c.resetPeers()
		c.agree.abandon(now, 0)
		c.agree.needSince = 0
	}
	c.lastTick = now
	if now-c.lastBeat >= heartbeatInterval-tickInterval/4 {
		c.lastBeat = now
		c.beat(false)
		c.linkBeat()
	}
	c.discover()
	c.considerView()
	c.followTick()
	c.workTick()
	c.checkLeft()
}

// persisted is called once all records taken are durable.
func (c *core) persisted(now time.Duration) {
	c.now = now
	c.durableTo = c.log.End()
	c.advanceChain()
	c.completeReads()
	c.pushFeeds()
}

// checkpoint returns the whole durable state, and forgets what the log needn't hold any more.
func (c *core) checkpoint() []byte {
	c.compactLog()
	baseIndex, baseEpoch := c.log.Base()
	return encodeGob(checkpoint{
		Self:      c.self,
		Durable:   c.acceptor.DurableState,
		Synced:    c.synced,
		BaseIndex: baseIndex,
		BaseEpoch: baseEpoch,
		Image:     c.diskImage(),
		Entries:   c.log.After(baseIndex, int(^uint(0)>>1)),
	})
}

// compactable reports whether the machine's state stands inside of the log that the disk holds.
func (c *core) compactable() bool {
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	return applied >= base && applied <= c.log.End()
}

// diskImage is the machine as the checkpoint holds it. A member that follows a chain from outside
// has applied more than its own log holds; only orders of its log may be left out of it.
func (c *core) diskImage() chain.Image { return c.state.Image() }

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
		if kept > c.limits.keptLog {
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

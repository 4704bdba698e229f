package replica

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains a model of one batch job's replica set: real state machines, whose steps have a fixed order. A
// step delivers a message or, if there is none, syncs a disk or, if no disk has unsynced records, lets time pass. The
// model has no randomness: a run is determined by its faults and the steps before which they are injected.

const (
	modelRound     = 300 * time.Millisecond
	modelLease     = 2 * modelRound
	modelTimeout   = 3 * modelRound // time without contact after which control evicts a store whose lease has ended
	modelJob       = "j"
	modelItems     = 2
	modelMaxSteps  = 5000
	modelMaxRounds = 80 // maximum number of rounds after the last fault
)

// modelBugs are the bugs that tests inject to show that the model detects them.
type modelBugs struct {
	keepsIncarnation bool // a store whose disk was lost returns as if it hadn't been away
	earlyDurable     bool // records count as durable when they are written
	underReplicated  bool // a batch job is on only as many disks as may be lost
	earlyReplicated  bool // replicas count as complete before they are
	emptyInventories bool // inventories list no batch jobs
	retireEarly      bool // a store counts as drained as soon as it retires
	endlessLease     bool // the lease of a store that was paused doesn't end
	keepsVersion     bool // an owner that was away continues under the version that it had
}

// modelMessage is a message that hasn't been delivered yet.
type modelMessage struct {
	from protocol.Process
	to   placement.Key
	body any
}

// modelCluster is one run of the model.
type modelCluster struct {
	bugs              modelBugs
	replicationFactor int
	now               time.Duration
	stores            []*modelStore
	view              protocol.StoreView
	messages          []modelMessage
	steps             int
	rounds            int  // number of rounds since the last fault
	allowedLosses     int  // number of disks that may be lost now
	clientStarted     bool // the client takes steps
	client            modelClient
	failure           string
	events            []string
}

// modelStore is a store with its disk.
type modelStore struct {
	model              *modelCluster
	node               string
	incarnation        int
	processIncarnation uint64
	machine            *StateMachine
	disk               [][]byte
	durable            int // number of records that remain after a loss of power
	base               int // number of records at the start of the process
	up, paused         bool
	removed            bool          // removed permanently
	startAt            time.Duration // when the process starts again, while it is down
	resumeAt           time.Duration
	lastContact        time.Duration
	wipedAt            time.Duration // when the store lost its last disk
	leaseUntil         time.Duration
	delayedInputs      []func()
	answers            map[CallID]func(protocol.BatchAnswer)
	lastCall           CallID
	shown              int // number of results that were read from this incarnation
	audited            int // number of records from which audit was read
	audit              *diskCopy
}

// diskCopy is the durable copy of the batch job on a disk.
type diskCopy struct {
	version Version
	results []string // items and texts by position
	ended   bool
}

func newModelCluster(count, copies int, bugs modelBugs) *modelCluster {
	sim := &modelCluster{bugs: bugs, replicationFactor: copies}
	sim.client.prepare()
	for range count {
		sim.add()
	}
	return sim
}

func (sim *modelCluster) fail(format string, values ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf("step %d at %v: ", sim.steps, sim.now) + fmt.Sprintf(format, values...)
	}
}

func (sim *modelCluster) note(format string, values ...any) {
	sim.events = append(sim.events, fmt.Sprintf("%4d %6v ", sim.steps, sim.now)+fmt.Sprintf(format, values...))
}

func (sim *modelCluster) add() {
	s := &modelStore{model: sim, node: "s" + strconv.Itoa(len(sim.stores)+1), incarnation: 1}
	sim.stores = append(sim.stores, s)
	s.start()
}

func (s *modelStore) process() protocol.Process {
	return protocol.Process{Node: s.node, IP: s.node, Zone: "z-" + s.node, Incarnation: strconv.Itoa(s.incarnation)}
}

func (s *modelStore) key() placement.Key { return placement.KeyOf(s.process()) }

func (s *modelStore) start() {
	s.processIncarnation++
	s.up, s.paused, s.delayedInputs, s.shown = true, false, nil, 0
	s.lastContact = s.model.now
	s.base, s.durable = len(s.disk), len(s.disk)
	s.answers = map[CallID]func(protocol.BatchAnswer){}
	copies := s.model.replicationFactor
	if s.model.bugs.underReplicated {
		copies--
	}
	s.machine = New(Options{
		Self: s.process(), ProcessIncarnation: s.processIncarnation, ReplicationFactor: copies, Retention: time.Hour,
	}, s)
	for i, record := range s.disk {
		if err := s.machine.Replay(wal.Location{Segment: uint32(i), Length: uint32(len(record))}, record); err != nil {
			s.model.fail("%s finds its log unreadable: %v", s.node, err)
		}
	}
}

// stop ends the process for a duration. If keep is set, unsynced records stay, as when only the process is killed.
func (s *modelStore) stop(keep bool, down time.Duration) {
	if !s.up {
		return
	}
	s.up = false
	s.startAt = s.model.now + down
	if !keep {
		s.disk = s.disk[:s.durable]
	}
	s.durable = len(s.disk)
}

// wipe ends the process and loses its disk. The process starts again on an empty disk.
func (s *modelStore) wipe(down time.Duration) {
	s.stop(false, down)
	s.wipedAt = s.model.now
	s.disk, s.durable, s.audited, s.audit = nil, 0, 0, nil
	if s.model.bugs.keepsIncarnation {
		s.processIncarnation--
		return
	}
	s.incarnation++
}

// do handles an input: at once if the process runs, when it resumes if it is paused, or never if it is down.
func (s *modelStore) do(input func()) {
	switch {
	case !s.up:
	case s.paused:
		s.delayedInputs = append(s.delayedInputs, input)
	default:
		input()
	}
}

// resume continues a paused process, with the inputs that arrived during the pause.
func (s *modelStore) resume() {
	s.paused = false
	inputs := s.delayedInputs
	s.delayedInputs = nil
	for _, input := range inputs {
		s.do(input)
	}
}

// The state machine's environment.

func (s *modelStore) Now() time.Duration              { return s.model.now }
func (s *modelStore) WallClock() int64                { return s.model.now.Milliseconds() }
func (s *modelStore) QueueLimit(string) (int64, bool) { return 0, true }

// ItemLifetime returns no limit.
func (s *modelStore) ItemLifetime(string) (time.Duration, bool) { return 0, true }

func (s *modelStore) FreeBytes() int64 { return 1 << 40 }
func (s *modelStore) Start(string)     {}
func (s *modelStore) Stop(string)      {}

func (s *modelStore) Write(record []byte, _ bool) (uint64, wal.Location) {
	s.disk = append(s.disk, record)
	index := len(s.disk) - 1
	return uint64(index + 1 - s.base), wal.Location{Segment: uint32(index), Length: uint32(len(record))}
}

func (s *modelStore) Read(at wal.Location) ([]byte, error) {
	return s.disk[at.Segment][at.Offset : at.Offset+at.Length], nil
}

func (s *modelStore) Send(to protocol.Process, message any) {
	s.model.messages = append(s.model.messages, modelMessage{from: s.process(), to: placement.KeyOf(to), body: message})
}

func (s *modelStore) Answer(callID CallID, answer protocol.BatchAnswer) {
	answered := s.answers[callID]
	delete(s.answers, callID)
	if answered == nil {
		return
	}
	if answer.Status != 503 && answer.Owner == "" && !s.machine.MayAct() {
		return // as the server does immediately before it sends an answer
	}
	answered(answer)
}

func (s *modelStore) call(call protocol.BatchCall, items []job.Item, done func(protocol.BatchAnswer)) {
	s.do(func() {
		s.lastCall++
		s.answers[s.lastCall] = done
		s.machine.Call(s.lastCall, call, items)
	})
}

// sync makes all written records durable.
func (s *modelStore) sync() {
	s.durable = len(s.disk)
	s.machine.Synced(uint64(s.durable - s.base))
}

func (s *modelStore) unsynced() bool { return s.up && !s.paused && s.durable < len(s.disk) }

// step delivers the next message or, if there is none, syncs a disk or, if that isn't needed, lets a round pass. Then
// it checks all stores.
func (sim *modelCluster) step() {
	sim.steps++
	if sim.steps > modelMaxSteps {
		sim.fail("steps without end")
	}
	if len(sim.messages) > 0 {
		message := sim.messages[0]
		sim.messages = sim.messages[1:]
		sim.deliver(message)
	} else if at := slices.IndexFunc(sim.stores, (*modelStore).unsynced); at >= 0 {
		sim.stores[at].sync()
	} else {
		sim.round()
	}
	if sim.bugs.earlyDurable {
		for _, s := range sim.stores {
			if s.up && !s.paused && len(s.machine.pendingWrites) > 0 {
				s.machine.Synced(uint64(len(s.disk) - s.base))
			}
		}
	}
	sim.check()
}

// deliver delivers a message to the store whose disk has the key, if there still is one.
func (sim *modelCluster) deliver(message modelMessage) {
	at := slices.IndexFunc(sim.stores, func(s *modelStore) bool { return s.key() == message.to })
	if at < 0 {
		return
	}
	s := sim.stores[at]
	body := message.body
	switch body := message.body.(type) {
	case ReplicationResponse:
		if sim.bugs.earlyReplicated {
			body.Held, body.Count, body.Ended = true, modelItems, true
			message.body = body
		}
	case InventoryResponse:
		if sim.bugs.emptyInventories {
			body.Entries = nil
			message.body = body
		}
	}
	body = message.body
	s.do(func() { s.machine.Receive(message.from, body) })
}

// round lets time pass: processes start, control updates the view, leases are renewed, state machines tick, and the
// client takes a step.
func (sim *modelCluster) round() {
	sim.rounds++
	sim.now += modelRound
	for _, s := range sim.stores {
		switch {
		case s.removed:
		case !s.up && sim.now >= s.startAt:
			s.start()
		case s.up && s.paused && sim.now >= s.resumeAt:
			s.resume()
			continue // the store gets the view and a lease in the next round
		}
		if s.up && !s.paused {
			s.lastContact = sim.now
		}
	}
	sim.runControl()
	for _, s := range sim.stores {
		if !s.up || s.paused {
			continue
		}
		if s.lastContact < sim.now {
			s.machine.Tick()
			continue
		}
		_, member := placement.MemberOf(sim.view, s.key())
		s.machine.InstallView(sim.view)
		if sim.bugs.keepsVersion {
			s.machine.departures.memberSince = 1
		}
		if member {
			s.leaseUntil = sim.now + modelLease
		}
		until := s.leaseUntil
		if sim.bugs.endlessLease {
			until += time.Hour
		}
		s.machine.GrantLease(sim.view.Epoch, member, until)
		s.machine.Tick()
	}
	if sim.clientStarted {
		sim.client.step(sim)
	}
}

// runControl changes the view as control does, with at most one change of the members in a round.
func (sim *modelCluster) runControl() {
	members := slices.Clone(sim.view.Members)
	for i := range members {
		s := sim.byNode(members[i].Node)
		switch {
		case sim.now-s.lastContactOf(members[i].Process) >= modelTimeout && sim.now >= s.leaseUntil:
			sim.changeMembers(slices.Delete(members, i, i+1), "evicts "+s.node)
			return
		case members[i].State == protocol.StoreRetired && !s.removed:
			sim.changeMembers(slices.Delete(members, i, i+1), "removes "+s.node)
			s.wipe(0)
			s.removed = true
			return
		case members[i].State == protocol.StoreRetiring && sim.isDrained(s):
			members[i].State = protocol.StoreRetired
			sim.changeMembers(members, "agrees that "+s.node+" is drained")
			return
		}
	}
	if !sim.view.Settled && sim.allReconciled() {
		sim.view.Settled, sim.view.Departed = true, nil
	}
	for _, s := range sim.stores {
		if _, member := placement.MemberOf(sim.view, s.key()); member || !s.up || s.paused || s.removed {
			continue
		}
		members = slices.DeleteFunc(members, func(m protocol.StoreMember) bool { return m.Node == s.node })
		sim.changeMembers(append(members, protocol.StoreMember{Process: s.process()}), "admits "+s.node)
		return
	}
}

// allReconciled reports whether all members have reported that they reconciled, as control requires.
func (sim *modelCluster) allReconciled() bool {
	for _, member := range sim.view.Members {
		s := sim.storeOf(placement.KeyOf(member.Process))
		switch {
		case member.State == protocol.StoreRetired:
		case s == nil || !s.up || s.paused:
			return false
		default:
			report := s.machine.Report()
			if report.Settled != sim.view.Epoch || report.Missing >= sim.replicationFactor {
				return false
			}
		}
	}
	return len(sim.view.Members) > 0
}

func (sim *modelCluster) byNode(node string) *modelStore {
	return sim.stores[slices.IndexFunc(sim.stores, func(s *modelStore) bool { return s.node == node })]
}

// lastContactOf returns when an incarnation of the store's disk was last in contact.
func (s *modelStore) lastContactOf(process protocol.Process) time.Duration {
	if process != s.process() || s.removed {
		return s.wipedAt
	}
	return s.lastContact
}

func (sim *modelCluster) isDrained(s *modelStore) bool {
	if sim.bugs.retireEarly {
		return true
	}
	report := s.machine.Report()
	return s.up && !s.paused && report.DrainedDown && report.Epoch == sim.view.Epoch
}

func (sim *modelCluster) changeMembers(members []protocol.StoreMember, why string) {
	before := sim.view
	sim.view = protocol.StoreView{Epoch: before.Epoch + 1, Members: members}
	sim.view.Departed = departedAfter(before, sim.view)
	sim.note("control %s: epoch %d", why, sim.view.Epoch)
}

func (sim *modelCluster) storeOf(key placement.Key) *modelStore {
	for _, s := range sim.stores {
		if s.key() == key {
			return s
		}
	}
	return nil
}

// toleratesLoss reports whether the next loss of as many disks as may be lost has to be tolerated: all members of the
// newest view are up, enough of them are active, and control has agreed that they have reconciled in that view.
func (sim *modelCluster) toleratesLoss() bool {
	active := 0
	for _, member := range sim.view.Members {
		s := sim.storeOf(placement.KeyOf(member.Process))
		if s == nil || !s.up || s.paused || !sim.view.Settled {
			return false
		}
		if member.State == protocol.StoreActive {
			active++
		}
	}
	return active >= sim.replicationFactor
}

// modelClient submits the batch job, runs its items, reads and ends it.
type modelClient struct {
	submission []byte
	items      []job.Item
	accepted   bool
	seen       []string // results that were shown, by position
	ended      bool
	textCount  int
	stepCount  int
}

// prepare prepares the submission.
func (c *modelClient) prepare() {
	var requests []submittedRequest
	for i := range modelItems {
		requests = append(requests, submittedRequest{ID: "i" + strconv.Itoa(i), Path: "/p", Body: []byte{'b'}})
	}
	c.submission, c.items = encodeSubmission(requests)
}

// step takes the next step of the client: it submits the batch job, finishes an item, or ends the batch job.
func (c *modelClient) step(sim *modelCluster) {
	c.stepCount++
	switch {
	case !c.accepted:
		c.call(sim, protocol.BatchCall{Operation: protocol.BatchSubmit, Body: c.submission}, func(answer protocol.BatchAnswer) {
			c.accepted = c.accepted || answer.Status == 202
		})
	case len(c.seen) < modelItems:
		c.run(sim)
	case !c.ended:
		c.call(sim, protocol.BatchCall{Operation: protocol.BatchEnd}, func(answer protocol.BatchAnswer) {
			c.ended = c.ended || answer.Status == 200
		})
	}
}

// call sends a call to a store, a different one in each step, and then to the owner that it names.
func (c *modelClient) call(sim *modelCluster, call protocol.BatchCall, done func(protocol.BatchAnswer)) {
	call.BatchJob, call.Tenant, call.Route = modelJob, "t", "r"
	s := sim.stores[c.stepCount%len(sim.stores)]
	s.call(call, c.items, func(answer protocol.BatchAnswer) {
		if answer.Owner == "" {
			done(answer)
			return
		}
		for _, other := range sim.stores {
			if other.node == answer.Owner {
				other.call(call, c.items, done)
			}
		}
	})
}

// run finishes the next item at every store that may run it, each time with a different text.
func (c *modelClient) run(sim *modelCluster) {
	for _, s := range sim.stores {
		for index := range modelItems {
			if s.up && !s.paused && index <= len(c.seen) && s.machine.MayRun(modelJob, index) {
				c.textCount++
				s.machine.Finish(modelJob, index, job.Completed, fmt.Appendf(nil, "text %d", c.textCount))
				break
			}
		}
	}
}

// done reports whether the end has been acknowledged, and no store has yet to be drained.
func (sim *modelCluster) done() bool {
	return sim.client.ended && !slices.ContainsFunc(sim.view.Members, func(m protocol.StoreMember) bool {
		return m.State != protocol.StoreActive
	})
}

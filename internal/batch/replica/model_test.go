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

// A model of one batch job's replica set: real state machines, and a fixed order of steps. A step delivers a message,
// syncs a disk, or, if there is neither, lets time pass. There is no randomness in it: a run is determined by its
// faults and the steps before which they are injected.

const (
	modelRound     = 300 * time.Millisecond
	modelLease     = 2 * modelRound
	modelTimeout   = 3 * modelRound // after which control evicts a store whose lease is over
	modelJob       = "j"
	modelItems     = 2
	modelMaxSteps  = 5000
	modelMaxRounds = 80 // after the last fault, in which the run must end
)

// modelBugs are injected by tests that show that the model finds them.
type modelBugs struct {
	keepsIncarnation bool // a store whose disk was lost comes back as if it hadn't been away
	earlyDurable     bool // records count as durable when they are written
	fewCopies        bool // a batch job is on as many disks as may be lost
	earlyReplicated  bool // replicas count as complete before they are
	emptyInventories bool // inventories list nothing
	retireEarly      bool // a store counts as drained once it is asked to be
	endlessLease     bool // a store that was paused never finds its lease ended
	keepsVersion     bool // an owner that was away goes on under the version that it had
}

// modelMessage is a message on its way.
type modelMessage struct {
	from protocol.Process
	to   placement.Key
	body any
}

// modelCluster is one run.
type modelCluster struct {
	bugs          modelBugs
	copies        int
	now           time.Duration
	stores        []*modelStore
	view          protocol.StoreView
	messages      []modelMessage
	steps         int
	rounds        int  // since the last fault
	allowedLosses int  // disks that may be lost now
	begun         bool // the client has begun
	client        modelClient
	failure       string
	events        []string
}

// modelStore is a store with its disk.
type modelStore struct {
	model              *modelCluster
	node               string
	incarnation        int
	processIncarnation uint64
	machine            *StateMachine
	disk               [][]byte
	durable            int // records that a loss of power leaves
	base               int // records at the start of the process
	up, paused         bool
	removed            bool          // for good
	startAt            time.Duration // if it is down
	resumeAt           time.Duration
	lastContact        time.Duration
	wipedAt            time.Duration // it lost its last disk
	leaseUntil         time.Duration
	delayedInputs      []func()
	answers            map[CallID]func(protocol.BatchAnswer)
	tokens             CallID
	shown              int // results that were read from this incarnation
	audited            int // records that audit was read from
	audit              *diskCopy
}

// diskCopy is what is durable of the batch job on a disk.
type diskCopy struct {
	version Version
	results []string // by position: item and text
	ended   bool
}

func newModelCluster(count, copies int, bugs modelBugs) *modelCluster {
	w := &modelCluster{bugs: bugs, copies: copies}
	w.client.begin()
	for range count {
		w.add()
	}
	return w
}

func (w *modelCluster) fail(format string, values ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("step %d at %v: ", w.steps, w.now) + fmt.Sprintf(format, values...)
	}
}

func (w *modelCluster) note(format string, values ...any) {
	w.events = append(w.events, fmt.Sprintf("%4d %6v ", w.steps, w.now)+fmt.Sprintf(format, values...))
}

func (w *modelCluster) add() {
	s := &modelStore{model: w, node: "s" + strconv.Itoa(len(w.stores)+1), incarnation: 1}
	w.stores = append(w.stores, s)
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
	copies := s.model.copies
	if s.model.bugs.fewCopies {
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

// stop ends the process; what wasn't synced may stay, as when only the process is killed.
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

// do handles an input now, when the process resumes, or never.
func (s *modelStore) do(input func()) {
	switch {
	case !s.up:
	case s.paused:
		s.delayedInputs = append(s.delayedInputs, input)
	default:
		input()
	}
}

func (s *modelStore) resume() {
	s.paused = false
	inbox := s.delayedInputs
	s.delayedInputs = nil
	for _, input := range inbox {
		s.do(input)
	}
}

// The state machine's environment.

func (s *modelStore) Now() time.Duration              { return s.model.now }
func (s *modelStore) WallClock() int64                { return s.model.now.Milliseconds() }
func (s *modelStore) QueueLimit(string) (int64, bool) { return 0, true }

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

func (s *modelStore) Answer(token CallID, answer protocol.BatchAnswer) {
	answered := s.answers[token]
	delete(s.answers, token)
	if answered == nil {
		return
	}
	if answer.Status != 503 && answer.Owner == "" && !s.machine.MayAct() {
		return // as the server does right before an answer leaves
	}
	answered(answer)
}

func (s *modelStore) call(call protocol.BatchCall, items []job.Item, done func(protocol.BatchAnswer)) {
	s.do(func() {
		s.tokens++
		s.answers[s.tokens] = done
		s.machine.Call(s.tokens, call, items)
	})
}

// sync makes all that was written durable.
func (s *modelStore) sync() {
	s.durable = len(s.disk)
	s.machine.Synced(uint64(s.durable - s.base))
}

func (s *modelStore) unsynced() bool { return s.up && !s.paused && s.durable < len(s.disk) }

// step does the next thing.
func (w *modelCluster) step() {
	w.steps++
	if w.steps > modelMaxSteps {
		w.fail("steps without end")
	}
	if len(w.messages) > 0 {
		message := w.messages[0]
		w.messages = w.messages[1:]
		w.deliver(message)
	} else if at := slices.IndexFunc(w.stores, (*modelStore).unsynced); at >= 0 {
		w.stores[at].sync()
	} else {
		w.round()
	}
	if w.bugs.earlyDurable {
		for _, s := range w.stores {
			if s.up && !s.paused && len(s.machine.pendingWrites) > 0 {
				s.machine.Synced(uint64(len(s.disk) - s.base))
			}
		}
	}
	w.check()
}

func (w *modelCluster) deliver(message modelMessage) {
	at := slices.IndexFunc(w.stores, func(s *modelStore) bool { return s.key() == message.to })
	if at < 0 {
		return
	}
	s := w.stores[at]
	body := message.body
	switch body := message.body.(type) {
	case ReplicationResponse:
		if w.bugs.earlyReplicated {
			body.Held, body.Count, body.Ended = true, modelItems, true
			message.body = body
		}
	case InventoryResponse:
		if w.bugs.emptyInventories {
			body.Entries = nil
			message.body = body
		}
	}
	body = message.body
	s.do(func() { s.machine.Receive(message.from, body) })
}

// round lets time pass: processes start, control looks at who is there, leases are renewed, state machines tick, and
// the client goes on.
func (w *modelCluster) round() {
	w.rounds++
	w.now += modelRound
	for _, s := range w.stores {
		switch {
		case s.removed:
		case !s.up && w.now >= s.startAt:
			s.start()
		case s.up && s.paused && w.now >= s.resumeAt:
			s.resume()
			continue // it gets the view and a lease in the next round
		}
		if s.up && !s.paused {
			s.lastContact = w.now
		}
	}
	w.runControl()
	for _, s := range w.stores {
		if !s.up || s.paused {
			continue
		}
		if s.lastContact < w.now {
			s.machine.Tick()
			continue
		}
		_, member := placement.MemberOf(w.view, s.key())
		s.machine.InstallView(w.view)
		if w.bugs.keepsVersion {
			s.machine.departures.memberSince = 1
		}
		if member {
			s.leaseUntil = w.now + modelLease
		}
		until := s.leaseUntil
		if w.bugs.endlessLease {
			until += time.Hour
		}
		s.machine.GrantLease(w.view.Epoch, member, until)
		s.machine.Tick()
	}
	if w.begun {
		w.client.step(w)
	}
}

// runControl changes the view, one change a round, as control does.
func (w *modelCluster) runControl() {
	members := slices.Clone(w.view.Members)
	for i := range members {
		s := w.byNode(members[i].Node)
		switch {
		case w.now-s.lastContactOf(members[i].Process) >= modelTimeout && w.now >= s.leaseUntil:
			w.changeMembers(slices.Delete(members, i, i+1), "evicts "+s.node)
			return
		case members[i].State == protocol.StoreRetired && !s.removed:
			w.changeMembers(slices.Delete(members, i, i+1), "takes "+s.node+" away")
			s.wipe(0)
			s.removed = true
			return
		case members[i].State == protocol.StoreRetiring && w.isDrained(s):
			members[i].State = protocol.StoreRetired
			w.changeMembers(members, "notes that "+s.node+" is drained")
			return
		}
	}
	if !w.view.Settled && w.allReconciled() {
		w.view.Settled, w.view.Departed = true, nil
	}
	for _, s := range w.stores {
		if _, member := placement.MemberOf(w.view, s.key()); member || !s.up || s.paused || s.removed {
			continue
		}
		members = slices.DeleteFunc(members, func(m protocol.StoreMember) bool { return m.Node == s.node })
		w.changeMembers(append(members, protocol.StoreMember{Process: s.process()}), "lets "+s.node+" in")
		return
	}
}

// allReconciled reports whether all members have told that they reconciled, as control asks.
func (w *modelCluster) allReconciled() bool {
	for _, member := range w.view.Members {
		s := w.storeOf(placement.KeyOf(member.Process))
		switch {
		case member.State == protocol.StoreRetired:
		case s == nil || !s.up || s.paused:
			return false
		default:
			report := s.machine.Report()
			if report.Settled != w.view.Epoch || report.Missing >= w.copies {
				return false
			}
		}
	}
	return len(w.view.Members) > 0
}

func (w *modelCluster) byNode(node string) *modelStore {
	return w.stores[slices.IndexFunc(w.stores, func(s *modelStore) bool { return s.node == node })]
}

// lastContactOf returns when an incarnation of the store's disk was last in contact.
func (s *modelStore) lastContactOf(process protocol.Process) time.Duration {
	if process != s.process() || s.removed {
		return s.wipedAt
	}
	return s.lastContact
}

func (w *modelCluster) isDrained(s *modelStore) bool {
	if w.bugs.retireEarly {
		return true
	}
	report := s.machine.Report()
	return s.up && !s.paused && report.DrainedDown && report.Epoch == w.view.Epoch
}

func (w *modelCluster) changeMembers(members []protocol.StoreMember, why string) {
	before := w.view
	w.view = protocol.StoreView{Epoch: before.Epoch + 1, Members: members}
	w.view.Departed = departedAfter(before, w.view)
	w.note("control %s: epoch %d", why, w.view.Epoch)
}

func (w *modelCluster) storeOf(key placement.Key) *modelStore {
	for _, s := range w.stores {
		if s.key() == key {
			return s
		}
	}
	return nil
}

// toleratesLoss reports whether the next loss of as many disks as may be lost has to be tolerated: all members of the
// newest view are up, enough of them active, and control has agreed that they have reconciled in that view.
func (w *modelCluster) toleratesLoss() bool {
	active := 0
	for _, member := range w.view.Members {
		s := w.storeOf(placement.KeyOf(member.Process))
		if s == nil || !s.up || s.paused || !w.view.Settled {
			return false
		}
		if member.State == protocol.StoreActive {
			active++
		}
	}
	return active >= w.copies
}

// modelClient submits the batch job, runs its items, reads and ends it.
type modelClient struct {
	submission []byte
	items      []job.Item
	accepted   bool
	seen       []string // by position
	ended      bool
	texts      int
	stepCount  int
}

// begin makes the submission.
func (c *modelClient) begin() {
	var requests []submittedRequest
	for i := range modelItems {
		requests = append(requests, submittedRequest{ID: "i" + strconv.Itoa(i), Path: "/p", Body: []byte{'b'}})
	}
	c.submission, c.items = encodeSubmission(requests)
}

// step takes the next step of the client: one item a round, on every store that may run it.
func (c *modelClient) step(w *modelCluster) {
	c.stepCount++
	switch {
	case !c.accepted:
		c.call(w, protocol.BatchCall{Operation: protocol.BatchSubmit, Body: c.submission}, func(answer protocol.BatchAnswer) {
			c.accepted = c.accepted || answer.Status == 202
		})
	case len(c.seen) < modelItems:
		c.run(w)
	case !c.ended:
		c.call(w, protocol.BatchCall{Operation: protocol.BatchEnd}, func(answer protocol.BatchAnswer) {
			c.ended = c.ended || answer.Status == 200
		})
	}
}

// call sends a call to one store after the other, and to the owner that it names.
func (c *modelClient) call(w *modelCluster, call protocol.BatchCall, done func(protocol.BatchAnswer)) {
	call.BatchJob, call.Tenant, call.Route = modelJob, "t", "r"
	s := w.stores[c.stepCount%len(w.stores)]
	s.call(call, c.items, func(answer protocol.BatchAnswer) {
		if answer.Owner == "" {
			done(answer)
			return
		}
		for _, other := range w.stores {
			if other.node == answer.Owner {
				other.call(call, c.items, done)
			}
		}
	})
}

// run finishes the next item wherever it may run, with a text of its own.
func (c *modelClient) run(w *modelCluster) {
	for _, s := range w.stores {
		for index := range modelItems {
			if s.up && !s.paused && index <= len(c.seen) && s.machine.MayRun(modelJob, index) {
				c.texts++
				s.machine.Finish(modelJob, index, job.Completed, fmt.Appendf(nil, "text %d", c.texts))
				break
			}
		}
	}
}

// done reports whether everything has been acknowledged, and no store is yet to be drained.
func (w *modelCluster) done() bool {
	return w.client.ended && !slices.ContainsFunc(w.view.Members, func(m protocol.StoreMember) bool {
		return m.State != protocol.StoreActive
	})
}

package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/simulation"
)

// This file contains a cluster for step-by-step tests: state machines on the real log and simulated disks. The test
// decides when messages are delivered, in order, and moves the clock. Only the data that remains after a loss of power
// is random.

// cluster is a set of nodes with a view.
type cluster struct {
	itemLifetime      time.Duration // 0 for no limit
	replicationFactor int
	now               time.Duration
	epoch             uint64
	currentView       protocol.StoreView // the view that control agreed on last
	tokenLimit        int64              // limit of queued tokens, 0 for none
	nodes             []*clusterNode
	messages          []clusterMessage
	uninformed        func(*clusterNode) bool   // reports whether control sends nothing to a node; nil for no node
	drops             func(clusterMessage) bool // reports whether a message is lost; nil if none is
}

// clusterMessage is a message that hasn't been delivered yet.
type clusterMessage struct {
	from protocol.Process
	to   placement.Key
	body any
}

// clusterNode is a store.
type clusterNode struct {
	cluster            *cluster
	number             int
	incarnation        int
	processIncarnation uint64
	state              protocol.StoreState
	disk               *simulation.Disk
	log                *wal.Log // nil while the process doesn't run
	machine            *StateMachine
	findings           []*Finding
	answers            map[CallID]protocol.BatchAnswer
	lastCall           CallID
}

func newCluster(nodes, copies int, seed uint64) *cluster {
	c := &cluster{replicationFactor: copies, now: time.Second}
	for i := range nodes {
		c.nodes = append(c.nodes, &clusterNode{
			cluster: c, number: i, incarnation: 1, disk: simulation.NewDisk(simulation.NewRand(seed + uint64(i))),
		})
		c.nodes[i].start()
	}
	c.installView(c.nodes...)
	return c
}

func (n *clusterNode) process() protocol.Process {
	name := "store-" + strconv.Itoa(n.number+1)
	return protocol.Process{
		Node: name, Role: protocol.RoleBatch, Zone: "zone-" + strconv.Itoa(n.number+1), IP: name,
		Incarnation: strconv.Itoa(n.incarnation),
	}
}

func (n *clusterNode) key() placement.Key { return placement.KeyOf(n.process()) }

// start starts the process on its disk and records the findings in its log.
func (n *clusterNode) start() {
	n.processIncarnation++
	n.findings = nil
	n.answers = map[CallID]protocol.BatchAnswer{}
	n.machine = New(Options{
		Self: n.process(), ProcessIncarnation: n.processIncarnation,
		ReplicationFactor: n.cluster.replicationFactor, Retention: time.Hour,
	}, n)
	options := wal.Options{SegmentSize: 4 << 10, OnSkipped: func(at wal.Location) {
		n.findings = append(n.findings, n.machine.ReplaySkipped(at))
	}}
	log, err := wal.OpenLog(n.disk, options, func(at wal.Location, record []byte) error {
		if err := n.machine.Replay(at, record); err != nil {
			var finding *Finding
			if !errors.As(err, &finding) {
				return err
			}
			n.findings = append(n.findings, finding)
		}
		return nil
	})
	if err != nil {
		panic(err)
	}
	n.log = log
}

func (n *clusterNode) kill() {
	n.log = nil
	n.disk.Kill()
}

func (n *clusterNode) losePower() {
	n.log = nil
	n.disk.LosePower()
}

func (n *clusterNode) wipe() {
	n.log = nil
	n.disk.Wipe()
	n.incarnation++
	n.processIncarnation = 0
}

// installView makes a set of stores the newest view, and sends it to them with a lease.
func (c *cluster) installView(members ...*clusterNode) {
	c.epoch++
	view := protocol.StoreView{Epoch: c.epoch}
	for _, n := range members {
		view.Members = append(view.Members, protocol.StoreMember{Process: n.process(), State: n.state})
	}
	view.Departed = departedAfter(c.currentView, view)
	c.currentView = view
	for _, n := range members {
		c.rejoin(n)
	}
}

// departedAfter returns the departed stores of the view that follows another one, as control determines them.
func departedAfter(last, next protocol.StoreView) (departed []protocol.Process) {
	before := slices.Clone(last.Departed)
	for _, member := range last.Members {
		if member.State != protocol.StoreRetired {
			before = append(before, member.Process)
		}
	}
	for _, process := range before {
		if _, member := placement.MemberOf(next, placement.KeyOf(process)); !member {
			departed = append(departed, process)
		}
	}
	return departed
}

// noteReconciled makes control agree that all members have reconciled, once they have reported it.
func (c *cluster) noteReconciled() {
	if c.currentView.Settled {
		return
	}
	for _, member := range c.currentView.Members {
		n := c.nodes[slices.IndexFunc(c.nodes, func(n *clusterNode) bool { return n.process().Node == member.Node })]
		report := n.machine.Report()
		reported := n.log != nil && n.process() == member.Process &&
			report.Settled == c.currentView.Epoch && report.Missing < c.replicationFactor
		if !reported && member.State != protocol.StoreRetired {
			return
		}
	}
	c.currentView.Settled, c.currentView.Departed = true, nil
	for _, n := range c.nodes {
		if n.log != nil && !c.isUninformed(n) && n.machine.Epoch() == c.currentView.Epoch {
			n.machine.InstallView(c.currentView)
		}
	}
}

func (c *cluster) isUninformed(n *clusterNode) bool { return c.uninformed != nil && c.uninformed(n) }

// rejoin sends a process the newest view, and grants it a lease.
func (c *cluster) rejoin(n *clusterNode) {
	if n.log != nil && !c.isUninformed(n) {
		n.machine.InstallView(c.currentView)
		n.machine.GrantLease(c.currentView.Epoch, true, 24*time.Hour)
	}
}

// sync makes all records that a node has written durable. It reports whether there were any.
func (n *clusterNode) sync() (wrote bool) {
	if n.log == nil {
		return false
	}
	for {
		more, err := n.log.Step()
		if err != nil {
			panic(err)
		}
		if !more {
			break
		}
		wrote = true
	}
	if wrote {
		n.machine.Synced(n.log.Durable())
	}
	return wrote
}

// quiesce runs rounds until messages and writes have no further effect, and checks the invariants.
func (c *cluster) quiesce() {
	for range 12 {
		c.round()
	}
	c.deliverAll()
	c.noteReconciled()
	c.checkInvariants()
}

// round delivers all messages and writes, and then lets some time pass.
func (c *cluster) round() {
	c.deliverAll()
	c.now += 300 * time.Millisecond
	for _, n := range c.nodes {
		if n.log != nil {
			n.machine.Tick()
		}
	}
	c.noteReconciled()
}

// checkInvariants panics if an invariant was violated.
func (c *cluster) checkInvariants() {
	for _, n := range c.nodes {
		if violations := n.machine.Violations(); violations.Total() > 0 {
			panic(fmt.Sprintf("%s: %v", n.key(), violations))
		}
	}
}

// deliverAll delivers messages and syncs writes until there are none.
func (c *cluster) deliverAll() {
	for busy := true; busy; {
		busy = false
		for len(c.messages) > 0 {
			next := c.messages[0]
			c.messages = c.messages[1:]
			busy = true
			c.deliver(next)
		}
		for _, n := range c.nodes {
			busy = n.sync() || busy
		}
	}
}

func (c *cluster) deliver(message clusterMessage) {
	if c.drops != nil && c.drops(message) {
		return
	}
	for _, n := range c.nodes {
		if n.key() == message.to && n.log != nil {
			n.machine.Receive(message.from, message.body)
		}
	}
}

// The state machine's environment.

func (n *clusterNode) Now() time.Duration { return n.cluster.now }
func (n *clusterNode) WallClock() int64   { return n.cluster.now.Milliseconds() }
func (n *clusterNode) FreeBytes() int64   { return 1 << 40 }
func (n *clusterNode) Start(string)       {}

func (n *clusterNode) QueueLimit(string) (int64, bool) { return n.cluster.tokenLimit, true }

func (n *clusterNode) ItemLifetime(string) (time.Duration, bool) { return n.cluster.itemLifetime, true }

func (n *clusterNode) Stop(string) {}

func (n *clusterNode) Write(record []byte, _ bool) (uint64, wal.Location) {
	return n.log.Append(record)
}

func (n *clusterNode) Read(at wal.Location) ([]byte, error) { return n.log.Read(at) }

func (n *clusterNode) Send(to protocol.Process, message any) {
	sent := clusterMessage{from: n.process(), to: placement.KeyOf(to), body: message}
	n.cluster.messages = append(n.cluster.messages, sent)
}

func (n *clusterNode) Answer(callID CallID, answer protocol.BatchAnswer) { n.answers[callID] = answer }

// call makes a call at a node and returns its answer once the cluster is quiet.
func (n *clusterNode) call(call protocol.BatchCall, items []job.Item) protocol.BatchAnswer {
	n.lastCall++
	callID := n.lastCall
	n.machine.Call(callID, call, items)
	n.cluster.quiesce()
	return n.answers[callID]
}

// submit submits a batch job at a node.
func (n *clusterNode) submit(id string, count int) protocol.BatchAnswer {
	var items []job.Item
	for i := range count {
		items = append(items, job.Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/p", Body: []byte("body")})
	}
	return n.call(protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: id, Tenant: "t", Route: "r"}, items)
}

// read returns the texts of a batch job's results, and the status.
func (n *clusterNode) read(id string) ([]string, int) {
	answer := n.call(protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: id, Tenant: "t"}, nil)
	var read page
	_ = json.Unmarshal(answer.Body, &read)
	var texts []string
	for _, result := range read.Results {
		texts = append(texts, result.Text)
	}
	return texts, answer.Status
}

// finish finishes items with their numbers as texts.
func (n *clusterNode) finish(id string, indexes ...int) {
	for _, index := range indexes {
		if !n.machine.Finish(id, index, job.Completed, []byte(strconv.Itoa(index))) {
			panic(fmt.Sprintf("result of item %d of %s isn't accepted by %s", index, id, n.key()))
		}
	}
}

// owner returns the running node that owns a batch job; nil if there is none.
func (c *cluster) owner(id string) *clusterNode {
	index := slices.IndexFunc(c.nodes, func(n *clusterNode) bool {
		return n.log != nil && n.machine.jobs[id] != nil && n.machine.jobs[id].owned
	})
	if index < 0 {
		return nil
	}
	return c.nodes[index]
}

// replicaOf returns the first node of the batch job's replica set after the owner.
func (c *cluster) replicaOf(id string) *clusterNode {
	owner := c.owner(id)
	for _, replica := range owner.machine.jobs[id].replicas[1:] {
		for _, n := range c.nodes {
			if n.key() == placement.KeyOf(replica) {
				return n
			}
		}
	}
	return nil
}

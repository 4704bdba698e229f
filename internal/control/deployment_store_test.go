package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/gateway/subscription"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/simulation/bubble"
)

// Constants of a store, as internal/batch/server has them.
const (
	storeFrame       = 48 << 20
	storeHeartbeat   = 500 * time.Millisecond
	storeTick        = 80 * time.Millisecond
	storeLeaseMargin = 100 * time.Millisecond
	storeRelease     = 5 * time.Second
	storeAnswer      = 4 * time.Second
	storeSegment     = 8000 // bytes
	storeKeep        = time.Hour
	storeRun         = 150 * time.Millisecond // between two items that it runs
)

// deployedStore is a store machine over all incarnations of its process.
type deployedStore struct {
	deployment       *deployment
	number           int
	node, ip         string
	zone             string
	disk             *bubble.Disk
	host             *bubble.Host // of the last incarnation
	incarnation      int
	starts           uint64
	lastEpochActedIn uint64           // newest epoch that the present disk has acted in or has stored
	process          *storeProcessRun // nil: the process doesn't run
	removed          bool             // for good
}

// storeProcessRun is one incarnation of the process: the real state machine and log on a simulated disk, the
// real subscription to control and the real connections to other stores, connected as internal/batch/server
// does it.
type storeProcessRun struct {
	store        *deployedStore
	process      protocol.Process
	host         *bubble.Host
	origin       time.Time
	wal          *wal.WAL
	server       *transport.Server
	options      transport.Options
	subscription *subscription.Subscription
	random       *rand.Rand // chooses the items that run
	ended        context.Context
	end          context.CancelFunc
	wait         sync.WaitGroup

	mutex          sync.Mutex // guards the fields below
	machine        *replica.StateMachine
	waiting        map[replica.CallID]chan protocol.BatchAnswer
	lastToken      replica.CallID
	peers          map[string]*transport.Client // by IP
	jobs           map[string]bool              // whose items it is to run
	runs           int
	controlAddress string // address of the control process that was dialled last
	written        uint64 // number of the last record that was queued
	viewEpoch      uint64 // epoch of the newest view that was taken
	viewRecord     uint64 // number of its record
	closed         bool
}

// noConnections replaces the gateways' pool of connections, which a batch process doesn't have.
type noConnections struct{}

func (noConnections) Apply([]pool.Change) {}

// start starts the process on what is on the disk.
func (s *deployedStore) start() {
	w := s.deployment
	s.starts++
	s.host = w.network.StartHost(s.ip)
	ended, end := context.WithCancel(context.Background())
	l := &storeProcessRun{
		store:   s,
		host:    s.host,
		origin:  time.Now(),
		ended:   ended,
		end:     end,
		random:  rand.New(rand.NewPCG(w.seed, uint64(s.number)<<32+s.starts)),
		waiting: map[replica.CallID]chan protocol.BatchAnswer{},
		peers:   map[string]*transport.Client{},
		jobs:    map[string]bool{},
		process: protocol.Process{
			Node:        s.node,
			Role:        protocol.RoleBatch,
			Zone:        s.zone,
			IP:          s.ip,
			Incarnation: strconv.Itoa(s.incarnation),
		},
	}
	l.machine = replica.New(replica.Options{
		Self: l.process, ProcessIncarnation: s.starts, ReplicationFactor: w.tolerance + 1, Retention: storeKeep,
	}, l)
	if err := l.open(); err != nil {
		w.failf("%s doesn't start: %v", s.node, err)
		end()
		return
	}
	w.lock.Lock()
	s.process = l
	w.lock.Unlock()
	w.logf("%s starts as %s", s.node, placement.KeyOf(l.process))
	l.serve()
}

// QueueLimit sets no limit.
func (l *storeProcessRun) QueueLimit(string) (int64, bool) { return 0, true }

// ItemLifetime sets no limit.
func (l *storeProcessRun) ItemLifetime(string) (time.Duration, bool) { return 0, true }

func (l *storeProcessRun) open() error {
	var err error
	l.wal, err = wal.OpenFS(l.store.disk.Mount(), wal.Options{SegmentSize: storeSegment}, l.machine.Replay, l.durable)
	return err
}

// serve opens the port and starts all loops.
func (l *storeProcessRun) serve() {
	w, s := l.store.deployment, l.store
	settings := &node.Settings{
		NodeName:  s.node,
		Role:      "batch",
		IP:        s.ip,
		Zone:      s.zone,
		FirstPort: w.settings[0].FirstPort,
		LastPort:  w.settings[0].LastPort,
		Seeds:     w.settings[0].Seeds,
		Tolerance: node.Tolerance{Machines: w.tolerance},
	}
	l.options = transport.Options{
		Identity: transport.Identity{
			System:      protocol.System,
			Node:        s.node,
			Role:        protocol.RoleBatch,
			Zone:        s.zone,
			Address:     s.ip,
			Incarnation: l.process.Incarnation,
		},
		MaxFrame:  storeFrame,
		Heartbeat: storeHeartbeat,
		Queue:     1024,
		Dial:      l.host.Dial,
	}
	listener, err := l.host.Listen(settings.Endpoint(node.PortBatch))
	if err != nil {
		w.failf("%s doesn't listen: %v", s.node, err)
		return
	}
	l.server = transport.Serve(listener, l.options, l.handle)
	subscribing := l.options
	subscribing.Dial = l.dialControl
	l.subscription = subscription.New(subscription.Options{
		Settings:  settings,
		Process:   l.process,
		Transport: subscribing,
		Servers:   endpoints.NewRegistry(noConnections{}),
		Ready:     func() bool { return true },
		Report:    l.report,
		OnGrant:   l.granted,
		OnUpdate:  l.updated,
		Log:       zerolog.Nop(),
	})
	l.wait.Go(func() { l.subscription.Run(l.ended) })
	l.wait.Go(l.tick)
	l.wait.Go(l.run)
}

// halt ends the process at once; how ends its disk and connections.
func (s *deployedStore) halt(how func()) {
	w := s.deployment
	w.lock.Lock()
	l := s.process
	s.process = nil
	w.lock.Unlock()
	if l != nil {
		l.mutex.Lock()
		l.closed = true
		l.mutex.Unlock()
	}
	how()
	if l != nil {
		l.end()
		w.stopping.Go(l.close)
	}
}

// close waits until nothing of the process runs.
func (l *storeProcessRun) close() {
	l.mutex.Lock()
	peers := l.peers
	l.peers = nil
	l.mutex.Unlock()
	for _, peer := range peers {
		peer.Close()
	}
	if l.server != nil {
		l.server.Close()
	}
	l.wait.Wait()
	l.wal.Close()
}

// kill ends the process; what it wrote is kept.
func (s *deployedStore) kill() {
	s.halt(func() {
		s.host.Kill()
		s.disk.Kill()
	})
}

// losePower ends the process and loses what was not synced.
func (s *deployedStore) losePower() {
	s.halt(func() {
		s.host.LosePower()
		s.disk.LosePower()
	})
}

// wipe ends the process and empties its disk.
func (s *deployedStore) wipe() {
	s.halt(func() {
		s.host.LosePower()
		s.disk.Wipe()
	})
	s.incarnation++
	s.deployment.lock.Lock()
	defer s.deployment.lock.Unlock()
	s.lastEpochActedIn = 0
	s.deployment.counts.wipes++
}

// durable is called when the log has synced records.
func (l *storeProcessRun) durable(sequence uint64, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed || err != nil {
		return // the disk was lost or detached
	}
	l.machine.Synced(sequence)
	if l.viewEpoch > 0 && sequence >= l.viewRecord {
		l.markEpoch(l.viewEpoch)
	}
}

// markEpoch records the newest epoch that the disk has acted in, with the lock held.
func (l *storeProcessRun) markEpoch(epoch uint64) {
	w := l.store.deployment
	w.lock.Lock()
	defer w.lock.Unlock()
	l.store.lastEpochActedIn = max(l.store.lastEpochActedIn, epoch)
}

func (l *storeProcessRun) dialControl(ctx context.Context, address string) (net.Conn, error) {
	l.mutex.Lock()
	l.controlAddress = address
	l.mutex.Unlock()
	return l.host.Dial(ctx, address)
}

// updated processes what control has sent.
func (l *storeProcessRun) updated() {
	members := l.subscription.Members()
	if members == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return
	}
	before := l.machine.Epoch()
	l.machine.InstallView(members.Stores)
	if l.machine.Epoch() != before {
		l.checkView(before, members.Stores)
	}
}

// checkView checks a view that was taken against what this store did before.
func (l *storeProcessRun) checkView(before uint64, view protocol.StoreView) {
	w, s := l.store.deployment, l.store
	l.viewEpoch, l.viewRecord = view.Epoch, l.written
	w.lock.Lock()
	acted := s.lastEpochActedIn
	w.lock.Unlock()
	w.logf(
		"%s takes view %d of %d members from %s (before %d, its disk %d)",
		s.node,
		view.Epoch,
		len(view.Members),
		l.controlAddress,
		before,
		acted,
	)
	if view.Epoch < acted {
		w.failf(
			"%s works in view %d, sent by %s, though it has acted in %d",
			s.node,
			view.Epoch,
			l.controlAddress,
			acted,
		)
	}
	for ip, peer := range l.peers {
		if !slices.ContainsFunc(view.Members, func(one protocol.StoreMember) bool { return one.IP == ip }) {
			peer.Close()
			delete(l.peers, ip)
		}
	}
}

func (l *storeProcessRun) granted(grant protocol.StoreGrant, sent time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.machine.GrantLease(grant.Epoch, grant.Member, sent.Sub(l.origin)+grant.Lease-storeLeaseMargin)
	if !l.closed && l.machine.MayAct() {
		l.markEpoch(l.machine.Epoch())
	}
}

func (l *storeProcessRun) report() *protocol.BatchReport {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	report := l.machine.Report()
	return &report
}

func (l *storeProcessRun) tick() {
	released := time.Now()
	for l.ended.Err() == nil {
		time.Sleep(storeTick)
		l.mutex.Lock()
		if !l.closed {
			l.machine.Tick()
		}
		l.mutex.Unlock()
		if time.Since(released) > storeRelease {
			released = time.Now()
			l.release()
		}
	}
}

// release removes segments of the log that are no longer needed.
func (l *storeProcessRun) release() {
	oldest, current := l.wal.SegmentRange()
	l.mutex.Lock()
	needed := l.machine.OldestSegment(current)
	l.mutex.Unlock()
	for ; oldest < needed; oldest++ {
		if l.wal.RemoveSegment(oldest) != nil {
			return
		}
	}
}

// run runs the items of batch jobs that the store owns, one after the other.
func (l *storeProcessRun) run() {
	for l.ended.Err() == nil {
		time.Sleep(storeRun/2 + time.Duration(l.random.Int64N(int64(storeRun))))
		l.mutex.Lock()
		for id := range l.jobs {
			l.runItem(id)
		}
		l.mutex.Unlock()
	}
}

func (l *storeProcessRun) runItem(id string) {
	work, ok := l.machine.Work(id)
	if !ok || l.closed || len(work.Items) == 0 {
		return
	}
	index := work.Items[l.random.IntN(len(work.Items))].Index
	if !l.machine.MayRun(id, index) {
		return
	}
	l.runs++
	text := fmt.Sprintf(
		"item %d of %s by %s in life %d, run %d",
		index,
		id,
		placement.KeyOf(l.process),
		l.store.starts,
		l.runs,
	)
	l.machine.Finish(id, index, job.Completed, []byte(text))
}

var errStoreMessage = errors.New("a message of an unknown kind")

// handle processes other stores' messages.
func (l *storeProcessRun) handle(_ context.Context, session *transport.Session, message any) (any, error) {
	remote := session.Remote()
	if remote.Role != protocol.RoleBatch {
		return nil, errStoreMessage
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := placement.KeyOf(protocol.Process{Node: remote.Node, Incarnation: remote.Incarnation})
	if member, present := placement.MemberOf(l.machine.CurrentView(), key); present && !l.closed {
		l.machine.Receive(member.Process, message)
	}
	return nil, nil
}

// call answers a client's call. Status 0: the process ended, or the call timed out.
func (l *storeProcessRun) call(call protocol.BatchCall, items []job.Item) protocol.BatchAnswer {
	ctx, cancel := context.WithTimeout(l.ended, storeAnswer)
	defer cancel()
	answered := make(chan protocol.BatchAnswer, 1)
	l.mutex.Lock()
	if l.closed {
		l.mutex.Unlock()
		return protocol.BatchAnswer{}
	}
	l.lastToken++
	token := l.lastToken
	l.waiting[token] = answered
	l.machine.Call(token, call, items)
	l.mutex.Unlock()
	select {
	case answer := <-answered:
		return l.withLease(answer)
	case <-ctx.Done():
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.waiting, token)
	l.machine.CancelCall(token)
	return protocol.BatchAnswer{}
}

// withLease lets an answer out only while the store may still act.
func (l *storeProcessRun) withLease(answer protocol.BatchAnswer) protocol.BatchAnswer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	promise := answer.Status == 503 || answer.Status == 504 || answer.Owner != ""
	if l.closed || !promise && !l.machine.MayAct() {
		return protocol.BatchAnswer{}
	}
	return answer
}

// The machine's environment. All of it is called with the mutex held.

// Now implements replica.Environment.
func (l *storeProcessRun) Now() time.Duration { return time.Since(l.origin) }

// WallClock implements replica.Environment.
func (l *storeProcessRun) WallClock() int64 { return time.Now().UnixMilli() }

// Write implements replica.Environment.
func (l *storeProcessRun) Write(record []byte, urgent bool) (uint64, wal.Location) {
	sequence, at := l.wal.Append(record, urgent)
	l.written = sequence
	return sequence, at
}

// Read implements replica.Environment.
func (l *storeProcessRun) Read(at wal.Location) ([]byte, error) { return l.wal.Read(at) }

// FreeBytes implements replica.Environment.
func (l *storeProcessRun) FreeBytes() int64 { return 1<<30 - l.wal.Size() }

// Send implements replica.Environment.
func (l *storeProcessRun) Send(to protocol.Process, message any) {
	if l.closed || l.peers == nil {
		return
	}
	peer := l.peers[to.IP]
	if peer == nil {
		peer = transport.NewClient(
			l.store.deployment.settings[0].EndpointAt(to.IP, node.PortBatch),
			l.options,
			nil,
			nil,
		)
		l.peers[to.IP] = peer
	}
	_ = peer.Send(message) // replication sends again what matters
}

// Answer implements replica.Environment.
func (l *storeProcessRun) Answer(token replica.CallID, answer protocol.BatchAnswer) {
	if waiting := l.waiting[token]; waiting != nil {
		delete(l.waiting, token)
		waiting <- answer
	}
}

// Start implements replica.Environment.
func (l *storeProcessRun) Start(id string) { l.jobs[id] = true }

// Stop implements replica.Environment.
func (l *storeProcessRun) Stop(id string) { delete(l.jobs, id) }

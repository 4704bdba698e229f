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

// Parameters of a simulated store, which correspond to those of internal/batch/server.
const (
	storeMaxFrame        = 48 << 20
	storeHeartbeat       = 500 * time.Millisecond
	storeTickInterval    = 80 * time.Millisecond
	storeLeaseMargin     = 100 * time.Millisecond
	storeReleaseInterval = 5 * time.Second
	storeCallTimeout     = 4 * time.Second
	storeSegmentSize     = 8000 // bytes
	storeRetention       = time.Hour
	storeRunInterval     = 150 * time.Millisecond // mean time between two rounds in which a store runs items
)

// deployedStore is a store machine across all incarnations of its process.
type deployedStore struct {
	deployment       *deployment
	number           int
	node, ip         string
	zone             string
	disk             *bubble.Disk
	host             *bubble.Host // host of the last incarnation
	incarnation      int
	starts           uint64
	lastEpochActedIn uint64           // newest epoch that the current disk has acted in or has stored
	process          *storeProcessRun // nil if the process doesn't run
	removed          bool             // permanently
}

// storeProcessRun is one run of a store's process. It has the real state machine and write-ahead log on a simulated
// disk, the real subscription to control and the real connections to other stores, connected in the same way as in
// internal/batch/server.
type storeProcessRun struct {
	store        *deployedStore
	process      protocol.Process
	host         *bubble.Host
	origin       time.Time
	wal          *wal.WAL
	server       *transport.Server
	options      transport.Options
	subscription *subscription.Subscription
	random       *rand.Rand // chooses the items to run
	ctx          context.Context
	cancel       context.CancelFunc
	loops        sync.WaitGroup

	mutex          sync.Mutex // guards the fields below
	machine        *replica.StateMachine
	waiting        map[replica.CallID]chan protocol.BatchAnswer
	lastToken      replica.CallID
	peers          map[string]*transport.Client // by IP
	jobs           map[string]bool              // batch jobs whose items this store must run
	runs           int
	controlAddress string // address of the control process that was dialled last
	written        uint64 // number of the last record that was appended to the log
	viewEpoch      uint64 // epoch of the newest view that was installed
	viewRecord     uint64 // number of that view's record, the last one appended when it was installed
	closed         bool
}

// noConnections replaces the connection pool of a gateway, which a batch process doesn't have.
type noConnections struct{}

func (noConnections) Apply([]pool.Change) {}

// start starts the process with the current contents of the disk.
func (s *deployedStore) start() {
	w := s.deployment
	s.starts++
	s.host = w.network.StartHost(s.ip)
	ctx, cancel := context.WithCancel(context.Background())
	l := &storeProcessRun{
		store:   s,
		host:    s.host,
		origin:  time.Now(),
		ctx:     ctx,
		cancel:  cancel,
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
		Self: l.process, ProcessIncarnation: s.starts, ReplicationFactor: w.tolerance + 1, Retention: storeRetention,
	}, l)
	if err := l.open(); err != nil {
		w.failf("%s doesn't start: %v", s.node, err)
		cancel()
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
	l.wal, err = wal.OpenFS(l.store.disk.Mount(), wal.Options{SegmentSize: storeSegmentSize}, l.machine.Replay, l.durable)
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
		MaxFrame:  storeMaxFrame,
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
	l.loops.Go(func() { l.subscription.Run(l.ctx) })
	l.loops.Go(l.tick)
	l.loops.Go(l.run)
}

// halt stops the process at once; how stops its disk and connections.
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
		l.cancel()
		w.stopping.Go(l.close)
	}
}

// close closes the process's connections and log, and waits until its goroutines have ended.
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
	l.loops.Wait()
	l.wal.Close()
}

// kill kills the process. The disk keeps all writes.
func (s *deployedStore) kill() {
	s.halt(func() {
		s.host.Kill()
		s.disk.Kill()
	})
}

// losePower stops the process. The disk may lose writes that were not synced.
func (s *deployedStore) losePower() {
	s.halt(func() {
		s.host.LosePower()
		s.disk.LosePower()
	})
}

// wipe stops the process and empties its disk.
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

// durable is called when the log has synced all records up to sequence, or has failed.
func (l *storeProcessRun) durable(sequence uint64, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed || err != nil {
		return // the process was halted, or its disk was lost or detached
	}
	l.machine.Synced(sequence)
	if l.viewEpoch > 0 && sequence >= l.viewRecord {
		l.markEpoch(l.viewEpoch)
	}
}

// markEpoch records an epoch in which the disk has acted or which it has stored. It is called with the mutex held.
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

// updated processes an update from control: it installs the store membership.
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

// checkView checks that an installed view isn't older than an epoch in which this store has acted. It closes the
// connections to stores that aren't members.
func (l *storeProcessRun) checkView(before uint64, view protocol.StoreView) {
	w, s := l.store.deployment, l.store
	l.viewEpoch, l.viewRecord = view.Epoch, l.written
	w.lock.Lock()
	acted := s.lastEpochActedIn
	w.lock.Unlock()
	w.logf(
		"%s installs view %d of %d members from %s (previous view %d, newest epoch acted in %d)",
		s.node,
		view.Epoch,
		len(view.Members),
		l.controlAddress,
		before,
		acted,
	)
	if view.Epoch < acted {
		w.failf(
			"%s installed view %d, sent by %s, though it has acted in epoch %d",
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
	for l.ctx.Err() == nil {
		time.Sleep(storeTickInterval)
		l.mutex.Lock()
		if !l.closed {
			l.machine.Tick()
		}
		l.mutex.Unlock()
		if time.Since(released) > storeReleaseInterval {
			released = time.Now()
			l.release()
		}
	}
}

// release removes log segments that are no longer needed.
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

// run repeatedly runs one item of each batch job that the store must run.
func (l *storeProcessRun) run() {
	for l.ctx.Err() == nil {
		time.Sleep(storeRunInterval/2 + time.Duration(l.random.Int64N(int64(storeRunInterval))))
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

var errNotBatchProcess = errors.New("the sender of the message isn't a batch process")

// handle processes messages of other stores.
func (l *storeProcessRun) handle(_ context.Context, session *transport.Session, message any) (any, error) {
	remote := session.Remote()
	if remote.Role != protocol.RoleBatch {
		return nil, errNotBatchProcess
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := placement.KeyOf(protocol.Process{Node: remote.Node, Incarnation: remote.Incarnation})
	if member, present := placement.MemberOf(l.machine.CurrentView(), key); present && !l.closed {
		l.machine.Receive(member.Process, message)
	}
	return nil, nil
}

// call answers a client's call. The answer has status 0 if the process was halted, the call timed out or the
// store may no longer act.
func (l *storeProcessRun) call(call protocol.BatchCall, items []job.Item) protocol.BatchAnswer {
	ctx, cancel := context.WithTimeout(l.ctx, storeCallTimeout)
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

// withLease returns an answer only if it needs no lease or the store may still act, otherwise an empty answer. Answers
// with status 503 or 504 and redirections need no lease.
func (l *storeProcessRun) withLease(answer protocol.BatchAnswer) protocol.BatchAnswer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	needsNoLease := answer.Status == 503 || answer.Status == 504 || answer.Owner != ""
	if l.closed || !needsNoLease && !l.machine.MayAct() {
		return protocol.BatchAnswer{}
	}
	return answer
}

// The following methods implement replica.Environment. They are called with the mutex held.

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
	_ = peer.Send(message) // replication resends messages that were lost
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

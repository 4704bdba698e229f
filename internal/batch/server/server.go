// Package server assembles a batch process: its log, its part in the agreement between stores, the running of items, and
// the connections to control, to gateways and to other stores. It must never decide anything about a batch job itself.
package server

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/runner"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/gateway/subscription"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
)

const (
	maxFrameSize       = 48 << 20 // bytes of a message between stores: a whole batch job with its results
	heartbeatInterval  = 500 * time.Millisecond
	tickInterval       = 80 * time.Millisecond
	urgentTickInterval = 50 * time.Millisecond  // while a client waits for an acceptance
	leaseMargin        = 100 * time.Millisecond // for what is on its way when a lease ends
	reservedDiskShare  = 0.2                    // of the disk, which new batch jobs leave free
	releaseInterval    = 5 * time.Second        // between looks at what the log no longer needs
)

// Server is a batch process.
type Server struct {
	settings       *node.Settings
	log            zerolog.Logger
	origin         time.Time
	process        protocol.Process
	disk           *disk
	truncatedBytes int64 // bytes of the log's end that this start cut off

	mutex        sync.Mutex // of the machine and all below
	stateMachine *replica.StateMachine
	pendingCalls map[replica.CallID]chan protocol.BatchAnswer
	lastCall     replica.CallID
	peers        map[string]*transport.Client // by IP
	closed       bool

	transportOptions transport.Options
	endpoints        *endpoints.Registry
	subscription     *subscription.Subscription
	runner           *runner.Runner
	diskFailed       chan error
}

// New opens what is on the disk and assembles a server.
func New(settings *node.Settings, log zerolog.Logger) (*Server, error) {
	s := &Server{
		settings: settings, log: log,
		origin:       time.Now(),
		pendingCalls: map[replica.CallID]chan protocol.BatchAnswer{},
		peers:        map[string]*transport.Client{},
		diskFailed:   make(chan error, 1),
	}
	if err := s.openDisk(); err != nil {
		return nil, err
	}
	s.transportOptions = transport.Options{
		Identity: transport.Identity{
			System: protocol.System, Node: s.process.Node, Role: s.process.Role, Zone: s.process.Zone, Address: s.process.IP,
			Incarnation: s.process.Incarnation,
		},
		MaxFrame:  maxFrameSize,
		Heartbeat: heartbeatInterval,
		Queue:     1024,
	}
	s.endpoints = endpoints.NewRegistry(noPool{})
	s.runner = runner.New(settings.Zone, 2*settings.Bounds.SkewMax, s, s, log)
	s.subscription = subscription.New(subscription.Options{
		Settings: settings, Process: s.process, Transport: s.transportOptions, Servers: s.endpoints,
		Ready:    func() bool { return true },
		Report:   s.report,
		OnGrant:  s.onGrant,
		OnUpdate: s.onUpdate,
		Log:      log,
	})
	return s, nil
}

// openDisk reads what the disk holds of earlier lives. What can't be used is told, and stays where it is.
func (s *Server) openDisk() error {
	life, err := openIncarnation(s.settings.DataDir)
	if err != nil {
		return err
	}
	s.process = protocol.Process{
		Node: s.settings.NodeName, Role: protocol.RoleBatch, Zone: s.settings.Zone, IP: s.settings.IP, Incarnation: life.id,
	}
	capacity := int64(s.settings.Limits.DiskMB) << 20
	s.stateMachine = replica.New(replica.Options{
		Self: s.process, ProcessIncarnation: life.starts,
		ReplicationFactor: s.settings.Tolerance.Machines + 1,
		Retention:         s.settings.Bounds.Status + 2*s.settings.Bounds.SkewMax,
		MinFreeBytes:      int64(reservedDiskShare * float64(capacity)),
	}, s)
	s.disk = &disk{capacity: capacity}
	if life.unreadable {
		s.log.Error().Str("incarnation", life.id).Msg("life_unreadable")
	}
	options := wal.Options{
		OnSkipped:   func(at wal.Location) { s.logFinding(s.stateMachine.ReplaySkipped(at)) },
		OnTruncated: s.logTruncation,
	}
	s.disk.wal, err = wal.Open(s.settings.DataDir, options, s.replay, s.onDurable)
	return err
}

// replay hands a record to the machine. One that can't be used is told and keeps no other from being used.
func (s *Server) replay(at wal.Location, record []byte) error {
	var finding *replica.Finding
	if errors.As(s.stateMachine.Replay(at, record), &finding) {
		s.logFinding(finding)
	}
	return nil
}

// tell logs a part of the log that can't be used.
func (s *Server) logFinding(finding *replica.Finding) {
	s.log.Error().Str("problem", string(finding.Problem)).Uint32("segment", finding.At.Segment).Uint32("offset", finding.At.Offset).
		Uint32("length", finding.At.Length).Uint8("kind", finding.Kind).Str("batch_job", finding.Job).
		Int("position", finding.Position).Int("sound", finding.SoundResults).Msg("record_unreadable")
}

// tellCutOff logs the end of the log that isn't whole: a loss of power or a kill leaves one of what was never told, and damage to
// what was synced last looks the same.
func (s *Server) logTruncation(at wal.Location) {
	s.truncatedBytes += int64(at.Length)
	s.log.Warn().Uint32("segment", at.Segment).Uint32("offset", at.Offset).Uint32("length", at.Length).Msg("log_end_cut_off")
}

// noPool stands for the gateways' pool of connections, which a batch process doesn't have.
type noPool struct{}

func (noPool) Apply([]pool.Change) {}

// Run serves until the context ends or the disk fails.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.settings.Endpoint(node.PortBatch))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	serving := transport.Serve(listener, s.transportOptions, s.handle)
	var tasks sync.WaitGroup
	tasks.Go(func() { s.subscription.Run(ctx) })
	tasks.Go(func() { s.runner.Run(ctx) })
	tasks.Go(func() { s.runTicks(ctx) })
	s.shareLoads(ctx)
	s.log.Info().Str("incarnation", s.process.Incarnation).Msg("serving")
	select {
	case <-ctx.Done():
		err = nil
	case err = <-s.diskFailed:
	}
	cancel()
	tasks.Wait()
	serving.Close()
	s.close()
	return err
}

// shareLoads passes on what servers tell of their load. Where the port can't be had, this process knows what it hears itself.
func (s *Server) shareLoads(ctx context.Context) {
	if ablation.Off(ablation.SharedLoad) {
		return
	}
	sharing, err := serverload.Listen(s.runner.Loads(), s.process, s.settings.Port(node.PortLoad), s.subscription.Members)
	if err != nil {
		s.log.Warn().Err(err).Msg("shared_loads_off")
		return
	}
	sharing.SetBacklog(s.queuedTokens)
	go sharing.Run(ctx)
}

// queued gives the tokens that wait in the batch jobs of this store.
func (s *Server) queuedTokens() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.QueuedTokens()
}

func (s *Server) close() {
	s.mutex.Lock()
	s.closed = true
	peers := s.peers
	s.peers = nil
	s.mutex.Unlock()
	for _, peer := range peers {
		peer.Close()
	}
	s.disk.wal.Close()
}

// Reload takes other settings in: machines that may know of control.
func (s *Server) Reload(settings *node.Settings) { s.subscription.Seed(settings) }

func (s *Server) runTicks(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	released, told := time.Now(), time.Now()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		s.mutex.Lock()
		s.stateMachine.Tick()
		pressing := s.stateMachine.NeedsFastTick()
		s.mutex.Unlock()
		timer.Reset(tickInterval)
		if pressing {
			timer.Reset(urgentTickInterval)
		}
		if time.Since(released) > releaseInterval {
			released = time.Now()
			s.removeSegments()
		}
		if time.Since(told) > statsInterval {
			told = time.Now()
			s.logState()
		}
	}
}

func (s *Server) logState() {
	report, counts := s.report(), s.runner.Counts()
	waiting, running, allowed := s.runner.Load()
	findings, damaged := s.corruptionCounts()
	s.logUnreconciled()
	s.logViolations()
	s.log.Info().Int("waiting", waiting).Int("running", running).Int("allowed", allowed).Uint64("epoch", report.Epoch).Uint64("settled", report.Settled).Int("batch_jobs", report.BatchJobs).
		Int("findings", findings).Int("damaged", damaged).Int64("cut_off", s.truncatedBytes).
		Int64("free", report.FreeBytes).Int64("runs", counts.Attempts).Int64("completed", counts.Completed).
		Int64("dead_letter", counts.DeadLetter).Int64("resumed", counts.Resumed).Int64("rejected", counts.Rejected).
		Int64("cut", counts.Interrupted).Int64("failed", counts.Failed).Int64("connections", counts.Dials).Msg("state")
}

// damage counts the parts of the log that this start could not use, and the batch jobs that are still damaged for it.
func (s *Server) corruptionCounts() (findings, damaged int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.Corruption()
}

// release removes segments of the log that nothing needs any more.
func (s *Server) removeSegments() {
	oldest, current := s.disk.wal.SegmentRange()
	s.mutex.Lock()
	needed := s.stateMachine.OldestSegment(current)
	s.mutex.Unlock()
	for ; oldest < needed; oldest++ {
		if err := s.disk.wal.RemoveSegment(oldest); err != nil {
			s.log.Warn().Err(err).Msg("segment_not_released")
			return
		}
	}
}

// updated takes in what control sent.
func (s *Server) onUpdate() {
	if members := s.subscription.Members(); members != nil {
		s.mutex.Lock()
		before, acted := s.stateMachine.Epoch(), s.stateMachine.ActedIn()
		s.stateMachine.InstallView(members.Stores)
		after := s.stateMachine.Epoch()
		missing := s.stateMachine.Status().Missing
		s.mutex.Unlock()
		s.runner.SetStoreCount(len(placement.ActiveMembers(members.Stores)))
		if after != before {
			s.log.Info().Uint64("epoch", after).Uint64("acted_in", acted).Int("stores", len(members.Stores.Members)).
				Strs("missing", keyStrings(missing)).Msg("store_view")
			s.closeDepartedPeers(members.Stores)
		}
	}
	s.runner.Wake()
}

// granted renews the right to act, counted from when the poll was sent.
func (s *Server) onGrant(grant protocol.StoreGrant, sent time.Time) {
	until := sent.Sub(s.origin) + grant.Lease - leaseMargin
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stateMachine.GrantLease(grant.Epoch, grant.Member, until)
}

func (s *Server) report() *protocol.BatchReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := s.stateMachine.Report()
	return &report
}

// written is called by the log.
func (s *Server) onDurable(sequence uint64, err error) {
	if err != nil {
		s.log.Error().Err(err).Msg("log_failed")
		select {
		case s.diskFailed <- err:
		default:
		}
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stateMachine.Synced(sequence)
}

// Configuration gives the configuration in force.
func (s *Server) Configuration() *configuration.Snapshot { return s.subscription.Configuration() }

// Servers gives the servers of a service that take work.
func (s *Server) Servers(backend string) []protocol.Server {
	table := s.endpoints.Current()
	if table == nil {
		return nil
	}
	of := table.ForBackend(backend)
	list := make([]protocol.Server, len(of))
	for i := range of {
		list[i] = of[i].Server
	}
	return list
}

// Work, ReadItem, MayRun and Finish are what the runner asks.

// Work gives what is left to run of a batch job.
func (s *Server) Work(id string) (replica.Job, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.Work(id)
}

// ReadItem reads an item from the log.
func (s *Server) ReadItem(at wal.Location) (job.Item, error) {
	encoded, err := s.disk.wal.Read(at)
	if err != nil {
		return job.Item{}, err
	}
	return job.DecodeItem(encoded)
}

// ReadEvents reads events from the log.
func (s *Server) ReadEvents(at []wal.Location) ([][]byte, error) {
	events := make([][]byte, len(at))
	for i := range at {
		event, err := s.disk.wal.Read(at[i])
		if err != nil {
			return nil, err
		}
		events[i] = event
	}
	return events, nil
}

// Progress keeps events of an item that runs.
func (s *Server) Progress(id string, index int, after, last int64, events [][]byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stateMachine.SaveProgress(id, index, after, last, events)
}

// MayRun tells whether an item may go to a server now.
func (s *Server) MayRun(id string, index int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.MayRun(id, index)
}

// Finish lists what became of an item.
func (s *Server) Finish(id string, index int, state job.State, text []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.Finish(id, index, state, text)
}

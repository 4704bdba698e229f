package server

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/runner"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/gateway/subscription"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
)

// Connections between stores.
const (
	maxFrameSize      = 48 << 20 // bytes of a message; the largest is a batch job with all its results
	maxQueuedMessages = 1024     // on one connection, beyond which messages are dropped; also limits calls in progress
	heartbeatInterval = 500 * time.Millisecond
)

// Intervals of the state machine's ticks.
const (
	tickInterval       = 80 * time.Millisecond
	urgentTickInterval = 50 * time.Millisecond // while a client waits for an acceptance
)

// Server is a batch process.
type Server struct {
	settings       *node.Settings
	log            zerolog.Logger
	origin         time.Time // zero of the monotonic clock
	process        protocol.Process
	disk           *disk
	truncatedBytes int64 // bytes of the log's tail that this start truncated

	mutex        sync.Mutex // guards the fields of this block; the state machine isn't safe for concurrent use
	stateMachine *replica.StateMachine
	pendingCalls map[replica.CallID]chan protocol.BatchAnswer // each channel has a buffer for its one answer
	lastCall     replica.CallID
	peers        map[string]*transport.Client // connections to other stores, by IP; nil once closed
	closed       bool

	transportOptions transport.Options
	endpoints        *endpoints.Registry
	subscription     *subscription.Subscription
	runner           *runner.Runner
	diskFailed       chan error // capacity 1
}

// New opens the data directory and assembles a server. It returns an error if the disk can't be read. Records
// that can't be used are logged and don't prevent the start.
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
			System: protocol.System, Node: s.process.Node, Role: s.process.Role, Zone: s.process.Zone,
			Address: s.process.IP, Incarnation: s.process.Incarnation,
		},
		MaxFrame:  maxFrameSize,
		Heartbeat: heartbeatInterval,
		Queue:     maxQueuedMessages,
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

// noPool replaces the connection pool that gateways have. A batch process has none, because serverclient keeps
// its own connections.
type noPool struct{}

func (noPool) Apply([]pool.Change) {}

// Run serves until the context ends or the log fails. It returns an error if it can't listen on its port or the
// log fails, and nil if the context ends. It must be called once.
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
	tasks.Go(func() { s.serveMetrics(ctx) })
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

// shareLoads exchanges reported loads with other processes. If its port isn't available, this process uses only
// the loads that servers report to it directly.
func (s *Server) shareLoads(ctx context.Context) {
	if ablation.Off(ablation.SharedLoad) {
		return
	}
	loadPort := s.settings.Port(node.PortLoad)
	sharing, err := serverload.Listen(s.runner.Loads(), s.process, loadPort, s.subscription.Members)
	if err != nil {
		s.log.Warn().Err(err).Msg("load_sharing_disabled")
		return
	}
	sharing.SetBacklog(s.queuedTokens)
	go sharing.Run(ctx)
}

// queuedTokens returns the number of tokens that are queued in the batch jobs that this store answers for.
func (s *Server) queuedTokens() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.QueuedTokens()
}

// runTicks ticks the state machine, and periodically removes segments and logs the state, until the context ends.
func (s *Server) runTicks(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	removedAt, loggedAt := time.Now(), time.Now()
	var reported replica.ReconciliationProgress
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		s.mutex.Lock()
		s.stateMachine.Tick()
		urgent := s.stateMachine.NeedsFastTick()
		status := s.stateMachine.Progress()
		s.mutex.Unlock()
		if status != reported { // control waits for the report, and another loss is tolerated only after it
			reported = status
			s.subscription.PollSoon()
		}
		timer.Reset(tickInterval)
		if urgent {
			timer.Reset(urgentTickInterval)
		}
		if time.Since(removedAt) > removeInterval {
			removedAt = time.Now()
			s.removeSegments()
		}
		if time.Since(loggedAt) > statsInterval {
			loggedAt = time.Now()
			s.logState()
		}
	}
}

// close closes the connections to other stores and the log. It must be called after all goroutines that write to
// the log have ended.
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

// Reload applies the seeds of changed settings, through which control is found. Other settings are not applied.
func (s *Server) Reload(settings *node.Settings) { s.subscription.Seed(settings) }

package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/replica"
	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/coord/view"
	"sprucelane.example/sprucelane/internal/control/discovery"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/control/operatorapi"
	"sprucelane.example/sprucelane/internal/control/quotaservice"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/node/metrics"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Limits of the connections between processes, and time-outs of the shutdown.
const (
	heartbeatInterval   = 500 * time.Millisecond
	maxFrameBytes       = 64 << 20
	httpShutdownTimeout = 1200 * time.Millisecond // for operator requests in flight
	handOverTimeout     = 1500 * time.Millisecond // for releasing the roles and leaving the chain
	// releaseGrantsTimeout bounds the release of the grantor role. Without the release a successor waits for one
	// second.
	releaseGrantsTimeout = 300 * time.Millisecond
)

// Options configure a control process.
type Options struct {
	Settings *node.Settings
	Log      zerolog.Logger

	environment *environment // set by tests; nil: TCP, and the data-dir of the settings
}

// Control is a control process. Its methods are spread over files by concern; see the package comment.
type Control struct {
	// The fields up to reader are set by Start and don't change afterwards. All but reader are safe for
	// concurrent use.
	settings           *node.Settings
	log                zerolog.Logger
	incarnation        string // subscribers compare versions of the server list only within one incarnation
	started            time.Time
	environment        environment
	state              *statemachine.StateMachine
	replica            Replica
	quota              *quotaservice.Service
	apiServer          *http.Server
	subscriptionServer *transport.Server
	peers              *peers
	reader             *discovery.Reader // used by readLoop only

	ctx    context.Context // canceled by Stop
	cancel context.CancelFunc
	loops  sync.WaitGroup

	// Signals to the loops, each with a buffer of one; see wake.
	wakePush      chan struct{} // data that is pushed to subscribers has changed
	wakeRoles     chan struct{}
	wakeDiscovery chan struct{}
	wakeReport    chan struct{} // the head must be informed at once of a poll received here

	// mutex guards the fields below. Handlers of messages call checkPause first. Lock order: peers.mutex before
	// mutex.
	mutex        sync.Mutex
	pauses       pauseDetector
	liveness     *liveness.Table                     // processes that poll this or another control process
	subscribers  map[*transport.Session]*subscriber  // processes that poll this process
	peerSessions map[*transport.Session]*peerSession // connections of other control processes
	schedule     discovery.Schedule                  // when this process reads the server list
	servers      serverTable
	members      memberTable
}

// Start starts a control process. It returns once the ports are open. The process may begin to serve later,
// when it has reached a majority of the chain's voters. Start fails if the data folder can't be created, the
// replica can't be started or a port can't be opened.
func Start(options Options) (*Control, error) {
	if options.environment == nil {
		options.environment = &environment{}
		if err := prepareDisk(options.Settings); err != nil {
			return nil, fmt.Errorf("control: data-dir: %w", err)
		}
	}
	c := newControl(options)
	chainMember, err := replica.Start(c.replicaOptions())
	if err != nil {
		return nil, fmt.Errorf("control: start the replica: %w", err)
	}
	c.replica = chainMember
	if c.environment.wrapReplica != nil {
		c.replica = c.environment.wrapReplica(chainMember)
	}
	c.quota = quotaservice.New(quotaservice.Options{
		Bounds: options.Settings.Bounds, Leadership: c.replica, Record: c.state,
		Self: statemachine.Grantor{Member: chainMember.Self().ID(), Process: c.incarnation},
		Wake: func() { wake(c.wakeRoles) },
	})
	if err := c.serve(); err != nil {
		chainMember.Close()
		return nil, err
	}
	return c, nil
}

// prepareDisk creates the data folder.
func prepareDisk(settings *node.Settings) error {
	if settings.DataDir == "" {
		return nil
	}
	return os.MkdirAll(settings.DataDir, 0o700)
}

// newControl returns a control process without a replica, ports and loops.
func newControl(options Options) *Control {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{
		settings:      options.Settings,
		log:           options.Log,
		incarnation:   options.Settings.NodeName + "-" + randomName(),
		started:       time.Now(),
		environment:   *options.environment,
		state:         statemachine.New(),
		reader:        discovery.NewReader(options.Settings.Cloud.Address, "", options.Settings.Cloud.Rate),
		ctx:           ctx,
		cancel:        cancel,
		wakePush:      make(chan struct{}, 1),
		wakeRoles:     make(chan struct{}, 1),
		wakeDiscovery: make(chan struct{}, 1),
		wakeReport:    make(chan struct{}, 1),
		liveness:      liveness.New(),
		subscribers:   map[*transport.Session]*subscriber{},
		peerSessions:  map[*transport.Session]*peerSession{},
	}
	if c.environment.dial != nil {
		c.reader.SetDialer(c.environment.dial)
	}
	c.state.OnChange(func() {
		wake(c.wakePush)
		wake(c.wakeRoles)
	})
	return c
}

// randomName returns 12 random hexadecimal digits.
func randomName() string {
	var random [6]byte
	_, _ = rand.Read(random[:]) // never fails: rand.Read ends the process if the system has no randomness
	return hex.EncodeToString(random[:])
}

// wake signals a channel with a buffer of one. A signal is merged with an earlier one that has not been
// received yet.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// now returns the time since the process's start, by the monotonic clock.
func (c *Control) now() time.Duration { return time.Since(c.started) }

// identity returns the identity of this process on its connections.
func (c *Control) identity() transport.Identity {
	s := c.settings
	return transport.Identity{System: protocol.System, Node: s.NodeName, Role: protocol.RoleControl, Zone: s.Zone,
		Address: s.Endpoint(node.PortControl), Incarnation: c.incarnation}
}

// transportOptions returns the options of connections to and from gateways, batch processes and other control
// processes.
func (c *Control) transportOptions() transport.Options {
	return transport.Options{
		Identity:  c.identity(),
		Dial:      c.environment.dial,
		MaxFrame:  maxFrameBytes,
		Heartbeat: heartbeatInterval,
		Log: func(event string, err error, remote string) {
			c.log.Debug().Err(err).Str("remote", remote).Msg(event)
		},
	}
}

// serve opens the ports and starts the loops.
func (c *Control) serve() error {
	subscriptions, err := c.environment.listen(c.settings.Endpoint(node.PortControl))
	if err != nil {
		return fmt.Errorf("control: listen for subscriptions: %w", err)
	}
	operators, err := c.environment.listen(c.settings.ListenControl)
	if err != nil {
		_ = subscriptions.Close()
		return fmt.Errorf("control: listen for the operator's API: %w", err)
	}
	c.pauses.lastRanAt = c.now()
	c.peers = newPeers(c)
	c.replica.OnView(func(view.View) { c.viewChanged() })
	c.subscriptionServer = transport.Serve(subscriptions, c.transportOptions(), c.handle)
	c.apiServer = c.operatorAPI().Server()
	c.run(func() { c.serveAPI(operators) })
	c.run(c.pushLoop)
	c.run(c.rolesLoop)
	c.run(c.reportLoop)
	c.run(c.pauseLoop)
	if c.settings.Cloud.Address != "" {
		c.run(c.readLoop)
	}
	c.log.Info().
		Str("control", c.settings.ListenControl).
		Str("data", c.settings.DataDir).
		Bool("bootstrap", c.settings.Bootstrap).
		Uint64("store_epoch", c.state.Stores().Epoch).
		Msg("serving")
	return nil
}

// run starts a loop that Stop waits for.
func (c *Control) run(loop func()) {
	c.loops.Add(1)
	go func() {
		defer c.loops.Done()
		loop()
	}()
}

// operatorAPI returns the operator's API on this process's state and chain.
func (c *Control) operatorAPI() *operatorapi.API {
	return operatorapi.New(operatorapi.Options{
		State:           c.state,
		Chain:           operatorChain{c.replica},
		Bounds:          c.settings.Bounds,
		MaxBodyBytes:    c.settings.Limits.MemoryMB << 20 / bodyMemoryFraction,
		MinActiveStores: c.settings.Tolerance.Machines + 1,
		Metrics:         metrics.Handler(func() []metrics.Metric { return Metrics(c) }),
		Log:             c.log.With().Str("part", "operator").Logger(),
	})
}

// bodyMemoryFraction limits a configuration to 1/16 of the process's memory, because several copies of it
// exist while it is committed.
const bodyMemoryFraction = 16

// serveAPI serves the operator's API until Stop.
func (c *Control) serveAPI(listener net.Listener) {
	if err := c.apiServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		c.log.Error().Err(err).Msg("operator_api_ended")
	}
}

// Reload applies reloaded settings. Only the seeds take effect; all other settings need a restart.
func (c *Control) Reload(settings *node.Settings) {
	c.replica.SetSeeds(settings.SeedEndpoints(node.PortCoordination))
	c.log.Info().Strs("seeds", settings.Seeds).Msg("settings_reloaded")
}

// Stop shuts the process down gracefully: it releases its roles and leaves the chain, so that its successors
// don't have to wait for its leases to end, answers the requests in flight, and closes its connections.
func (c *Control) Stop() {
	c.log.Info().Msg("stopping")
	c.cancel()
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		releaseCtx, stop := context.WithTimeout(ctx, releaseGrantsTimeout)
		c.releaseGrants(releaseCtx)
		stop()
		if err := c.replica.HandOver(ctx); err != nil {
			c.log.Warn().Err(err).Msg("handover_failed")
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	if err := c.apiServer.Shutdown(ctx); err != nil {
		_ = c.apiServer.Close()
	}
	<-handedOver
	c.subscriptionServer.Close()
	c.peers.close()
	c.replica.Close()
	c.loops.Wait()
	c.log.Info().Msg("shutdown_complete")
}

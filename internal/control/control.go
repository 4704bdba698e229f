// Package control assembles the control plane: the chain of control processes with its state machine, the operator's API, the
// subscriptions of gateways and batch processes, the reading of the platform's list, and the roles that one process has at a
// time. Its parts decide; this package carries what they need to each other. It must never hold a decision of its own that
// another process could see differently.
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
	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/coord/view"
	"sprucelane.example/sprucelane/internal/control/discovery"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/control/operatorapi"
	"sprucelane.example/sprucelane/internal/control/quotaservice"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Heartbeats of connections between processes.
const (
	heartbeatInterval   = 500 * time.Millisecond
	maxFrameBytes       = 64 << 20
	httpShutdownTimeout = 1200 * time.Millisecond
	handOverTimeout     = 1500 * time.Millisecond
	// shutdownLending is how long the word that this process lends no more may take: without it a successor waits a second.
	releaseGrantsTimeout = 300 * time.Millisecond
)

// Replica is what is needed of the chain. *replica.Node is one.
type Replica interface {
	Propose(ctx context.Context, id string, order []byte) ([]byte, error)
	Read(ctx context.Context) (uint64, error)
	Staleness() (age time.Duration, ok bool)
	View() view.View
	Self() view.Member
	Members() []replica.Peer
	Lead() (epoch uint64, until time.Time, ok bool)
	Head() (until time.Time, ok bool)
	OnView(call func(view.View))
	SetSeeds(seeds []string)
	HandOver(ctx context.Context) error
	Close()
}

// Options are what a control process is made of.
type Options struct {
	Settings *node.Settings
	Log      zerolog.Logger

	environment *environment // nil: TCP and the folder of the settings
}

// surroundings are the connections and the disk of a process, for worlds of tests.
type environment struct {
	bind func(address string) (net.Listener, error)
	dial func(ctx context.Context, address string) (net.Conn, error)
	disk slots.FS
	// spoil plants a bug in what is known of the chain; nil: none.
	wrapReplica func(Replica) Replica
	// leaseSuspects plants the bug that a batch process under suspicion gets leases.
	leaseSuspected bool
}

// listen listens where the process does.
func (s *environment) listen(address string) (net.Listener, error) {
	if s.bind != nil {
		return s.bind(address)
	}
	return net.Listen("tcp", address)
}

// Control is a control process.
type Control struct {
	settings    *node.Settings
	log         zerolog.Logger
	quota       *quotaservice.Service
	incarnation string // of what this process numbers
	started     time.Time
	environment environment

	state              *statemachine.StateMachine
	replica            Replica
	apiServer          *http.Server
	subscriptionServer *transport.Server
	peers              *peers
	reader             *discovery.Reader

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	wakePush      chan struct{} // something that subscribers are told has changed
	wakeRoles     chan struct{}
	wakeDiscovery chan struct{}

	mutex            sync.Mutex // of all below
	pauses           pauseDetector
	liveness         *liveness.Table
	subscribers      map[*transport.Session]*subscriber
	peerSessions     map[*transport.Session]*peerSession // by the connections of other control processes
	schedule         discovery.Schedule
	servers          serverTable
	memberList       protocol.MemberList
	gatewaysListedAt time.Duration // when the gateways in members were looked at
}

// Start starts a control process.
func Start(options Options) (*Control, error) {
	if options.environment == nil {
		options.environment = &environment{}
		if err := prepareDisk(options.Settings); err != nil {
			return nil, fmt.Errorf("control: data-dir: %w", err)
		}
	}
	c := newControl(options)
	node, err := replica.Start(c.replicaOptions())
	if err != nil {
		return nil, fmt.Errorf("control: the chain: %w", err)
	}
	c.replica = node
	if c.environment.wrapReplica != nil {
		c.replica = c.environment.wrapReplica(node)
	}
	c.quota = quotaservice.New(options.Settings.Bounds, c.replica, c.state, statemachine.Grantor{Member: node.Self().ID(), Process: c.incarnation},
		func() { wake(c.wakeRoles) })
	if err := c.serve(); err != nil {
		node.Close()
		return nil, err
	}
	return c, nil
}

// prepareDisk makes the folder of the disk where it is missing.
func prepareDisk(settings *node.Settings) error {
	if settings.DataDir == "" {
		return nil
	}
	return os.MkdirAll(settings.DataDir, 0o700)
}

func newControl(options Options) *Control {
	ended, end := context.WithCancel(context.Background())
	c := &Control{
		settings:      options.Settings,
		log:           options.Log,
		incarnation:   options.Settings.NodeName + "-" + randomName(),
		started:       time.Now(),
		environment:   *options.environment,
		state:         statemachine.New(),
		reader:        discovery.NewReader(options.Settings.Cloud.Address, "", options.Settings.Cloud.Rate),
		ctx:           ended,
		cancel:        end,
		wakePush:      make(chan struct{}, 1),
		wakeRoles:     make(chan struct{}, 1),
		wakeDiscovery: make(chan struct{}, 1),
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

func randomName() string {
	var random [6]byte
	_, _ = rand.Read(random[:]) // never fails: it ends the process where the system has no randomness
	return hex.EncodeToString(random[:])
}

// wake puts a token into a channel of one, unless one waits there.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// now is the steady clock since the process's start.
func (c *Control) now() time.Duration { return time.Since(c.started) }

func (c *Control) identity() transport.Identity {
	s := c.settings
	return transport.Identity{System: protocol.System, Node: s.NodeName, Role: protocol.RoleControl, Zone: s.Zone,
		Address: s.Endpoint(node.PortControl), Incarnation: c.incarnation}
}

func (c *Control) replicaOptions() replica.Options {
	s := c.settings
	return replica.Options{
		Identity:     c.identity(),
		Listen:       s.Endpoint(node.PortCoordination),
		Seeds:        s.SeedEndpoints(node.PortCoordination),
		Bootstrap:    s.Bootstrap,
		DataDir:      s.DataDir,
		Bind:         c.environment.bind,
		Dial:         c.environment.dial,
		Disk:         c.environment.disk,
		Tolerance:    s.Tolerance.Machines,
		StateMachine: c.state,
		Log: func(event string, fields ...any) {
			c.log.Info().Fields(fields).Str("part", "chain").Msg(event)
		},
	}
}

func (c *Control) transportOptions() transport.Options {
	return transport.Options{Identity: c.identity(), Dial: c.environment.dial, MaxFrame: maxFrameBytes, Heartbeat: heartbeatInterval,
		Log: func(event string, err error, remote string) {
			c.log.Debug().Err(err).Str("remote", remote).Msg(event)
		}}
}

// serve opens the ports and starts all loops.
func (c *Control) serve() error {
	subscriptions, err := c.environment.listen(c.settings.Endpoint(node.PortControl))
	if err != nil {
		return fmt.Errorf("control: subscriptions: %w", err)
	}
	operators, err := c.environment.listen(c.settings.ListenControl)
	if err != nil {
		_ = subscriptions.Close()
		return fmt.Errorf("control: operator's API: %w", err)
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
	c.log.Info().Str("control", c.settings.ListenControl).Str("data", c.settings.DataDir).Bool("bootstrap", c.settings.Bootstrap).
		Uint64("store_epoch", c.state.Stores().Epoch).Msg("started")
	return nil
}

func (c *Control) run(loop func()) {
	c.loops.Add(1)
	go func() {
		defer c.loops.Done()
		loop()
	}()
}

func (c *Control) operatorAPI() *operatorapi.API {
	return operatorapi.New(operatorapi.Options{
		Machine:         c.state,
		Chain:           operatorChain{c.replica},
		Bounds:          c.settings.Bounds,
		MaxBodyBytes:    c.settings.Limits.MemoryMB << 20 / bodyMemoryFraction,
		MinActiveStores: c.settings.Tolerance.Machines + 1,
		Log:             c.log.With().Str("part", "operator").Logger(),
	})
}

// bodyPart is the part of the memory that one configuration may take: it is held a few times over while it is taken.
const bodyMemoryFraction = 16

func (c *Control) serveAPI(listener net.Listener) {
	if err := c.apiServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		c.log.Error().Err(err).Msg("operator-api-ended")
	}
}

func (c *Control) viewChanged() {
	wake(c.wakeRoles)
	wake(c.wakeDiscovery)
	wake(c.wakePush)
}

// Reload takes in settings that were read again. Only the seeds may change in a life.
func (c *Control) Reload(settings *node.Settings) {
	c.replica.SetSeeds(settings.SeedEndpoints(node.PortCoordination))
	c.log.Info().Strs("seeds", settings.Seeds).Msg("settings-reloaded")
}

// Stop ends the process's part in order: the roles and its place in the chain are handed over, what is in flight is answered.
func (c *Control) Stop() {
	c.log.Info().Msg("stopping")
	c.cancel()
	handed := make(chan struct{})
	go func() {
		defer close(handed)
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		lending, stop := context.WithTimeout(ctx, releaseGrantsTimeout)
		c.releaseGrants(lending)
		stop()
		if err := c.replica.HandOver(ctx); err != nil {
			c.log.Warn().Err(err).Msg("handover-failed")
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	if err := c.apiServer.Shutdown(ctx); err != nil {
		_ = c.apiServer.Close()
	}
	<-handed
	c.subscriptionServer.Close()
	c.peers.close()
	c.replica.Close()
	c.loops.Wait()
	c.log.Info().Msg("stopped")
}

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
	heartbeat     = 500 * time.Millisecond
	frameMost     = 64 << 20
	shutdownHTTP  = 1200 * time.Millisecond
	shutdownChain = 1500 * time.Millisecond
	// shutdownLending is how long the word that this process lends no more may take: without it a successor waits a second.
	shutdownLending = 300 * time.Millisecond
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

	surroundings *surroundings // nil: TCP and the folder of the settings
}

// surroundings are the connections and the disk of a process, for worlds of tests.
type surroundings struct {
	bind func(address string) (net.Listener, error)
	dial func(ctx context.Context, address string) (net.Conn, error)
	disk slots.FS
	// spoil plants a bug in what is known of the chain; nil: none.
	spoil func(Replica) Replica
	// leaseSuspects plants the bug that a batch process under suspicion gets leases.
	leaseSuspects bool
}

// listen listens where the process does.
func (s *surroundings) listen(address string) (net.Listener, error) {
	if s.bind != nil {
		return s.bind(address)
	}
	return net.Listen("tcp", address)
}

// Control is a control process.
type Control struct {
	settings *node.Settings
	log      zerolog.Logger
	quota    *quotaservice.Service
	source   string // of what this process numbers
	started  time.Time
	around   surroundings

	machine *statemachine.Machine
	replica Replica
	api     *http.Server
	server  *transport.Server
	peers   *peers
	reader  *discovery.Reader

	ended context.Context
	end   context.CancelFunc
	wait  sync.WaitGroup

	changed   chan struct{} // something that subscribers are told has changed
	wakeRoles chan struct{}
	wakeRead  chan struct{}

	mutex       sync.Mutex // of all below
	still       standstill
	presence    *liveness.Table
	subscribers map[*transport.Session]*subscriber
	told        map[*transport.Session]*told // by the connections of other control processes
	schedule    discovery.Schedule
	servers     serverTable
	members     protocol.MemberList
	gatewaysAt  time.Duration // when the gateways in members were looked at
}

// Start starts a control process.
func Start(options Options) (*Control, error) {
	if options.surroundings == nil {
		options.surroundings = &surroundings{}
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
	if c.around.spoil != nil {
		c.replica = c.around.spoil(node)
	}
	c.quota = quotaservice.New(options.Settings.Bounds, c.replica, c.machine, statemachine.Lender{Member: node.Self().ID(), Process: c.source},
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
		settings:    options.Settings,
		log:         options.Log,
		source:      options.Settings.NodeName + "-" + randomName(),
		started:     time.Now(),
		around:      *options.surroundings,
		machine:     statemachine.New(),
		reader:      discovery.NewReader(options.Settings.Cloud.Address, "", options.Settings.Cloud.Rate),
		ended:       ended,
		end:         end,
		changed:     make(chan struct{}, 1),
		wakeRoles:   make(chan struct{}, 1),
		wakeRead:    make(chan struct{}, 1),
		presence:    liveness.New(),
		subscribers: map[*transport.Session]*subscriber{},
		told:        map[*transport.Session]*told{},
	}
	if c.around.dial != nil {
		c.reader.DialBy(c.around.dial)
	}
	c.machine.OnChange(func() {
		wake(c.changed)
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
		Address: s.Endpoint(node.PortControl), Incarnation: c.source}
}

func (c *Control) replicaOptions() replica.Options {
	s := c.settings
	return replica.Options{
		Identity:     c.identity(),
		Listen:       s.Endpoint(node.PortCoordination),
		Seeds:        s.SeedEndpoints(node.PortCoordination),
		Bootstrap:    s.Bootstrap,
		DataDir:      s.DataDir,
		Bind:         c.around.bind,
		Dial:         c.around.dial,
		Disk:         c.around.disk,
		Tolerance:    s.Tolerance.Machines,
		StateMachine: c.machine,
		Log: func(event string, fields ...any) {
			c.log.Info().Fields(fields).Str("part", "chain").Msg(event)
		},
	}
}

func (c *Control) transportOptions() transport.Options {
	return transport.Options{Identity: c.identity(), Dial: c.around.dial, MaxFrame: frameMost, Heartbeat: heartbeat,
		Log: func(event string, err error, remote string) {
			c.log.Debug().Err(err).Str("remote", remote).Msg(event)
		}}
}

// serve opens the ports and starts all loops.
func (c *Control) serve() error {
	subscriptions, err := c.around.listen(c.settings.Endpoint(node.PortControl))
	if err != nil {
		return fmt.Errorf("control: subscriptions: %w", err)
	}
	operators, err := c.around.listen(c.settings.ListenControl)
	if err != nil {
		_ = subscriptions.Close()
		return fmt.Errorf("control: operator's API: %w", err)
	}
	c.still.beatAt = c.now()
	c.peers = newPeers(c)
	c.replica.OnView(func(view.View) { c.viewChanged() })
	c.server = transport.Serve(subscriptions, c.transportOptions(), c.handle)
	c.api = c.operatorAPI().Server()
	c.run(func() { c.serveAPI(operators) })
	c.run(c.pushLoop)
	c.run(c.rolesLoop)
	c.run(c.reportLoop)
	c.run(c.beatLoop)
	if c.settings.Cloud.Address != "" {
		c.run(c.readLoop)
	}
	c.log.Info().Str("control", c.settings.ListenControl).Str("data", c.settings.DataDir).Bool("bootstrap", c.settings.Bootstrap).
		Uint64("store_epoch", c.machine.Stores().Epoch).Msg("started")
	return nil
}

func (c *Control) run(loop func()) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		loop()
	}()
}

func (c *Control) operatorAPI() *operatorapi.API {
	return operatorapi.New(operatorapi.Options{
		Machine:   c.machine,
		Chain:     operatorChain{c.replica},
		Bounds:    c.settings.Bounds,
		BytesMost: c.settings.Limits.MemoryMB << 20 / bodyPart,
		Remain:    c.settings.Tolerance.Machines + 1,
		Log:       c.log.With().Str("part", "operator").Logger(),
	})
}

// bodyPart is the part of the memory that one configuration may take: it is held a few times over while it is taken.
const bodyPart = 16

func (c *Control) serveAPI(listener net.Listener) {
	if err := c.api.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		c.log.Error().Err(err).Msg("operator-api-ended")
	}
}

func (c *Control) viewChanged() {
	wake(c.wakeRoles)
	wake(c.wakeRead)
	wake(c.changed)
}

// Reload takes in settings that were read again. Only the seeds may change in a life.
func (c *Control) Reload(settings *node.Settings) {
	c.replica.SetSeeds(settings.SeedEndpoints(node.PortCoordination))
	c.log.Info().Strs("seeds", settings.Seeds).Msg("settings-reloaded")
}

// Stop ends the process's part in order: the roles and its place in the chain are handed over, what is in flight is answered.
func (c *Control) Stop() {
	c.log.Info().Msg("stopping")
	c.end()
	handed := make(chan struct{})
	go func() {
		defer close(handed)
		ctx, cancel := context.WithTimeout(context.Background(), shutdownChain)
		defer cancel()
		lending, stop := context.WithTimeout(ctx, shutdownLending)
		c.endLending(lending)
		stop()
		if err := c.replica.HandOver(ctx); err != nil {
			c.log.Warn().Err(err).Msg("handover-failed")
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownHTTP)
	defer cancel()
	if err := c.api.Shutdown(ctx); err != nil {
		_ = c.api.Close()
	}
	<-handed
	c.server.Close()
	c.peers.close()
	c.replica.Close()
	c.wait.Wait()
	c.log.Info().Msg("stopped")
}

// This file owns the wiring of a gateway and the signals; it must never look into a request or a list.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/cli"
	"sprucelane.example/sprucelane/internal/config"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/discovery"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/front/control"
	"sprucelane.example/sprucelane/internal/front/introspect"
	"sprucelane.example/sprucelane/internal/front/platform"
	"sprucelane.example/sprucelane/internal/handover"
	"sprucelane.example/sprucelane/internal/inflight"
	"sprucelane.example/sprucelane/internal/knowledge"
	"sprucelane.example/sprucelane/internal/knowledge/datagram"
	"sprucelane.example/sprucelane/internal/knowledge/helper"
	"sprucelane.example/sprucelane/internal/knowledge/pipe"
	"sprucelane.example/sprucelane/internal/peer"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/service"
	"sprucelane.example/sprucelane/internal/store"
	"sprucelane.example/sprucelane/internal/store/keep"
	"sprucelane.example/sprucelane/internal/storm"
	"sprucelane.example/sprucelane/policy"
)

const (
	heapShare = 0.75 // of the memory limit that the heap keeps to; the rest is stacks and the runtime's own
	gcPercent = 400  // the live heap is a few MB: collecting less often costs little memory
)

// laboratory names the variable without which what is for the laboratory is refused.
const labVariable = "SPRUCELANE_LABORATORY"

// options are what the command line says.
type options struct {
	siteFile        string        // the operators' file
	linkProgram     string        // that links gateways
	learnByDatagram bool          // whether a new gateway learns by datagrams
	clockAhead      time.Duration // of the laboratory: how far this gateway's clock is ahead of others'
}

// serve runs a gateway until SIGTERM or a failure.
func serve(getenv func(string) string, opt options) error {
	signals, ends := make(chan os.Signal, 4), make(chan os.Signal, 1) // a signal that finds no room is dropped: the end has its own
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	defer signal.Stop(ends)
	if opt.clockAhead != 0 && getenv(labVariable) == "" {
		return cli.ExitError{Code: cli.ExitUsage, Err: fmt.Errorf("clock-ahead: for the laboratory alone, which sets %s", labVariable)}
	}
	cfg, err := config.Load(getenv, opt.siteFile)
	if err != nil {
		return cli.ExitError{Code: cli.ExitUsage, Err: err}
	}
	debug.SetGCPercent(gcPercent)
	setRuntimeLimits(cfg, 1)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	bodies, answers := buffers.New(cfg.BufferMemory/2), buffers.New(cfg.BufferMemory/2)
	members := pool.New(pool.Options{MaxConnections: cfg.ServerConns, ResponseMemory: answers, LoadFields: cfg.Deployment.LoadFields(),
		IdleTimeout: cfg.Deployment.IdleTimeout, ConnectTimeout: cfg.Deployment.ConnectTimeout})
	defer members.Close()
	g := &gateway{failed: make(chan error, 3), phase: service.New(), cfg: cfg, servers: members, requestMemory: bodies, responseMemory: answers}
	defer g.close()
	heir := g.connectPredecessor(cfg, getenv)
	defer heir.Close()
	var link *peer.Link
	var tell func(int, []byte)
	if cfg.PeerListen.IsValid() {
		if link, err = g.openPeerLink(cfg, heir); err != nil {
			return fmt.Errorf("peer_listen: %w", err)
		}
		defer link.Close()
		tell, g.peerLink = link.Send, link
	}
	clock := core.NewClock().WithOffset(opt.clockAhead)
	decisions, err := core.New(cfg.Deployment.Settings, cfg.Seed, clock, members, tell)
	if err != nil {
		return err
	}
	if conf := cfg.Site.Storm; conf != nil {
		decisions.EnableStormControl(cfg.Deployment.Settings, storm.Options{Seed: cfg.Seed, RetryRatio: conf.RetryShare, MaxRetryAfter: conf.MaxRetryAfter,
			ConnectionRate: conf.ConnectionsPerS})
	}
	roster := discovery.NewMembership(members, decisions.Servers, cfg.Deployment.Zones, cfg.Deployment.Kinds)
	g.core, g.membership, g.settings = decisions, roster, platform.NewSettings(cfg.Deployment)

	ready := func() bool { return g.phase.Ready() && members.ReadyServers() > 0 }
	if cfg.Control != "" {
		if err := g.openControl(cfg.Control, func() bool { return members.ReadyServers() > 0 }); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	listen := front.Options{Address: cfg.Listen, MaxConnections: cfg.ClientConns, MaxRequestDeadline: cfg.Deployment.MaxDeadline(),
		State: g.phase, ReusePort: g.handoverPath != "", Listener: heir.Listener(cfg.Listen)}
	if cfg.Site.Storm != nil {
		listen.Admit = decisions.AdmitConnection
		g.counters = append(g.counters, func() core.Counts {
			return append(core.Counts{slog.String("part", "storm")}, decisions.StormCounters()...)
		})
	}
	door := &platform.Front{Core: decisions, Settings: g.settings, Ready: ready, OpenRequests: &g.openRequests, BodyMemory: bodies}
	if err := g.openFront(listen, door); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	g.counters = append(g.counters, func() core.Counts {
		return partCounts("gateway", door.Malformed(), decisions.Counters())
	})
	g.counters = append(g.counters, func() core.Counts {
		n := members.Stats()
		c := core.Counts{slog.String("part", "pool"), slog.Uint64("reused", n.Reused), slog.Uint64("opened", n.Opened),
			slog.Uint64("opened_past_use", n.OpenedAfterStale), slog.Uint64("opened_in_place", n.OpenedByEviction),
			slog.Uint64("open_failed", n.ConnectFailed), slog.Uint64("no_descriptor", n.LimitReached),
			slog.Int("open_now", n.Open), slog.Int("idle_now", n.Idle)}
		for i, held := range []buffers.Stats{bodies.Stats(), answers.Stats()} {
			name := []string{"bodies", "answers"}[i]
			c = append(c, slog.Int64(name+"_held", held.InUse), slog.Int64(name+"_highest", held.Peak), slog.Uint64(name+"_waits", held.Waits))
		}
		if link != nil {
			l := link.Stats()
			c = append(c, slog.Uint64("datagrams_heard", l.Received), slog.Uint64("datagrams_odd", l.Invalid),
				slog.Uint64("datagrams_told", l.Sent), slog.Uint64("datagrams_dropped", l.Dropped))
		}
		return c
	})
	if cfg.Site.Introspection != nil {
		if err := g.openIntrospection(cfg, heir, listen, clock, decisions, ready); err != nil {
			return fmt.Errorf("introspection: %w", err)
		}
	}
	if !g.takeOver(heir) {
		roster.Apply(policy.ListCached, cfg.KnownServers.Instances)
		roster.SetVersion(cfg.KnownServers.Generation)
	}
	kept, err := g.openStore(cfg)
	if err != nil {
		return fmt.Errorf("store.path: %w", err)
	}
	defer kept()
	if g.checker != nil {
		if err := g.checker.Start(g.checkerState); err != nil {
			slog.Warn("handover", "step", "checks", "err", err)
		}
	}
	if cfg.Site.Storm != nil {
		go decisions.RunStormControl(ctx)
	}
	if link != nil {
		take := decisions.PeerMessage
		if opt.learnByDatagram && cfg.Deployment.Peers && cfg.Deployment.Gateways > 1 {
			take = g.startDatagramExchange(ctx, cfg, link, clock, decisions, roster)
		}
		crowd := g.startLoadExchange(ctx, cfg, link, decisions, roster)
		go link.Serve(func(from int, m []byte) {
			switch {
			case len(m) > 0 && m[0] == storm.Kind:
				decisions.StormMessage(from, m)
			case len(m) > 0 && m[0] == inflight.Kind:
				crowd(from, m)
			default:
				take(from, m)
			}
		})
	}
	g.counters = append(g.counters, func() core.Counts {
		c := roster.Calls()
		return core.Counts{slog.String("part", "discovery"), slog.Uint64("answered", c.Answered),
			slog.Uint64("turned_away", c.Rejected), slog.Uint64("unanswered", c.Unanswered),
			slog.Duration("silent", roster.SinceLastAnswer())}
	})
	g.counters = append(g.counters, func() core.Counts {
		_, counts := decisions.Recovery()
		return append(core.Counts{slog.String("part", "recovery")}, counts...)
	})
	g.listenForSuccessor() // before the first yes: whoever hears that may start a successor
	g.startDiscovery(ctx, false)
	g.startKnowledgeExchange(cfg, opt.linkProgram, clock, decisions, roster)
	slog.Info("started", "name", cfg.Name, "listen", cfg.Listen, "members", members.ReadyServers(),
		"gateways", cfg.Deployment.Gateways)
	ended := make(chan bool)
	for {
		select {
		case err := <-g.failed:
			g.logCounters("counters")
			return fmt.Errorf("virtual server: %w", err)
		case <-ended:
			g.logCounters("stopped")
			return nil
		case <-ends: // all that was taken has its answer by its own deadline, or by when this process is to be gone
			giveUp, within := service.ShutdownTimes(g.maxDeadline())
			if g.phase.Shutdown(time.Now(), within) {
				time.AfterFunc(giveUp, g.core.Shutdown)
				go func() { g.waitUntilIdle(); close(ended) }()
			}
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				g.logCounters("counters")
				continue
			}
			// During a drain too: what is still open needs the pool's news.
			if err := g.reload(ctx, cfg, getenv, opt.siteFile); err != nil {
				slog.Error("reload_failed", "err", err)
			}
		}
	}
}

// runtimeLimits keeps Go's own runtime inside the gateway's limits, or one of so many processes inside its part.
func setRuntimeLimits(cfg *config.Config, processes int) {
	runtime.GOMAXPROCS(cfg.Cores)
	debug.SetMemoryLimit(int64(heapShare*float64(cfg.MemoryBytes)) / int64(processes))
}

// follow watches the pool's source, in the place of another that was watched: a roster takes one at a time. A source that
// is followed anew is asked for its whole list, as what the one before held back would else be missed.
func (g *gateway) startDiscovery(ctx context.Context, anew bool) {
	if g.stopDiscovery != nil {
		g.stopDiscovery()
	}
	g.mu.Lock()
	cfg := g.cfg
	g.mu.Unlock()
	held := g.membership.Version()
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	pauses := discovery.NewBackoff(cfg.Seed, cfg.Deployment.ListRefreshWithin)
	done.Go(func() {
		if cfg.Site.Consul != nil {
			discovery.WatchConsul(ctx, *cfg.Site.Consul, pauses, g.membership)
		} else {
			discovery.Watch(ctx, cfg.Discovery, held, anew, pauses, g.membership)
		}
	})
	g.stopDiscovery = func() { cancel(); done.Wait() }
}

// gateway is what runs: its virtual servers and what they count.
type gateway struct {
	servers         *pool.Pool
	requestMemory   *buffers.Budget
	responseMemory  *buffers.Budget
	core            *core.Core
	membership      *discovery.Membership
	settings        *platform.Settings
	loadExchange    *inflight.Exchange // nil: none
	loadExchangeSeq uint16             // of the words that a predecessor has told
	checkerState    []byte             // what it knew of the checks
	stopDiscovery   func()             // ends the watch of the pool's source
	fronts          []*front.Server
	handoverPath    string                // where a successor finds this process; empty: nowhere
	predecessor     *handover.Predecessor // nil: nobody can follow
	peerLink        *peer.Link            // nil: none
	checker         *introspect.Checker   // nil: off
	openRequests    platform.OpenRequests
	counters        []func() core.Counts
	closers         []func()
	phase           *service.State
	failed          chan error

	mu                sync.Mutex
	cfg               *config.Config  // in force
	otherUsage        *handover.Usage // of another process of this gateway; nil: there is none
	maxDeadlineBefore time.Duration   // the longest deadline that what is open may have been taken under
}

func (g *gateway) close() {
	for _, s := range g.fronts {
		s.Close()
	}
	for _, c := range g.closers {
		c()
	}
}

func (g *gateway) openFront(opt front.Options, handler http.Handler) error {
	listen := func() (*front.Server, error) { return front.Listen(opt, handler) }
	server, err := listen()
	if g.handoverPath != "" && err != nil {
		server, err = retryAddressInUse(listen)
	}
	if err != nil {
		return err
	}
	if opt.Listener != nil { // what comes is the predecessor's until it has handed over
		server.Pause()
	}
	g.fronts = append(g.fronts, server)
	go func() {
		if err := server.Serve(); err != nil {
			g.failed <- err
		}
	}()
	return nil
}

// introspection opens the second front, with a core of its own for the checks.
func (g *gateway) openIntrospection(cfg *config.Config, heir *handover.Successor, opt front.Options, clock core.Clock, decisions *core.Core,
	ready func() bool) error {
	conf := *cfg.Site.Introspection
	var link *peer.Link
	var tell func(int, []byte)
	var err error
	if conf.PeerAddr.IsValid() {
		if link, err = peer.Listen(conf.PeerAddr, conf.PeerAddrs, netip.AddrPort{}); err != nil {
			return fmt.Errorf("peer_listen: %w", err)
		}
		tell = link.Send
	}
	checker, err := introspect.NewChecker(conf, cfg.Deployment, cfg.CheckConns, ^cfg.Seed, clock, tell)
	if err != nil {
		return err
	}
	g.checker = checker
	g.closers = append(g.closers, checker.Close)
	if link != nil {
		g.closers = append(g.closers, func() { link.Close() })
		go link.Serve(checker.PeerMessage)
	}
	if opt.Address, opt.Listener = conf.Listen, heir.Listener(conf.Listen); conf.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(conf.CertFile, conf.KeyFile)
		if err != nil {
			return fmt.Errorf("cert_file, key_file: %w", err)
		}
		opt.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	door := &introspect.Front{Core: decisions, Checker: checker, Settings: g.settings, Ready: ready, OpenRequests: &g.openRequests, BodyMemory: g.requestMemory}
	g.counters = append(g.counters, func() core.Counts {
		return partCounts("introspection", door.Malformed(), checker.Counters())
	})
	return g.openFront(opt, door)
}

// keep recalls what the former life of this gateway has kept, where the site's file has a store, and keeps on. What it gives back
// ends that, once all is answered. A predecessor that is still ending has the folder: then what it handed over is known already.
func (g *gateway) openStore(cfg *config.Config) (end func(), err error) {
	conf := cfg.Site.Store
	if conf == nil {
		return func() {}, nil
	}
	opt := keep.Options{Path: conf.Path, Name: cfg.Name, Store: store.Options{FlushInterval: conf.FlushInterval(), MaxBytes: conf.MaxBytes()}}
	for _, p := range cfg.Deployment.Plans {
		opt.Plans = append(opt.Plans, p.Name)
	}
	k, err := keep.Open(opt, g.core)
	if err != nil {
		return nil, err
	}
	g.counters = append(g.counters, func() core.Counts {
		f := k.Stats()
		counts := core.Counts{slog.String("part", "store"), slog.Uint64("epoch", f.Epoch), slog.Int("recalled", f.Restored), slog.Int("entries", f.Entries),
			slog.Int64("bytes", f.DiskBytes), slog.Uint64("writes", f.Writes), slog.Uint64("syncs", f.Syncs), slog.Int64("cut", f.TruncatedBytes)}
		if f.Err != nil {
			counts = append(counts, slog.String("failed", f.Err.Error()))
		}
		return counts
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	return func() { cancel(); <-done }, nil
}

// knowledge opens the exchange with peers of what is known of the pool members, where the site's file has it on. The
// gateway is ready once it has heard its peers, or has waited for them as long as it is told to.
func (g *gateway) startKnowledgeExchange(cfg *config.Config, program string, clock core.Clock, decisions *core.Core, roster *discovery.Membership) {
	conf := cfg.Site.Knowledge
	if conf == nil {
		g.phase.MarkStarted()
		return
	}
	h := helper.Open(program, pipe.Hello{Me: knowledge.Observer{Name: cfg.Name, Birth: uint64(clock.Now() / time.Millisecond)},
		Listen: conf.Listen, Peers: conf.Peers, Plain: conf.Plain, CertFile: conf.CertFile, KeyFile: conf.KeyFile,
		CAFile: conf.CAFile, ServerName: conf.ServerName, SuspectShare: conf.SuspectShare,
		RoomMost: helper.MaxRoom(cfg.Deployment.Gateways)}, &helper.Gateway{Core: decisions, Roster: roster})
	g.closers = append(g.closers, h.Close)
	g.counters = append(g.counters, func() core.Counts {
		return append(core.Counts{slog.String("part", "knowledge")}, h.Counters()...)
	})
	go func() {
		h.AwaitInitialSync(conf.Wait)
		g.phase.MarkStarted()
	}()
}

// datagrams lets a gateway that has just started ask its peers what they know, in the datagrams that there are. What
// comes in is theirs or the module's by its first byte.
func (g *gateway) startDatagramExchange(ctx context.Context, cfg *config.Config, link *peer.Link, clock core.Clock, decisions *core.Core,
	roster *discovery.Membership) func(int, []byte) {
	d := cfg.Deployment
	exchange := datagram.New(&helper.Gateway{Core: decisions, Roster: roster}, link.Send, clock.Now, d.Self, d.Gateways,
		helper.MaxRoom(d.Gateways))
	g.counters = append(g.counters, func() core.Counts {
		c := exchange.Counters()
		return core.Counts{slog.String("part", "datagrams"), slog.Uint64("asked", c.Requests), slog.Uint64("answered", c.Answers),
			slog.Uint64("heard", c.Received), slog.Uint64("odd", c.Malformed), slog.Uint64("priors", c.Priors)}
	})
	go exchange.Run(ctx)
	return func(from int, m []byte) {
		if datagram.IsMessage(m) {
			exchange.Receive(from, m)
		} else {
			decisions.PeerMessage(from, m)
		}
	}
}

// inflight lets neighbours in a large fleet tell each other what they have out at the members that they share.
func (g *gateway) startLoadExchange(ctx context.Context, cfg *config.Config, link *peer.Link, decisions *core.Core,
	roster *discovery.Membership) func(int, []byte) {
	d := cfg.Deployment
	board := inflight.New(d.Self, d.Gateways, d.PeerMessageRate)
	if board == nil || !d.Peers {
		return func(int, []byte) {}
	}
	c := inflight.NewExchange(board, decisions, roster, link.Send)
	c.Resume(g.loadExchangeSeq)
	g.loadExchange = c
	g.counters = append(g.counters, func() core.Counts { return append(core.Counts{slog.String("part", "inflight")}, c.Counters()...) })
	go c.Run(ctx)
	return c.Receive
}

// part names whose counters they are.
func partCounts(name string, malformed uint64, counts core.Counts) core.Counts {
	return append(core.Counts{slog.String("part", name), slog.Uint64("malformed", malformed)}, counts...)
}

// reload reads the configuration again. All of it is checked before any counts, and it counts as a whole: the settings for
// what is taken from now on, discovery and the limits. A configuration that can't be used changes nothing.
func (g *gateway) reload(ctx context.Context, start *config.Config, getenv func(string) string, site string) error {
	g.mu.Lock()
	was := g.cfg
	g.mu.Unlock()
	next, err := config.Reload(getenv, site, was)
	if err != nil {
		return err
	}
	fixed := start.RestartKeys(next)
	next.Deployment, _ = next.Deployment.WithRestartKeysOf(start.Deployment)
	if next.Deployment.Generation = was.Deployment.Generation; !next.Deployment.Equal(was.Deployment) {
		if g.checker != nil {
			if err := g.checker.SetDeployment(next.Deployment, ^next.Seed); err != nil {
				return err
			}
		}
		if next.Deployment.Generation, err = g.core.Reconfigure(next.Deployment.Settings, next.Seed); err != nil {
			return err
		}
		g.settings.Set(next.Deployment)
		g.servers.SetTimeouts(next.Deployment.IdleTimeout, next.Deployment.ConnectTimeout)
	}
	g.mu.Lock()
	g.cfg, g.maxDeadlineBefore = next, max(g.maxDeadlineBefore, was.Deployment.MaxDeadline())
	g.mu.Unlock()
	g.applyLimits()
	if next.Discovery != was.Discovery || !next.Site.SameConsul(was.Site) {
		g.startDiscovery(ctx, true)
	}
	slog.Info("reloaded", "discovery", next.Discovery, "era", next.Deployment.Generation, "classes", len(next.Deployment.Classes),
		"plans", len(next.Deployment.Plans), "until_restart", fixed)
	return nil
}

// longest is how long what is open may still take.
func (g *gateway) maxDeadline() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.maxDeadlineBefore, g.cfg.Deployment.MaxDeadline())
}

// beside takes in what another process of this gateway uses of its limits; nil: there is none.
func (g *gateway) setOtherUsage(use *handover.Usage) {
	g.mu.Lock()
	g.otherUsage = use
	g.mu.Unlock()
	g.applyLimits()
}

// share keeps this process inside the limits, less what another one uses.
func (g *gateway) applyLimits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	other, processes := handover.Usage{}, 1
	if g.otherUsage != nil {
		other, processes = *g.otherUsage, 2
	}
	setRuntimeLimits(g.cfg, processes)
	g.servers.SetMaxConnections(max(1, g.cfg.ServerConns-other.ServerConns))
	g.requestMemory.SetLimit(g.cfg.BufferMemory / 2 / int64(processes))
	g.responseMemory.SetLimit(g.cfg.BufferMemory / 2 / int64(processes))
	for _, s := range g.fronts {
		s.SetMaxConnections(max(1, g.cfg.ClientConns-other.ClientConns))
	}
	if g.checker != nil {
		g.checker.SetMaxConnections(g.cfg.CheckConns / processes)
	}
}

// control opens the operators' address.
func (g *gateway) openControl(addr string, ready func() bool) error {
	server, err := control.Listen(addr, config.MaxControlConns, g.phase, ready)
	if err != nil {
		return err
	}
	g.closers = append(g.closers, server.Close)
	server.ReadyDetail = func() string {
		phase, _ := g.core.Recovery()
		return "recovery=" + phase.String()
	}
	g.counters = append(g.counters, func() core.Counts {
		c := server.Stats()
		return core.Counts{slog.String("part", "control"), slog.String("phase", g.phase.Phase().String()),
			slog.Uint64("ready", c.Ready), slog.Uint64("drain", c.Drain), slog.Uint64("undrain", c.Undrain),
			slog.Uint64("refused", c.Rejected), slog.Uint64("crowded", c.Evicted)}
	})
	go func() {
		if err := server.Serve(); err != nil {
			g.failed <- err
		}
	}()
	return nil
}

// end waits until the process may end: the state of service tells when.
func (g *gateway) waitUntilIdle() {
	for open := -1; !g.phase.MayExit(time.Now(), open); time.Sleep(10 * time.Millisecond) {
		open = g.clientConns()
	}
}

func (g *gateway) logCounters(event string) {
	for _, c := range g.counters {
		slog.LogAttrs(context.Background(), slog.LevelInfo, event, c()...)
	}
}

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
	memoryShare = 0.75 // of the memory limit that the heap keeps to; the rest is stacks and the runtime's own
	gcPercent   = 400  // the live heap is a few MB: collecting less often costs little memory
)

// laboratory names the variable without which what is for the laboratory is refused.
const laboratory = "SPRUCELANE_LABORATORY"

// options are what the command line says.
type options struct {
	site      string        // the operators' file
	program   string        // that links gateways
	datagrams bool          // whether a new gateway learns by datagrams
	ahead     time.Duration // of the laboratory: how far this gateway's clock is ahead of others'
}

// serve runs a gateway until SIGTERM or a failure.
func serve(getenv func(string) string, opt options) error {
	signals, ends := make(chan os.Signal, 4), make(chan os.Signal, 1) // a signal that finds no room is dropped: the end has its own
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	defer signal.Stop(ends)
	if opt.ahead != 0 && getenv(laboratory) == "" {
		return cli.Coded{Code: cli.Usage, Err: fmt.Errorf("clock-ahead: for the laboratory alone, which sets %s", laboratory)}
	}
	cfg, err := config.Load(getenv, opt.site)
	if err != nil {
		return cli.Coded{Code: cli.Usage, Err: err}
	}
	debug.SetGCPercent(gcPercent)
	runtimeLimits(cfg, 1)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	bodies, answers := buffers.New(cfg.Buffers/2), buffers.New(cfg.Buffers/2)
	members := pool.New(pool.Options{MaxConnections: cfg.MemberSockets, ResponseMemory: answers, LoadFields: cfg.Deployment.LoadFields(),
		IdleTimeout: cfg.Deployment.ConnIdle, ConnectTimeout: cfg.Deployment.ConnectWait})
	defer members.Close()
	g := &gateway{failed: make(chan error, 3), state: service.New(), cfg: cfg, members: members, bodies: bodies, answers: answers}
	defer g.close()
	heir := g.meet(cfg, getenv)
	defer heir.Close()
	var link *peer.Link
	var tell func(int, []byte)
	if cfg.PeerListen.IsValid() {
		if link, err = g.link(cfg, heir); err != nil {
			return fmt.Errorf("peer_listen: %w", err)
		}
		defer link.Close()
		tell, g.peers = link.Tell, link
	}
	clock := core.NewClock().WithOffset(opt.ahead)
	decisions, err := core.New(cfg.Deployment.Settings, cfg.Seed, clock, members, tell)
	if err != nil {
		return err
	}
	if conf := cfg.Site.Storm; conf != nil {
		decisions.EnableStormControl(cfg.Deployment.Settings, storm.Options{Seed: cfg.Seed, RetryShare: conf.RetryShare, MostWait: conf.MostWait,
			ConnectionsPerS: conf.ConnectionsPerS})
	}
	roster := discovery.NewRoster(members, decisions.Servers, cfg.Deployment.Zones, cfg.Deployment.Kinds)
	g.decisions, g.roster, g.settings = decisions, roster, platform.NewSettings(cfg.Deployment)

	ready := func() bool { return g.state.Ready() && members.ReadyServers() > 0 }
	if cfg.Control != "" {
		if err := g.control(cfg.Control, func() bool { return members.ReadyServers() > 0 }); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	listen := front.Options{Address: cfg.Listen, MaxConnections: cfg.ClientSockets, MaxRequestDeadline: cfg.Deployment.LongestDeadline(),
		State: g.state, ReusePort: g.path != "", Listener: heir.Listener(cfg.Listen)}
	if cfg.Site.Storm != nil {
		listen.Admit = decisions.AdmitConnection
		g.counters = append(g.counters, func() core.Counts {
			return append(core.Counts{slog.String("part", "storm")}, decisions.StormCounters()...)
		})
	}
	door := &platform.Front{Core: decisions, Settings: g.settings, Ready: ready, OpenRequests: &g.ids, Bodies: bodies}
	if err := g.open(listen, door); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	g.counters = append(g.counters, func() core.Counts {
		return part("gateway", door.Malformed(), decisions.Counters())
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
			l := link.Counts()
			c = append(c, slog.Uint64("datagrams_heard", l.Heard), slog.Uint64("datagrams_odd", l.Odd),
				slog.Uint64("datagrams_told", l.Told), slog.Uint64("datagrams_dropped", l.Dropped))
		}
		return c
	})
	if cfg.Site.Introspection != nil {
		if err := g.introspection(cfg, heir, listen, clock, decisions, ready); err != nil {
			return fmt.Errorf("introspection: %w", err)
		}
	}
	if !g.inherit(heir) {
		roster.Apply(policy.ListCached, cfg.Known.Instances)
		roster.At(cfg.Known.Generation)
	}
	kept, err := g.keep(cfg)
	if err != nil {
		return fmt.Errorf("store.path: %w", err)
	}
	defer kept()
	if g.checker != nil {
		if err := g.checker.Start(g.checks); err != nil {
			slog.Warn("handover", "step", "checks", "err", err)
		}
	}
	if cfg.Site.Storm != nil {
		go decisions.RunStormControl(ctx)
	}
	if link != nil {
		take := decisions.PeerMessage
		if opt.datagrams && cfg.Deployment.Peers && cfg.Deployment.Gateways > 1 {
			take = g.datagrams(ctx, cfg, link, clock, decisions, roster)
		}
		crowd := g.inflight(ctx, cfg, link, decisions, roster)
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
			slog.Uint64("turned_away", c.TurnedAway), slog.Uint64("unanswered", c.Unanswered),
			slog.Duration("silent", roster.Silent())}
	})
	g.counters = append(g.counters, func() core.Counts {
		_, counts := decisions.Recovery()
		return append(core.Counts{slog.String("part", "recovery")}, counts...)
	})
	g.give() // before the first yes: whoever hears that may start a successor
	g.follow(ctx, false)
	g.knowledge(cfg, opt.program, clock, decisions, roster)
	slog.Info("started", "name", cfg.Name, "listen", cfg.Listen, "members", members.ReadyServers(),
		"gateways", cfg.Deployment.Gateways)
	ended := make(chan bool)
	for {
		select {
		case err := <-g.failed:
			g.report("counters")
			return fmt.Errorf("virtual server: %w", err)
		case <-ended:
			g.report("stopped")
			return nil
		case <-ends: // all that was taken has its answer by its own deadline, or by when this process is to be gone
			giveUp, within := service.ShutdownTimes(g.longest())
			if g.state.Shutdown(time.Now(), within) {
				time.AfterFunc(giveUp, g.decisions.Shutdown)
				go func() { g.end(); close(ended) }()
			}
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				g.report("counters")
				continue
			}
			// During a drain too: what is still open needs the pool's news.
			if err := g.reload(ctx, cfg, getenv, opt.site); err != nil {
				slog.Error("reload_failed", "err", err)
			}
		}
	}
}

// runtimeLimits keeps Go's own runtime inside the gateway's limits, or one of so many processes inside its part.
func runtimeLimits(cfg *config.Config, processes int) {
	runtime.GOMAXPROCS(cfg.Cores)
	debug.SetMemoryLimit(int64(memoryShare*float64(cfg.MemoryBytes)) / int64(processes))
}

// follow watches the pool's source, in the place of another that was watched: a roster takes one at a time. A source that
// is followed anew is asked for its whole list, as what the one before held back would else be missed.
func (g *gateway) follow(ctx context.Context, anew bool) {
	if g.unfollow != nil {
		g.unfollow()
	}
	g.mu.Lock()
	cfg := g.cfg
	g.mu.Unlock()
	held := g.roster.Version()
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	pauses := discovery.NewPauses(cfg.Seed, cfg.Deployment.ListRefreshWithin)
	done.Go(func() {
		if cfg.Site.Consul != nil {
			discovery.WatchConsul(ctx, *cfg.Site.Consul, pauses, g.roster)
		} else {
			discovery.Watch(ctx, cfg.Discovery, held, anew, pauses, g.roster)
		}
	})
	g.unfollow = func() { cancel(); done.Wait() }
}

// gateway is what runs: its virtual servers and what they count.
type gateway struct {
	members   *pool.Pool
	bodies    *buffers.Budget
	answers   *buffers.Budget
	decisions *core.Core
	roster    *discovery.Roster
	settings  *platform.Settings
	crowd     *inflight.Carrier // nil: none
	seq       uint16            // of the words that a predecessor has told
	checks    []byte            // what it knew of the checks
	unfollow  func()            // ends the watch of the pool's source
	servers   []*front.Server
	path      string              // where a successor finds this process; empty: nowhere
	given     *handover.Giver     // nil: nobody can follow
	peers     *peer.Link          // nil: none
	checker   *introspect.Checker // nil: off
	ids       platform.OpenRequests
	counters  []func() core.Counts
	closers   []func()
	state     *service.State
	failed    chan error

	mu    sync.Mutex
	cfg   *config.Config // in force
	other *handover.Use  // of another process of this gateway; nil: there is none
	took  time.Duration  // the longest deadline that what is open may have been taken under
}

func (g *gateway) close() {
	for _, s := range g.servers {
		s.Close()
	}
	for _, c := range g.closers {
		c()
	}
}

func (g *gateway) open(opt front.Options, handler http.Handler) error {
	listen := func() (*front.Server, error) { return front.Listen(opt, handler) }
	server, err := listen()
	if g.path != "" && err != nil {
		server, err = retry(listen)
	}
	if err != nil {
		return err
	}
	if opt.Listener != nil { // what comes is the predecessor's until it has handed over
		server.Pause()
	}
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(); err != nil {
			g.failed <- err
		}
	}()
	return nil
}

// introspection opens the second front, with a core of its own for the checks.
func (g *gateway) introspection(cfg *config.Config, heir *handover.Heir, opt front.Options, clock core.Clock, decisions *core.Core,
	ready func() bool) error {
	conf := *cfg.Site.Introspection
	var link *peer.Link
	var tell func(int, []byte)
	var err error
	if conf.Link.IsValid() {
		if link, err = peer.Listen(conf.Link, conf.Linked, netip.AddrPort{}); err != nil {
			return fmt.Errorf("peer_listen: %w", err)
		}
		tell = link.Tell
	}
	checker, err := introspect.NewChecker(conf, cfg.Deployment, cfg.CheckSockets, ^cfg.Seed, clock, tell)
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
	door := &introspect.Front{Core: decisions, Checker: checker, Settings: g.settings, Ready: ready, OpenRequests: &g.ids, Bodies: g.bodies}
	g.counters = append(g.counters, func() core.Counts {
		return part("introspection", door.Malformed(), checker.Counters())
	})
	return g.open(opt, door)
}

// keep recalls what the former life of this gateway has kept, where the site's file has a store, and keeps on. What it gives back
// ends that, once all is answered. A predecessor that is still ending has the folder: then what it handed over is known already.
func (g *gateway) keep(cfg *config.Config) (end func(), err error) {
	conf := cfg.Site.Store
	if conf == nil {
		return func() {}, nil
	}
	opt := keep.Options{Path: conf.Path, Name: cfg.Name, Store: store.Options{FlushEvery: conf.FlushEvery(), MostBytes: conf.MostBytes()}}
	for _, p := range cfg.Deployment.Plans {
		opt.Plans = append(opt.Plans, p.Name)
	}
	k, err := keep.Open(opt, g.decisions)
	if err != nil {
		return nil, err
	}
	g.counters = append(g.counters, func() core.Counts {
		f := k.Figures()
		counts := core.Counts{slog.String("part", "store"), slog.Uint64("epoch", f.Epoch), slog.Int("recalled", f.Recalled), slog.Int("entries", f.Entries),
			slog.Int64("bytes", f.Bytes), slog.Uint64("writes", f.Writes), slog.Uint64("syncs", f.Syncs), slog.Int64("cut", f.Cut)}
		if f.Failed != nil {
			counts = append(counts, slog.String("failed", f.Failed.Error()))
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
func (g *gateway) knowledge(cfg *config.Config, program string, clock core.Clock, decisions *core.Core, roster *discovery.Roster) {
	conf := cfg.Site.Knowledge
	if conf == nil {
		g.state.MarkStarted()
		return
	}
	h := helper.Open(program, pipe.Hello{Me: knowledge.Observer{Name: cfg.Name, Birth: uint64(clock.Now() / time.Millisecond)},
		Listen: conf.Listen, Peers: conf.Peers, Plain: conf.Plain, CertFile: conf.CertFile, KeyFile: conf.KeyFile,
		CAFile: conf.CAFile, ServerName: conf.ServerName, SuspectShare: conf.SuspectShare,
		RoomMost: helper.RoomMost(cfg.Deployment.Gateways)}, &helper.Gateway{Core: decisions, Roster: roster})
	g.closers = append(g.closers, h.Close)
	g.counters = append(g.counters, func() core.Counts {
		return append(core.Counts{slog.String("part", "knowledge")}, h.Counters()...)
	})
	go func() {
		h.Learnt(conf.Wait)
		g.state.MarkStarted()
	}()
}

// datagrams lets a gateway that has just started ask its peers what they know, in the datagrams that there are. What
// comes in is theirs or the module's by its first byte.
func (g *gateway) datagrams(ctx context.Context, cfg *config.Config, link *peer.Link, clock core.Clock, decisions *core.Core,
	roster *discovery.Roster) func(int, []byte) {
	d := cfg.Deployment
	exchange := datagram.New(&helper.Gateway{Core: decisions, Roster: roster}, link.Tell, clock.Now, d.Self, d.Gateways,
		helper.RoomMost(d.Gateways))
	g.counters = append(g.counters, func() core.Counts {
		c := exchange.Counters()
		return core.Counts{slog.String("part", "datagrams"), slog.Uint64("asked", c.Asked), slog.Uint64("answered", c.Answered),
			slog.Uint64("heard", c.Heard), slog.Uint64("odd", c.Odd), slog.Uint64("priors", c.Priors)}
	})
	go exchange.Run(ctx)
	return func(from int, m []byte) {
		if datagram.Is(m) {
			exchange.Take(from, m)
		} else {
			decisions.PeerMessage(from, m)
		}
	}
}

// inflight lets neighbours in a large fleet tell each other what they have out at the members that they share.
func (g *gateway) inflight(ctx context.Context, cfg *config.Config, link *peer.Link, decisions *core.Core,
	roster *discovery.Roster) func(int, []byte) {
	d := cfg.Deployment
	board := inflight.New(d.Self, d.Gateways, d.PeerMessageRate)
	if board == nil || !d.Peers {
		return func(int, []byte) {}
	}
	c := inflight.Carry(board, decisions, roster, link.Tell)
	c.Resume(g.seq)
	g.crowd = c
	g.counters = append(g.counters, func() core.Counts { return append(core.Counts{slog.String("part", "inflight")}, c.Counters()...) })
	go c.Run(ctx)
	return c.Take
}

// part names whose counters they are.
func part(name string, malformed uint64, counts core.Counts) core.Counts {
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
	fixed := start.Fixed(next)
	next.Deployment, _ = next.Deployment.Keep(start.Deployment)
	if next.Deployment.Era = was.Deployment.Era; !next.Deployment.Same(was.Deployment) {
		if g.checker != nil {
			if err := g.checker.SetDeployment(next.Deployment, ^next.Seed); err != nil {
				return err
			}
		}
		if next.Deployment.Era, err = g.decisions.Reconfigure(next.Deployment.Settings, next.Seed); err != nil {
			return err
		}
		g.settings.Set(next.Deployment)
		g.members.SetTimeouts(next.Deployment.ConnIdle, next.Deployment.ConnectWait)
	}
	g.mu.Lock()
	g.cfg, g.took = next, max(g.took, was.Deployment.LongestDeadline())
	g.mu.Unlock()
	g.share()
	if next.Discovery != was.Discovery || !next.Site.SameConsul(was.Site) {
		g.follow(ctx, true)
	}
	slog.Info("reloaded", "discovery", next.Discovery, "era", next.Deployment.Era, "classes", len(next.Deployment.Classes),
		"plans", len(next.Deployment.Plans), "until_restart", fixed)
	return nil
}

// longest is how long what is open may still take.
func (g *gateway) longest() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.took, g.cfg.Deployment.LongestDeadline())
}

// beside takes in what another process of this gateway uses of its limits; nil: there is none.
func (g *gateway) beside(use *handover.Use) {
	g.mu.Lock()
	g.other = use
	g.mu.Unlock()
	g.share()
}

// share keeps this process inside the limits, less what another one uses.
func (g *gateway) share() {
	g.mu.Lock()
	defer g.mu.Unlock()
	other, processes := handover.Use{}, 1
	if g.other != nil {
		other, processes = *g.other, 2
	}
	runtimeLimits(g.cfg, processes)
	g.members.SetMaxConnections(max(1, g.cfg.MemberSockets-other.Members))
	g.bodies.SetLimit(g.cfg.Buffers / 2 / int64(processes))
	g.answers.SetLimit(g.cfg.Buffers / 2 / int64(processes))
	for _, s := range g.servers {
		s.SetMaxConnections(max(1, g.cfg.ClientSockets-other.Clients))
	}
	if g.checker != nil {
		g.checker.SetMaxConnections(g.cfg.CheckSockets / processes)
	}
}

// control opens the operators' address.
func (g *gateway) control(addr string, ready func() bool) error {
	server, err := control.Listen(addr, config.ControlCallers, g.state, ready)
	if err != nil {
		return err
	}
	g.closers = append(g.closers, server.Close)
	server.ReadyDetail = func() string {
		phase, _ := g.decisions.Recovery()
		return "recovery=" + phase.String()
	}
	g.counters = append(g.counters, func() core.Counts {
		c := server.Stats()
		return core.Counts{slog.String("part", "control"), slog.String("phase", g.state.Phase().String()),
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
func (g *gateway) end() {
	for open := -1; !g.state.MayExit(time.Now(), open); time.Sleep(10 * time.Millisecond) {
		open = g.clients()
	}
}

func (g *gateway) report(event string) {
	for _, c := range g.counters {
		slog.LogAttrs(context.Background(), slog.LevelInfo, event, c()...)
	}
}

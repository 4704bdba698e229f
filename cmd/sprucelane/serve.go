package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/cli"
	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/service"
	"sprucelane.example/sprucelane/policy"
)

// gcPercent is Go's GOGC. The live heap is a few MB, so collecting less often than at the default of 100 saves CPU
// time and costs little memory; the memory limit still applies (setRuntimeLimits).
const gcPercent = 400

// labVariable is the environment variable that must be set for options that only laboratory tests use; without it
// they are rejected.
const labVariable = "SPRUCELANE_LABORATORY"

// options holds the command-line flags that a gateway uses.
type options struct {
	siteFile        string        // path of the site file; see config.Site
	linkProgram     string        // path of the program that exchanges knowledge with other gateways
	learnByDatagram bool          // whether a gateway that starts asks its peers for knowledge by datagram
	clockAhead      time.Duration // how far this process's clock is ahead of the other gateways'; laboratory only
}

// signalChannels holds the channels of the signals that a gateway handles. Shutdown has a separate channel, because a
// signal is dropped if its channel is full.
type signalChannels struct {
	operator chan os.Signal // SIGUSR1, SIGHUP
	shutdown chan os.Signal // SIGTERM, SIGINT
}

func notifySignals() signalChannels {
	s := signalChannels{operator: make(chan os.Signal, 4), shutdown: make(chan os.Signal, 1)}
	signal.Notify(s.operator, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(s.shutdown, syscall.SIGTERM, os.Interrupt)
	return s
}

func (s signalChannels) stop() {
	signal.Stop(s.operator)
	signal.Stop(s.shutdown)
}

// serve runs a gateway until a graceful shutdown has ended, or until it fails. An error caused by the command line or
// the configuration is a [cli.ExitError] with code [cli.ExitUsage].
//
// The order of the steps matters. Sockets are open before the predecessor is asked to stop, so that no connection is
// refused in an upgrade. The predecessor's state is imported before the first server list and before the store is
// read, because it is newer than both. The process listens for a successor before it first reports that it is ready.
func serve(getenv func(string) string, opt options) error {
	signals := notifySignals()
	defer signals.stop()
	if opt.clockAhead != 0 && getenv(labVariable) == "" {
		return cli.ExitError{Code: cli.ExitUsage,
			Err: fmt.Errorf("clock-ahead: for the laboratory alone, which sets %s", labVariable)}
	}
	cfg, err := config.Load(getenv, opt.siteFile)
	if err != nil {
		return cli.ExitError{Code: cli.ExitUsage, Err: err}
	}
	debug.SetGCPercent(gcPercent)
	setRuntimeLimits(cfg, 1)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newGateway(cfg, core.NewClock().WithOffset(opt.clockAhead))
	defer g.pool.Close()
	defer g.close()
	asSuccessor := g.connectPredecessor(getenv("TMPDIR"))
	defer asSuccessor.Close()
	if cfg.PeerListen.IsValid() {
		if err := g.openPeerLink(asSuccessor); err != nil {
			return fmt.Errorf("peer_listen: %w", err)
		}
		defer g.peerLink.Close()
	}
	if err := g.openCore(); err != nil {
		return err
	}
	if cfg.Control != "" {
		if err := g.openControl(); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	if err := g.openFronts(asSuccessor); err != nil {
		return err
	}
	if !g.takeOver(asSuccessor) {
		g.membership.Apply(policy.ListCached, cfg.KnownServers.Instances)
		g.membership.SetVersion(cfg.KnownServers.Generation)
	}
	closeStore, err := g.openStore()
	if err != nil {
		return fmt.Errorf("store.path: %w", err)
	}
	defer closeStore()
	if g.checker != nil {
		if err := g.checker.Start(g.checkerState); err != nil {
			slog.Warn("handover", "step", "checks", "err", err)
		}
	}
	if cfg.Site.Storm != nil {
		go g.core.RunStormControl(ctx)
	}
	if g.peerLink != nil {
		g.startPeerExchange(ctx, opt.learnByDatagram)
	}
	g.addCounters(g.discoveryCounts, g.recoveryCounts)
	g.listenForSuccessor() // before this process is ready, as an operator may start a successor as soon as it is
	g.startDiscovery(ctx, false)
	g.startKnowledgeExchange(opt.linkProgram)
	slog.Info("started", "name", cfg.Name, "listen", cfg.Listen, "members", g.pool.ReadyServers(),
		"gateways", cfg.Deployment.Gateways)
	return g.handleSignals(signals, func() error { return g.reload(ctx, getenv, opt.siteFile) })
}

// handleSignals handles signals until a graceful shutdown has ended, and returns nil, or until a listener fails, and
// returns its error.
func (g *gateway) handleSignals(signals signalChannels, reload func() error) error {
	idle := make(chan struct{}) // closed when a shutdown has ended
	for {
		select {
		case err := <-g.failed:
			g.logCounters("counters")
			return fmt.Errorf("virtual server: %w", err)
		case <-idle:
			g.logCounters("stopped")
			return nil
		case <-signals.shutdown:
			responses, exit := service.ShutdownTimes(g.maxDeadline())
			if g.phase.Shutdown(time.Now(), exit) {
				time.AfterFunc(responses, g.core.Shutdown)
				go func() {
					g.waitUntilIdle()
					close(idle)
				}()
			}
		case s := <-signals.operator:
			if s == syscall.SIGUSR1 {
				g.logCounters("counters")
				continue
			}
			// A reload takes effect during a drain as well, because open requests need the updates of the pool.
			if err := reload(); err != nil {
				slog.Error("reload_failed", "err", err)
			}
		}
	}
}

// waitUntilIdle waits until the process may exit, which g.phase decides by the number of open client connections.
func (g *gateway) waitUntilIdle() {
	for open := -1; !g.phase.MayExit(time.Now(), open); time.Sleep(10 * time.Millisecond) {
		open = g.clientConns()
	}
}

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
// time for little memory; the memory limit holds all the same (setRuntimeLimits).
const gcPercent = 400

// labVariable names the environment variable without which options for tests in the laboratory are rejected.
const labVariable = "SPRUCELANE_LABORATORY"

// options are the flags of the command line that a gateway depends on.
type options struct {
	siteFile        string        // path of the site file; see config.Site
	linkProgram     string        // path of the program that exchanges knowledge with other gateways
	learnByDatagram bool          // whether a gateway that starts asks its peers for knowledge by datagram
	clockAhead      time.Duration // how far this process's clock is ahead of the others'; in the laboratory only
}

// signalChannels are the channels of the signals that a gateway handles. Shutdown has a channel of its own, as a
// signal that finds its channel full is dropped.
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

// serve runs a gateway until a graceful shutdown has ended, or until it fails. An error that the command line or the
// configuration is the cause of is a [cli.ExitError] with code [cli.ExitUsage].
//
// The order of the steps matters: sockets are open before the predecessor is asked to stop, so that no connection is
// refused in an upgrade; its state is imported before the first server list and before the store is read, as it is
// newer than both; and the process can be followed by a successor before it first reports that it is ready.
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
	g.listenForSuccessor() // before this process is ready: whoever sees that may start a successor
	g.startDiscovery(ctx, false)
	g.startKnowledgeExchange(opt.linkProgram)
	slog.Info("started", "name", cfg.Name, "listen", cfg.Listen, "members", g.pool.ReadyServers(),
		"gateways", cfg.Deployment.Gateways)
	return g.handleSignals(signals, func() error { return g.reload(ctx, getenv, opt.siteFile) })
}

// handleSignals returns once a graceful shutdown has ended, with nil, or once a listener has failed.
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
			// A reload counts during a drain as well: open requests need the updates of the pool.
			if err := reload(); err != nil {
				slog.Error("reload_failed", "err", err)
			}
		}
	}
}

// waitUntilIdle waits until the process may exit, which the phase decides by the number of open client connections.
func (g *gateway) waitUntilIdle() {
	for open := -1; !g.phase.MayExit(time.Now(), open); time.Sleep(10 * time.Millisecond) {
		open = g.clientConns()
	}
}

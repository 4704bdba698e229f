package main

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/daemon/discovery"
	"sprucelane.example/sprucelane/internal/daemon/handover"
)

// heapShare is the fraction of the memory limit that is set as the Go runtime's limit. The rest is for memory that the
// runtime doesn't count, such as the program's code and the kernel's buffers.
const heapShare = 0.75

// reload reads the configuration again and applies it: the settings to requests that arrive from now on, discovery,
// and the limits. All of it is checked first; a configuration with an error changes nothing. The log line names the
// changed keys that take effect only after a restart.
func (g *gateway) reload(ctx context.Context, getenv func(string) string, siteFile string) error {
	g.mu.Lock()
	before := g.cfg
	g.mu.Unlock()
	next, err := config.Reload(getenv, siteFile, before)
	if err != nil {
		return err
	}
	untilRestart := g.start.RestartKeys(next)
	next.Deployment, _ = next.Deployment.WithRestartKeysOf(g.start.Deployment)
	if next.Deployment.Generation = before.Deployment.Generation; !next.Deployment.Equal(before.Deployment) {
		if g.checker != nil {
			if err := g.checker.SetDeployment(next.Deployment, checkerSeed(next)); err != nil {
				return err
			}
		}
		if next.Deployment.Generation, err = g.core.Reconfigure(next.Deployment.Settings, next.Seed); err != nil {
			return err
		}
		g.settings.Set(next.Deployment)
		g.pool.SetTimeouts(next.Deployment.IdleTimeout, next.Deployment.ConnectTimeout)
	}
	g.mu.Lock()
	g.cfg, g.maxDeadlineBefore = next, max(g.maxDeadlineBefore, before.Deployment.MaxDeadline())
	g.mu.Unlock()
	g.applyLimits()
	if next.Discovery != before.Discovery || !next.Site.SameConsul(before.Site) {
		g.startDiscovery(ctx, true)
	}
	slog.Info("reloaded", "discovery", next.Discovery, "era", next.Deployment.Generation,
		"classes", len(next.Deployment.Classes), "plans", len(next.Deployment.Plans), "until_restart", untilRestart)
	return nil
}

// startDiscovery stops watching the earlier source of server lists, if any, and watches the configured one: the
// membership accepts one source at a time. If wholeList is set, the source is first asked for its whole list, because
// changes that an earlier source held back would be missed otherwise.
func (g *gateway) startDiscovery(ctx context.Context, wholeList bool) {
	if g.stopDiscovery != nil {
		g.stopDiscovery()
	}
	g.mu.Lock()
	cfg := g.cfg
	g.mu.Unlock()
	start := discovery.WatchStart{Addr: cfg.Discovery, Version: g.membership.Version(), WholeList: wholeList}
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	backoff := discovery.NewBackoff(cfg.Seed, cfg.Deployment.ListRefreshWithin)
	done.Go(func() {
		if cfg.Site.Consul != nil {
			discovery.WatchConsul(ctx, *cfg.Site.Consul, backoff, g.membership)
		} else {
			discovery.Watch(ctx, start, backoff, g.membership)
		}
	})
	g.stopDiscovery = func() { cancel(); done.Wait() }
}

// maxDeadline returns the longest deadline that an open request may have.
func (g *gateway) maxDeadline() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.maxDeadlineBefore, g.cfg.Deployment.MaxDeadline())
}

// setOtherUsage records what another process of this gateway uses of the limits, and applies them anew. A nil usage
// means that there is no other process.
func (g *gateway) setOtherUsage(usage *handover.Usage) {
	g.mu.Lock()
	g.otherUsage = usage
	g.mu.Unlock()
	g.applyLimits()
}

// applyLimits sets the limits of this process to those in force, less what another process of this gateway uses.
// Connections are subtracted by their reported number; memory and the connections of the token checks are halved,
// because their usage is not reported.
func (g *gateway) applyLimits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	other, processes := handover.Usage{}, 1
	if g.otherUsage != nil {
		other, processes = *g.otherUsage, 2
	}
	setRuntimeLimits(g.cfg, processes)
	g.pool.SetMaxConnections(max(1, g.cfg.ServerConns-other.ServerConns))
	g.requestMemory.SetLimit(g.cfg.BufferMemory / 2 / int64(processes))
	g.responseMemory.SetLimit(g.cfg.BufferMemory / 2 / int64(processes))
	for _, s := range g.fronts {
		s.SetMaxConnections(max(1, g.cfg.ClientConns-other.ClientConns))
	}
	if g.checker != nil {
		g.checker.SetMaxConnections(g.cfg.CheckConns / processes)
	}
}

// setRuntimeLimits sets the limits of the Go runtime: the gateway's number of cores, and an equal share of its memory
// for each of its processes.
func setRuntimeLimits(cfg *config.Config, processes int) {
	runtime.GOMAXPROCS(cfg.Cores)
	debug.SetMemoryLimit(int64(heapShare*float64(cfg.MemoryBytes)) / int64(processes))
}

// Command sprucelane is one gateway of the fleet. This file owns the wiring and the signals; it must never look
// into a request or a list.
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/config"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/discovery"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/front/platform"
	"sprucelane.example/sprucelane/internal/peer"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/policy"
)

const (
	memoryShare = 0.75 // of the memory limit that the heap keeps to; the rest is stacks and the runtime's own
	gcPercent   = 400  // the live heap is a few MB: collecting less often costs little memory
)

func main() {
	log.SetFlags(log.Ldate | log.Lmicroseconds)
	if err := run(os.Getenv, config.SiteFile); err != nil {
		log.Fatalf("event=failed err=%q", err)
	}
}

func run(getenv func(string) string, siteFile string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGUSR1)
	cfg, err := config.Load(getenv, siteFile)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(cfg.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryBytes)))
	debug.SetGCPercent(gcPercent)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	members := pool.New(pool.Options{Sockets: cfg.MemberSockets, ConnIdle: cfg.Deployment.ConnIdle,
		ConnectWait: cfg.Deployment.ConnectWait})
	var link *peer.Link
	var tell func(int, []byte)
	if cfg.PeerListen.IsValid() {
		if link, err = peer.Listen(cfg.PeerListen, cfg.Peers, cfg.PeersAll); err != nil {
			return fmt.Errorf("peer_listen: %w", err)
		}
		tell = link.Tell
	}
	decisions, err := core.New(cfg.Deployment.Settings, cfg.Seed, core.NewClock(), members, tell)
	if err != nil {
		return err
	}
	roster := discovery.NewRoster(members, decisions.Servers, cfg.Deployment.Zones, cfg.Deployment.Kinds)
	roster.Apply(policy.ListCached, cfg.Known.Instances)

	var server *front.Server
	door := &platform.Front{Core: decisions, Deployment: cfg.Deployment,
		Ready: func() bool { return !server.Draining() && members.Ready() > 0 }}
	server, err = front.Listen(front.Options{Listen: cfg.Listen, Sockets: cfg.ClientSockets,
		LongestDeadline: cfg.Deployment.LongestDeadline()}, door)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	if link != nil {
		go link.Serve(decisions.PeerMessage)
	}
	if cfg.Site.Consul != nil {
		go discovery.WatchConsul(ctx, *cfg.Site.Consul, roster)
	} else {
		go discovery.Watch(ctx, cfg.Discovery, cfg.Known, roster)
	}
	log.Printf("event=started name=%s listen=%s members=%d gateways=%d", cfg.Name, cfg.Listen, members.Ready(),
		cfg.Deployment.Gateways)
	report := func(event string) {
		log.Printf("event=%s name=%s malformed=%d %s", event, cfg.Name, door.Malformed(), decisions.Counters())
	}
	for {
		select {
		case err := <-failed:
			report("counters")
			return fmt.Errorf("virtual server: %w", err)
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				report("counters")
				continue
			}
			// All that was taken has its answer by its own deadline.
			limit, cancel := context.WithTimeout(ctx, cfg.Deployment.LongestDeadline()+time.Second)
			server.Drain(limit)
			cancel()
			report("stopped")
			return nil
		}
	}
}

package main

import (
	"context"
	"log/slog"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/inflight"
	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/datagram"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/helper"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/pipe"
	"sprucelane.example/sprucelane/internal/storm"
)

// startPeerExchange starts all exchanges that use datagrams between peers. The first byte of a datagram selects its
// receiver: the storm control, the load exchange, the datagram exchange or, for any other value, the policy.
func (g *gateway) startPeerExchange(ctx context.Context, learnByDatagram bool) {
	receive := g.core.PeerMessage
	if d := g.start.Deployment; learnByDatagram && d.Peers && d.Gateways > 1 {
		receive = g.startDatagramExchange(ctx)
	}
	receiveLoads := g.startLoadExchange(ctx)
	go g.peerLink.Serve(func(from int, message []byte) {
		switch {
		case len(message) > 0 && message[0] == storm.Kind:
			g.core.StormMessage(from, message)
		case len(message) > 0 && message[0] == inflight.Kind:
			receiveLoads(from, message)
		default:
			receive(from, message)
		}
	})
}

// startDatagramExchange starts the exchange by which a gateway that has just started asks its peers for their
// knowledge of the servers. It returns the function that receives the datagrams of the exchange and of the policy.
func (g *gateway) startDatagramExchange(ctx context.Context) func(from int, message []byte) {
	d := g.start.Deployment
	exchange := datagram.New(&helper.Gateway{Core: g.core, Membership: g.membership}, g.peerLink.Send, g.clock.Now, d.Self,
		d.Gateways, helper.MaxRoom(d.Gateways))
	g.addCounters(func() core.Counts { return datagramCounts(exchange) })
	go exchange.Run(ctx)
	return func(from int, message []byte) {
		if datagram.IsMessage(message) {
			exchange.Receive(from, message)
		} else {
			g.core.PeerMessage(from, message)
		}
	}
}

// startLoadExchange starts the exchange by which gateways of a large fleet send their neighbors the number of requests
// that they have in flight at shared servers. It returns the function that receives the exchange's datagrams. In a
// small fleet, or in a deployment without peers, it starts nothing, and the returned function ignores datagrams.
func (g *gateway) startLoadExchange(ctx context.Context) func(from int, message []byte) {
	d := g.start.Deployment
	tracker := inflight.New(d.Self, d.Gateways, d.PeerMessageRate)
	if tracker == nil || !d.Peers {
		return func(int, []byte) {}
	}
	g.loadExchange = inflight.NewExchange(tracker, g.core, g.membership, g.peerLink.Send)
	g.loadExchange.Resume(g.loadExchangeSeq)
	g.addCounters(func() core.Counts { return loadExchangeCounts(g.loadExchange) })
	go g.loadExchange.Run(ctx)
	return g.loadExchange.Receive
}

// startKnowledgeExchange starts the program that exchanges knowledge of the servers with peers, if the site file
// configures it. The gateway is ready once it has received its peers' knowledge, or has waited for knowledge.wait_ms.
func (g *gateway) startKnowledgeExchange(linkProgram string) {
	conf := g.start.Site.Knowledge
	if conf == nil {
		g.phase.MarkStarted()
		return
	}
	link := helper.Open(linkProgram, pipe.Hello{
		Me:     knowledge.Observer{Name: g.start.Name, Birth: uint64(g.clock.Now() / time.Millisecond)},
		Listen: conf.Listen, Peers: conf.Peers,
		Plain: conf.Plain, CertFile: conf.CertFile, KeyFile: conf.KeyFile, CAFile: conf.CAFile, ServerName: conf.ServerName,
		SuspectShare: conf.SuspectShare, RoomMost: helper.MaxRoom(g.start.Deployment.Gateways),
	}, &helper.Gateway{Core: g.core, Membership: g.membership})
	g.closers = append(g.closers, link.Close)
	g.addCounters(func() core.Counts { return append(core.Counts{slog.String("part", "knowledge")}, link.Counters()...) })
	go func() {
		link.AwaitInitialSync(conf.Wait)
		g.phase.MarkStarted()
	}()
}

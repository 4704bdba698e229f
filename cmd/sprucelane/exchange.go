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

// startPeerExchange starts all exchanges that use the peers' datagrams. The first byte of a datagram says whose it
// is: the storm control's, the load exchange's, the datagram exchange's or, otherwise, the policy's.
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

// startDatagramExchange lets a gateway that has just started ask its peers what they know of the servers. It returns
// what takes in the exchange's and the policy's datagrams.
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

// startLoadExchange lets gateways of a large fleet tell neighbours how many requests they have in flight at the
// servers that they share. It returns what takes in the exchange's datagrams. In a small fleet it does nothing.
func (g *gateway) startLoadExchange(ctx context.Context) func(from int, message []byte) {
	d := g.start.Deployment
	board := inflight.New(d.Self, d.Gateways, d.PeerMessageRate)
	if board == nil || !d.Peers {
		return func(int, []byte) {}
	}
	g.loadExchange = inflight.NewExchange(board, g.core, g.membership, g.peerLink.Send)
	g.loadExchange.Resume(g.loadExchangeSeq)
	g.addCounters(func() core.Counts { return loadExchangeCounts(g.loadExchange) })
	go g.loadExchange.Run(ctx)
	return g.loadExchange.Receive
}

// startKnowledgeExchange starts the program that exchanges knowledge of the servers with peers, where the site file
// has it. The gateway is ready once it has received its peers' knowledge, or has waited for knowledge.wait_ms.
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

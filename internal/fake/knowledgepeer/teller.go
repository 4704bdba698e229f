// Package knowledgepeer owns a stand-in peer that tells what a script says of pool members: old news, wrong news, nonsense, or
// nothing after the first byte. It must never be linked into the gateway.
package knowledgepeer

import (
	"net"
	"time"

	"google.golang.org/grpc"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
)

// Script gives the picture to tell so long after the call came in, and how long to wait before the next; nil ends the
// call, and a wait below 0 keeps it open in silence.
type Script func(n int, since time.Duration) (*pb.Picture, time.Duration)

// Teller is a peer that tells by a script.
type Teller struct {
	pb.UnimplementedKnowledgeServer
	listener net.Listener
	server   *grpc.Server
	script   Script
}

// Start starts a teller on loopback.
func Start(script Script, opt ...grpc.ServerOption) (*Teller, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Teller{listener: l, server: grpc.NewServer(opt...), script: script}
	pb.RegisterKnowledgeServer(t.server, t)
	go t.server.Serve(l)
	return t, nil
}

// Addr is where it listens.
func (t *Teller) Addr() string { return t.listener.Addr().String() }

// Stop ends it at once.
func (t *Teller) Stop() { t.server.Stop() }

// Watch implements the service.
func (t *Teller) Watch(_ *pb.WatchRequest, to grpc.ServerStreamingServer[pb.Picture]) error {
	began := time.Now()
	for n := 0; ; n++ {
		p, wait := t.script(n, time.Since(began))
		if p == nil {
			return nil
		}
		if err := to.Send(p); err != nil {
			return err
		}
		var next <-chan time.Time
		if wait >= 0 {
			next = time.After(wait)
		}
		select {
		case <-next:
		case <-to.Context().Done():
			return nil
		}
	}
}

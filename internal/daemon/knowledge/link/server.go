package link

// This file has the sending side of a call.

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
)

// newServer returns a gRPC server with the limits of this package.
func newServer(conf *TLS) *grpc.Server {
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxRequestSize), grpc.MaxConcurrentStreams(maxCalls),
		grpc.ConnectionTimeout(sendTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: sendTimeout})}
	if conf != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(conf.Server)))
	}
	return grpc.NewServer(options...)
}

// Watch implements the service Knowledge: it sends a snapshot of the table, and then its changes.
func (e *Exchange) Watch(req *pb.WatchRequest, to grpc.ServerStreamingServer[pb.Picture]) error {
	select {
	case e.callSlots <- struct{}{}:
		defer func() { <-e.callSlots }()
	default:
		return status.Error(codes.ResourceExhausted, "too many readers")
	}
	if req.GetVersion() < oldestVersion {
		return status.Errorf(codes.FailedPrecondition, "version: %d is older than %d", req.GetVersion(), oldestVersion)
	}
	most := MaxFacts
	if n := int(req.GetMostFacts()); n > 0 && n < most {
		most = n
	}
	began, lastSent := time.Now(), time.Time{}
	after, snapshot := uint64(0), true
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	for {
		e.mu.Lock()
		facts, version := e.table.FactsSince(e.opt.Now(), after, most)
		p := &pb.Picture{Version: Version, Oldest: oldestVersion, Teller: e.opt.Self.Name, TellerLife: e.opt.Self.Birth,
			Whole: snapshot, ElapsedMs: milliseconds(time.Since(began)), DeafMs: milliseconds(e.deaf),
			BlindMs: milliseconds(e.blind)}
		e.mu.Unlock()
		for i := range facts {
			p.Facts = append(p.Facts, toWire(&facts[i]))
		}
		if snapshot || len(p.Facts) > 0 || time.Since(lastSent) >= heartbeatInterval {
			if err := e.send(to, p); err != nil {
				return err
			}
			after, snapshot, lastSent = version, false, time.Now()
		}
		select {
		case <-tick.C:
		case <-to.Context().Done():
			return nil
		case <-e.ctx.Done():
			return status.Error(codes.Unavailable, "this gateway ends")
		}
	}
}

// send sends a message, and fails if the reader doesn't receive it within sendTimeout.
func (e *Exchange) send(to grpc.ServerStreamingServer[pb.Picture], p *pb.Picture) error {
	sent := make(chan error, 1)
	go func() { sent <- to.Send(p) }()
	timer := time.NewTimer(sendTimeout)
	defer timer.Stop()
	select {
	case err := <-sent:
		return err
	case <-timer.C:
		return status.Error(codes.DeadlineExceeded, "the reader takes nothing") // the end of the call also ends Send
	case <-e.ctx.Done():
		return status.Error(codes.Unavailable, "this gateway ends")
	}
}

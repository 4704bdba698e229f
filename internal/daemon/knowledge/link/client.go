package link

// This file has the receiving side of a call.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
)

// Dial returns a connection to a peer, which is established when it is first used.
func Dial(addr string, conf *TLS) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if conf != nil {
		creds = credentials.NewTLS(conf.Client)
	}
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(creds), grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: sendTimeout}))
}

// watchPeer calls a peer, and repeats the call with backoff, until the exchange ends.
func (e *Exchange) watchPeer(peer string) {
	backoff, synced := minBackoff, sync.OnceFunc(e.peerSynced)
	for e.ctx.Err() == nil {
		began := time.Now()
		err := e.watchOnce(peer, synced)
		synced()
		if e.ctx.Err() != nil {
			return
		}
		e.mu.Lock()
		e.callErrors++
		e.mu.Unlock()
		slog.Debug("knowledge_call_ended", "peer", peer, "err", err)
		if time.Since(began) > maxBackoff {
			backoff = minBackoff
		}
		timer := time.NewTimer(backoff/2 + rand.N(backoff))
		select {
		case <-timer.C:
		case <-e.ctx.Done():
			timer.Stop()
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// peerSynced records that a peer has sent its snapshot, or failed for the first time.
func (e *Exchange) peerSynced() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unsyncedPeers--; e.unsyncedPeers == 0 {
		close(e.initialSync)
	}
}

// errReceiveTimeout is the cause of the cancellation of a call that received nothing for receiveTimeout.
var errReceiveTimeout = errors.New("no message from the peer within the receive timeout")

// watchOnce makes one call, and merges what it receives until it ends or times out. It calls synced after the snapshot.
func (e *Exchange) watchOnce(peer string, synced func()) error {
	conn, err := Dial(peer, e.opt.TLS)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(e.ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(receiveTimeout, func() { cancel(errReceiveTimeout) })
	defer timeout.Stop()
	began := time.Now()
	call, err := pb.NewKnowledgeClient(conn).Watch(ctx,
		&pb.WatchRequest{Version: Version, Reader: e.opt.Self.Name, MostFacts: MaxFacts})
	if err != nil {
		return err
	}
	var estimator delayEstimator
	for {
		p, err := call.Recv()
		if err != nil {
			return cmp.Or(context.Cause(ctx), err)
		}
		timeout.Reset(receiveTimeout)
		e.receive(p, estimator.delay(time.Since(began), fromMilliseconds(p.GetElapsedMs())))
		if p.GetWhole() {
			synced()
		}
	}
}

// delayEstimator estimates the delay of each message of a call. Without it, facts that were queued on the way would
// be taken for fresh ones. The clocks are not compared: the fastest message of the call is assumed to have had no
// delay.
type delayEstimator struct {
	minDifference time.Duration // smallest difference of the two elapsed times
	known         bool
}

// delay returns the delay of a message from the times after the start of the call at which it was received and sent,
// each by the clock of its side.
func (d *delayEstimator) delay(received, sent time.Duration) time.Duration {
	difference := received - sent
	if !d.known || difference < d.minDifference {
		d.minDifference, d.known = difference, true
	}
	return difference - d.minDifference
}

// receive merges the facts of a message.
func (e *Exchange) receive(p *pb.Picture, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.messages++
	if p.GetOldest() > Version || p.GetVersion() < oldestVersion || len(p.GetFacts()) > MaxFacts {
		e.rejected++
		return
	}
	e.table.Receive(e.opt.Now(), FromWire(p, delay))
}

// FetchPicture calls a gateway and returns its snapshot.
func FetchPicture(ctx context.Context, addr string, conf *TLS, reader string) (*pb.Picture, error) {
	conn, err := Dial(addr, conf)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	call, err := pb.NewKnowledgeClient(conn).Watch(ctx, &pb.WatchRequest{Version: Version, Reader: reader})
	if err != nil {
		return nil, err
	}
	p, err := call.Recv()
	if err == nil && p.GetOldest() > Version {
		err = fmt.Errorf("%s sends messages of version %d, for readers of version %d or later; this program has version %d",
			addr, p.GetVersion(), p.GetOldest(), Version)
	}
	return p, err
}

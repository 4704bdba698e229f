// Package link carries what gateways know of pool members from one to another, over gRPC: it tells what the book of
// this gateway holds, and hears peers. It must never judge a fact, or let a peer take more than its bounds in memory, calls or time.
package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
	"sprucelane.example/sprucelane/internal/knowledge"
	"sprucelane.example/sprucelane/internal/knowledge/pipe"
)

// The bounds of the wire.
const (
	MaxFacts          = 20000   // in a message
	maxMessageSize    = 4 << 20 // of a message
	maxCalls          = 32      // readers at once
	updateInterval    = 250 * time.Millisecond
	heartbeatInterval = time.Second           // a message comes this often at least
	receiveTimeout    = 4 * heartbeatInterval // a teller that says nothing for so long is called anew
	sendTimeout       = 5 * time.Second       // for a reader that takes nothing
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = 5 * time.Second
)

// Options are an exchange's settings.
type Options struct {
	Self   knowledge.Observer
	Table  knowledge.Options
	Listen string   // where peers ask; empty: they can't
	Peers  []string // whom to ask; empty: nobody
	TLS    *TLS     // nil: plain
	Now    func() knowledge.Time
}

// TLS is the identity of a gateway and the roots of its peers'. Both sides show a certificate.
type TLS struct{ Server, Client *tls.Config }

// Exchange is one gateway's part in the exchange of knowledge.
type Exchange struct {
	pb.UnimplementedKnowledgeServer
	opt         Options
	listener    net.Listener
	server      *grpc.Server
	stop        context.CancelFunc
	ctx         context.Context
	done        sync.WaitGroup
	initialSync chan struct{} // closed when every peer has told its picture or failed
	callSlots   chan struct{}

	mu            sync.Mutex
	table         *knowledge.Table
	observations  []knowledge.Observation // as last updated
	deaf          time.Duration
	blind         time.Duration
	priors        uint64
	suspect       uint64
	messages      uint64 // messages
	callErrors    uint64 // calls that ended in an error
	rejected      uint64 // messages of a form that this program doesn't read, or out of bounds
	unsyncedPeers int    // peers of which nothing has come yet
}

// Open starts the exchange for a gateway that has seen this much: it listens where it is told to, and asks its peers.
func Open(opt Options, own []knowledge.Observation) (*Exchange, error) {
	opt.Table.Self = opt.Self
	e := &Exchange{opt: opt, table: knowledge.New(opt.Table), initialSync: make(chan struct{}),
		callSlots: make(chan struct{}, maxCalls), unsyncedPeers: len(opt.Peers)}
	e.ctx, e.stop = context.WithCancel(context.Background())
	if len(opt.Peers) == 0 {
		close(e.initialSync)
	}
	if opt.Listen != "" {
		var err error
		if e.listener, err = net.Listen("tcp", opt.Listen); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		server := []grpc.ServerOption{grpc.MaxRecvMsgSize(1 << 12), grpc.MaxConcurrentStreams(maxCalls),
			grpc.ConnectionTimeout(sendTimeout), grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: sendTimeout})}
		if opt.TLS != nil {
			server = append(server, grpc.Creds(credentials.NewTLS(opt.TLS.Server)))
		}
		e.server = grpc.NewServer(server...)
		pb.RegisterKnowledgeServer(e.server, e)
		e.done.Go(func() { e.server.Serve(e.listener) })
	}
	e.Update(own, 0, 0)
	for _, p := range opt.Peers {
		e.done.Go(func() { e.watchPeer(p) })
	}
	return e, nil
}

// Addr is where the exchange listens; empty: nowhere.
func (e *Exchange) Addr() string {
	if e.listener == nil {
		return ""
	}
	return e.listener.Addr().String()
}

// Close ends the exchange.
func (e *Exchange) Close() {
	e.stop()
	if e.server != nil {
		e.server.Stop()
	}
	e.done.Wait()
}

// Learnt is closed once each peer has told its picture or failed once.
func (e *Exchange) InitialSync() <-chan struct{} { return e.initialSync }

// Update takes in what the gateway itself has seen of the members that are listed, and gives the priors that follow.
// Deaf and blind are how long it has been without word from discovery and without an answer.
func (e *Exchange) Update(own []knowledge.Observation, deaf, blind time.Duration) []knowledge.Prior {
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observations, e.deaf, e.blind = own, deaf, blind
	return e.countPriors(e.table.Update(now, own, deaf, blind))
}

// Priors gives the priors that follow from what has been heard since the last Update.
func (e *Exchange) Priors() []knowledge.Prior {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.countPriors(e.table.Priors(e.opt.Now(), e.observations))
}

// given counts priors that are handed on.
func (e *Exchange) countPriors(list []knowledge.Prior) []knowledge.Prior {
	e.priors += uint64(len(list))
	for _, p := range list {
		if p.Suspect {
			e.suspect++
		}
	}
	return list
}

// Watch tells a peer what is known, and what changes.
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
	began, told := time.Now(), time.Time{}
	after, whole := uint64(0), true
	beat := time.NewTicker(updateInterval)
	defer beat.Stop()
	for {
		e.mu.Lock()
		facts, version := e.table.FactsSince(e.opt.Now(), after, most)
		p := &pb.Picture{Version: Version, Oldest: oldestVersion, Teller: e.opt.Self.Name, TellerLife: e.opt.Self.Birth, Whole: whole,
			ElapsedMs: milliseconds(time.Since(began)), DeafMs: milliseconds(e.deaf), BlindMs: milliseconds(e.blind)}
		e.mu.Unlock()
		for i := range facts {
			p.Facts = append(p.Facts, toWire(&facts[i]))
		}
		if whole || len(p.Facts) > 0 || time.Since(told) >= heartbeatInterval {
			if err := e.send(to, p); err != nil {
				return err
			}
			after, whole, told = version, false, time.Now()
		}
		select {
		case <-beat.C:
		case <-to.Context().Done():
			return nil
		case <-e.ctx.Done():
			return status.Error(codes.Unavailable, "this gateway ends")
		}
	}
}

// send gives a reader so long to take a message.
func (e *Exchange) send(to grpc.ServerStreamingServer[pb.Picture], p *pb.Picture) error {
	sent := make(chan error, 1)
	go func() { sent <- to.Send(p) }()
	wait := time.NewTimer(sendTimeout)
	defer wait.Stop()
	select {
	case err := <-sent:
		return err
	case <-wait.C:
		return status.Error(codes.DeadlineExceeded, "the reader takes nothing") // which ends the Send too
	case <-e.ctx.Done():
		return status.Error(codes.Unavailable, "this gateway ends")
	}
}

// Dial opens a connection to a peer, which comes up when it is first used.
func Dial(addr string, conf *TLS) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if conf != nil {
		creds = credentials.NewTLS(conf.Client)
	}
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(creds), grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: sendTimeout}))
}

// ask hears one peer until the exchange ends, over one call after another.
func (e *Exchange) watchPeer(peer string) {
	pause, once := minBackoff, sync.OnceFunc(e.peerSynced)
	for e.ctx.Err() == nil {
		began := time.Now()
		err := e.watchOnce(peer, once)
		once()
		if e.ctx.Err() != nil {
			return
		}
		e.mu.Lock()
		e.callErrors++
		e.mu.Unlock()
		slog.Debug("knowledge_call_ended", "peer", peer, "err", err)
		if time.Since(began) > maxBackoff {
			pause = minBackoff
		}
		wait := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-wait.C:
		case <-e.ctx.Done():
			wait.Stop()
			return
		}
		pause = min(2*pause, maxBackoff)
	}
}

// came notes that a peer has told its picture, or failed.
func (e *Exchange) peerSynced() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unsyncedPeers--; e.unsyncedPeers == 0 {
		close(e.initialSync)
	}
}

var errReceiveTimeout = errors.New("the peer says nothing")

// hear makes one call, until it ends or the peer falls silent.
func (e *Exchange) watchOnce(peer string, first func()) error {
	conn, err := Dial(peer, e.opt.TLS)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(e.ctx)
	defer cancel(nil)
	silence := time.AfterFunc(receiveTimeout, func() { cancel(errReceiveTimeout) })
	defer silence.Stop()
	began := time.Now()
	call, err := pb.NewKnowledgeClient(conn).Watch(ctx, &pb.WatchRequest{Version: Version, Reader: e.opt.Self.Name, MostFacts: MaxFacts})
	if err != nil {
		return err
	}
	var lag delayEstimator
	for {
		p, err := call.Recv()
		if err != nil {
			return cmpErr(context.Cause(ctx), err)
		}
		silence.Reset(receiveTimeout)
		e.receive(p, lag.delay(time.Since(began), fromMilliseconds(p.GetElapsedMs())))
		if p.GetWhole() {
			first()
		}
	}
}

func cmpErr(cause, err error) error {
	if cause != nil {
		return cause
	}
	return err
}

// lag tells how late messages of one call come: what has piled up on the way would else pass for fresh. The way's
// shortest time is taken for none.
type delayEstimator struct {
	least time.Duration
	known bool
}

func (l *delayEstimator) delay(here, there time.Duration) time.Duration {
	way := here - there
	if !l.known || way < l.least {
		l.least, l.known = way, true
	}
	return way - l.least
}

// take hands a message's facts to the book.
func (e *Exchange) receive(p *pb.Picture, late time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.messages++
	if p.GetOldest() > Version || p.GetVersion() < oldestVersion || len(p.GetFacts()) > MaxFacts {
		e.rejected++
		return
	}
	e.table.Receive(e.opt.Now(), FromWire(p, late))
}

// Counters tells of the exchange.
func (e *Exchange) Counters() []pipe.Counter {
	e.mu.Lock()
	defer e.mu.Unlock()
	facts, observers := e.table.Size()
	list := []pipe.Counter{{Name: "facts", Value: uint64(facts)}, {Name: "observers", Value: uint64(observers)},
		{Name: "messages", Value: e.messages}, {Name: "messages_refused", Value: e.rejected}, {Name: "calls_broken", Value: e.callErrors},
		{Name: "priors", Value: e.priors}, {Name: "priors_suspect", Value: e.suspect}}
	for i, n := range e.table.Counts() {
		list = append(list, pipe.Counter{Name: "facts_" + knowledge.DropReason(i).String(), Value: n})
	}
	return list
}

// Picture asks a gateway once for all that it knows.
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
		err = fmt.Errorf("%s speaks version %d, for readers of %d and later: this program is %d", addr, p.GetVersion(), p.GetOldest(), Version)
	}
	return p, err
}

package link

// This file opens and closes an exchange, and has its counters.

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"

	pb "sprucelane.example/sprucelane/api/sprucelane/v1"
	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/pipe"
)

// MaxFacts is the highest number of facts in a message.
const MaxFacts = 20000

const (
	maxMessageSize    = 4 << 20                // of a snapshot, in bytes
	maxRequestSize    = 1 << 12                // of a request, in bytes
	maxCalls          = 32                     // of peers, at the same time
	updateInterval    = 250 * time.Millisecond // between two messages of a call
	heartbeatInterval = time.Second            // a message is sent this often, even if it has no facts
	receiveTimeout    = 4 * heartbeatInterval  // a call that receives nothing for this long is ended
	sendTimeout       = 5 * time.Second        // until a reader has received a message
	keepaliveInterval = 10 * time.Second       // of idle connections
	minBackoff        = 100 * time.Millisecond // before a call is repeated
	maxBackoff        = 5 * time.Second        // likewise; a call that has lasted for longer resets the backoff
)

// Options are the settings of an Exchange.
type Options struct {
	Self   knowledge.Observer
	Table  knowledge.Options // without Self
	Listen string            // address that peers call; empty: none
	Peers  []string          // addresses of the peers to call
	TLS    *TLS              // nil: no TLS
	Now    func() knowledge.Time
}

// TLS is the configuration of mutual TLS, for calls of peers and to peers.
type TLS struct{ Server, Client *tls.Config }

// Exchange is one gateway's part in the exchange. It is safe for concurrent use.
type Exchange struct {
	pb.UnimplementedKnowledgeServer
	opt      Options
	listener net.Listener // nil: peers can't call
	server   *grpc.Server
	stop     context.CancelFunc
	ctx      context.Context // ends with the exchange
	done     sync.WaitGroup

	initialSync chan struct{} // closed when unsyncedPeers reaches 0
	callSlots   chan struct{} // a semaphore: holds one element per call of a peer

	mu            sync.Mutex // guards the fields below
	table         *knowledge.Table
	observations  []knowledge.Observation // this gateway's latest
	deaf          time.Duration           // as in knowledge.Fact
	blind         time.Duration
	unsyncedPeers int // peers that have neither sent a snapshot nor failed yet

	priors     uint64 // returned
	suspect    uint64 // returned priors that are of suspects
	messages   uint64 // received
	rejected   uint64 // messages of another version, or out of bounds
	callErrors uint64 // calls that ended
}

// Open starts an exchange for a gateway with these observations: it listens, and calls its peers.
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
		e.server = newServer(opt.TLS)
		pb.RegisterKnowledgeServer(e.server, e)
		e.done.Go(func() { e.server.Serve(e.listener) })
	}
	e.Update(own, 0, 0)
	for _, p := range opt.Peers {
		e.done.Go(func() { e.watchPeer(p) })
	}
	return e, nil
}

// Addr returns the address that the exchange listens on; empty: it doesn't listen.
func (e *Exchange) Addr() string {
	if e.listener == nil {
		return ""
	}
	return e.listener.Addr().String()
}

// Close ends the exchange and waits for its goroutines.
func (e *Exchange) Close() {
	e.stop()
	if e.server != nil {
		e.server.Stop()
	}
	e.done.Wait()
}

// InitialSync returns a channel that is closed once each peer has sent its snapshot or failed once.
func (e *Exchange) InitialSync() <-chan struct{} { return e.initialSync }

// Update sets the listed members and the gateway's observations of them, and returns the priors that follow. deaf
// and blind are as in knowledge.Fact.
func (e *Exchange) Update(own []knowledge.Observation, deaf, blind time.Duration) []knowledge.Prior {
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observations, e.deaf, e.blind = own, deaf, blind
	return e.countPriors(e.table.Update(now, own, deaf, blind))
}

// Priors returns the priors that follow from the facts received so far and the observations of the last Update.
func (e *Exchange) Priors() []knowledge.Prior {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.countPriors(e.table.Priors(e.opt.Now(), e.observations))
}

// countPriors counts the priors and returns them. mu is held.
func (e *Exchange) countPriors(list []knowledge.Prior) []knowledge.Prior {
	e.priors += uint64(len(list))
	for _, p := range list {
		if p.Suspect {
			e.suspect++
		}
	}
	return list
}

// Counters returns the counters.
func (e *Exchange) Counters() []pipe.Counter {
	e.mu.Lock()
	defer e.mu.Unlock()
	facts, observers := e.table.Size()
	list := []pipe.Counter{{Name: "facts", Value: uint64(facts)}, {Name: "observers", Value: uint64(observers)},
		{Name: "messages", Value: e.messages}, {Name: "messages_refused", Value: e.rejected},
		{Name: "calls_broken", Value: e.callErrors},
		{Name: "priors", Value: e.priors}, {Name: "priors_suspect", Value: e.suspect}}
	for i, n := range e.table.Counts() {
		list = append(list, pipe.Counter{Name: "facts_" + knowledge.DropReason(i).String(), Value: n})
	}
	return list
}

// Package pool owns the pool members and the connections to them: it writes server-side flows on net.Conn in
// HTTP/1.1, reuses connections, dials, and keeps the idle limits and the descriptor budget. It must never choose
// a member, try a flow again or send anything twice: a flow that fails says how, and the module decides.
package pool

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"math"
	"math/bits"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/policy"
)

// TrueCost is the header with which a good answer tells how many units its request drew, where that is settled afterwards.
const HeaderTrueCost = "X-True-Cost"

// Load is the header of a member's load report: name=value, separated by commas, in any order.
const HeaderLoad = "X-Load"

// NotRun is the header with which a pool member proves that a request never ran.
const HeaderNotRun = "X-Not-Run"

const headerDeadline = "X-Deadline-Ms"

// State is what discovery says of a member.
type ServerState = policy.ServerState

// Options are the pool's limits.
type Options struct {
	MaxConnections  int             // connections open at once, dials included
	ResponseMemory  *buffers.Budget // what answers may hold in memory; nil: as much as they like
	BufferResponses bool            // answers are read whole, up to MaxWhole
	IdleTimeout     time.Duration   // after which the member's machine closes an idle connection
	ConnectTimeout  time.Duration
	StaleWindow     time.Duration // a kept connection that had been gone breaks so soon; 0: the standard
	TLS             *tls.Config   // nil: plain TCP
	// Dial opens a connection to a member; nil: over TCP. One that has an Arrived method, as Peeker says, is asked by that whether
	// anything has come.
	Dial       func(ctx context.Context, address string) (net.Conn, error)
	LoadFields map[string]int // place of each field of members' load reports; nil: there are none
}

// Pool is all members that discovery has named.
type Pool struct {
	options     Options
	injected    injectedBugs // of tests
	stop        chan struct{}
	onConnected func(*core.Flow) // of tests, which force crossings there: a connection has come up and nothing is checked yet

	idleTimeout, connectTimeout atomic.Int64 // durations

	mu        sync.Mutex
	servers   map[policy.ServerID]*server
	open      int // connections, dials included
	staleness stalenessEstimator
	stats     Stats
}

// Counts is how server-side connections came to be used: each flow that reached a member was on a reused one or on one
// opened for it. What was opened is told by its cause: the member had none idle, or none that could be trusted.
type Stats struct {
	Reused, Opened   uint64
	OpenedAfterStale uint64 // of those opened: idle ones stood there, all too old, closed or doubtful
	ConnectFailed    uint64 // no connection came up
	OpenedByEviction uint64 // another idle one was closed to keep the descriptor budget
	LimitReached     uint64
	Idle, Open       int
}

// Counts gives the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Open = p.open
	for _, s := range p.servers {
		stats.Idle += len(s.idle)
	}
	return stats
}

type server struct {
	addr  string
	state ServerState
	idle  []*conn // the one used last at the end
}

type conn struct {
	net.Conn
	peeker    Peeker // nil: nothing can be told
	reader    *bufio.Reader
	readLimit int64 // bytes that may still be read
	addr      string
	used      bool
	idleSince time.Time     // idle since; zero: it never was
	keepAlive time.Duration // the member's word on how long it leaves this one idle; 0: none
	readErr   error         // how what comes in has ended
}

// Read is the reader's way to the connection: what a peer sends without an end must not fill the memory. How the connection
// has ended is kept: the system tells of a reset once, and of an end to whoever asks again.
func (c *conn) Read(b []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errReadLimit
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.readLimit)])
	c.readLimit -= int64(n)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// New gives an empty pool that sweeps its idle connections until Close.
func New(options Options) *Pool {
	if options.StaleWindow == 0 {
		options.StaleWindow = defaultStaleWindow
	}
	p := &Pool{options: options, stop: make(chan struct{}), servers: map[policy.ServerID]*server{}}
	p.SetTimeouts(options.IdleTimeout, options.ConnectTimeout)
	go p.sweepIdle()
	return p
}

// Close ends the sweeping and closes what is idle.
func (p *Pool) Close() {
	close(p.stop)
	p.closeIdle(func(*server, *conn) bool { return true })
}

// Limit sets from now on how many connections may be open at once.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	p.options.MaxConnections = n
	p.mu.Unlock()
}

// Times sets from now on after which time members close idle connections, and how long one may take to come up.
func (p *Pool) SetTimeouts(idle, connect time.Duration) {
	p.idleTimeout.Store(int64(idle))
	p.connectTimeout.Store(int64(connect))
}

// Set takes a member's address and state in. Idle connections to where it no longer is, or to a member that
// wants nothing new, are closed.
func (p *Pool) Set(id policy.ServerID, addr string, state ServerState) {
	p.Apply([]Change{{ID: id, Address: addr, State: state}})
}

// Change is a member's address and state from now on.
type Change struct {
	ID      policy.ServerID
	Address string
	State   ServerState
}

// Apply takes the changes of a whole list in at once, as Set does those of one member.
func (p *Pool) Apply(changes []Change) {
	p.mu.Lock()
	for _, change := range changes {
		s := p.servers[change.ID]
		if s == nil {
			s = &server{}
			p.servers[change.ID] = s
		}
		s.addr, s.state = change.Address, change.State
	}
	p.mu.Unlock()
	p.closeIdle(func(s *server, c *conn) bool { return s.state != policy.Ready || c.addr != s.addr })
}

// Ready counts the members that may be sent new work.
func (p *Pool) ReadyServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.servers {
		if s.state == policy.Ready {
			n++
		}
	}
	return n
}

// Carry takes a flow to its member and back.
func (p *Pool) Carry(flow *core.Flow) (core.End, core.Answer) {
	c, end := p.acquire(flow)
	if c == nil {
		return end, core.Answer{}
	}
	idle, reused := time.Since(c.idleSince), c.used
	end, answer, reuse := c.roundTrip(p, flow)
	if reused {
		p.staleness.observe(idle, end == core.EndStale)
	}
	cancelled := flow.Finish()
	switch {
	case answer.Rest != nil && cancelled: // it broke under the answer's beginning
		answer.Drop()
		return core.EndCancelled, core.Answer{}
	case answer.Rest != nil: // has the connection until it ends
		return end, answer
	case reuse && !cancelled:
		p.release(flow.Server, c)
	default:
		p.discard(c)
	}
	if cancelled && end != core.EndServed {
		end = core.EndCancelled
	}
	return end, answer
}

// reach gives a connection on which the first byte may be written now. On a kept one nothing must have come in by then: it
// would be taken for the beginning of the answer.
func (p *Pool) acquire(a attempt) (*conn, core.End) {
	for staleSeen := false; ; staleSeen = true {
		c, end := p.idleOrDial(a, staleSeen)
		if c == nil {
			return nil, end
		}
		if flow, ok := a.(*core.Flow); ok && p.onConnected != nil {
			p.onConnected(flow)
		}
		if end, ok := p.recheck(a, c); !ok {
			if end == core.EndDrained {
				p.discard(c)
			} else {
				p.releaseUnused(a.To(), c)
			}
			return nil, end
		}
		if c.idleSince.IsZero() {
			return c, core.EndNone
		}
		if p.injected.reuseUnread || !c.hasUnread() {
			p.count(func(s *Stats) { s.Reused++ })
			return c, core.EndNone
		}
		p.discard(c)
	}
}

// begin rechecks, right before the first byte, what may have changed while the flow dialled: the member was told
// to drain or is gone, it moved, or the transaction is over.
func (p *Pool) recheck(a attempt, c *conn) (core.End, bool) {
	p.mu.Lock()
	s := p.servers[a.To()]
	current := s != nil && s.state == policy.Ready && s.addr == c.addr
	p.mu.Unlock()
	if !current && !p.injected.skipRecheck {
		return core.EndDrained, false
	}
	return a.Begin(c)
}

// connect gives a connection that nothing else uses: the idle one used last, else a new one. Past tells that there was an idle
// one past use already.
func (p *Pool) idleOrDial(a attempt, staleSeen bool) (*conn, core.End) {
	for ; ; staleSeen = true {
		p.mu.Lock()
		s := p.servers[a.To()]
		if s == nil || s.state != policy.Ready {
			p.mu.Unlock()
			return nil, core.EndDrained
		}
		last := len(s.idle) - 1
		if last < 0 {
			addr := s.addr
			underLimit := p.open < p.options.MaxConnections
			if underLimit {
				p.open++
			}
			p.mu.Unlock()
			if !underLimit && !p.evictIdle() {
				p.count(func(c *Stats) { c.LimitReached++ })
				return nil, core.EndNoSocket
			}
			c, end := p.connect(a, addr)
			p.count(func(stats *Stats) {
				if c == nil {
					stats.ConnectFailed++
					return
				}
				if stats.Opened++; staleSeen {
					stats.OpenedAfterStale++
				}
				if !underLimit {
					stats.OpenedByEviction++
				}
			})
			return c, end
		}
		c := s.idle[last]
		s.idle = s.idle[:last]
		p.mu.Unlock()
		if p.withinIdleTimeout(c) && !p.staleness.likelyStale(time.Since(c.idleSince), methodOf(a)) {
			return c, core.EndNone
		}
		p.discard(c)
	}
}

// spare makes room in the descriptor budget for one connection by closing the one that is idle the longest.
func (p *Pool) evictIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var from *server
	for _, s := range p.servers {
		if len(s.idle) > 0 && (from == nil || s.idle[0].idleSince.Before(from.idle[0].idleSince)) {
			from = s
		}
	}
	if from == nil {
		return false
	}
	oldest := from.idle[0]
	from.idle = from.idle[1:]
	oldest.Close() // the new one takes its place in the count
	return true
}

func (p *Pool) count(update func(*Stats)) {
	p.mu.Lock()
	update(&p.stats)
	p.mu.Unlock()
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// fresh tells whether an idle connection may still carry a request: it is younger than the limit at which its
// peer closes it, with a margin, and neither an end nor a stray byte has come in. A request written to a
// connection that the peer has closed may count as run, and one of an unsafe class would be lost.
func (p *Pool) reusable(c *conn) bool { return p.withinIdleTimeout(c) && !c.hasUnread() }

func (p *Pool) withinIdleTimeout(c *conn) bool {
	limit := time.Duration(p.idleTimeout.Load())
	if c.keepAlive > 0 {
		limit = min(limit, c.keepAlive)
	}
	return time.Since(c.idleSince) <= limit*3/4
}

// put keeps a connection that has carried a flow for the next one to its member.
func (p *Pool) release(id policy.ServerID, c *conn) {
	c.idleSince = time.Now()
	p.addIdle(id, c)
}

// putUnused keeps one on which nothing was written: towards its member it has been idle all the while.
func (p *Pool) releaseUnused(id policy.ServerID, c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	p.addIdle(id, c)
}

func (p *Pool) addIdle(id policy.ServerID, c *conn) {
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	s := p.servers[id]
	usable := s != nil && s.state == policy.Ready && s.addr == c.addr
	if usable {
		s.idle = append(s.idle, c)
	}
	p.mu.Unlock()
	if !usable {
		p.discard(c)
	}
}

func (p *Pool) discard(c *conn) {
	c.Close()
	p.noteClosed()
}

func (p *Pool) noteClosed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// sweep closes idle connections that have grown old or that their peer has closed.
func (p *Pool) sweepIdle() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			p.closeIdle(func(_ *server, c *conn) bool { return !p.reusable(c) })
		}
	}
}

// retire closes the idle connections that are past use, and forgets members that are gone.
func (p *Pool) closeIdle(unusable func(*server, *conn) bool) {
	var closing []*conn
	p.mu.Lock()
	for id, s := range p.servers {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if unusable(s, c) {
				closing = append(closing, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(s.idle[len(kept):])
		if s.idle = kept; s.state == policy.Gone && len(kept) == 0 {
			delete(p.servers, id)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		p.discard(c)
	}
}

// ages learns how long a connection may stand idle before something on the way forgets it. Peers are told to close
// an idle connection at a known time, but some break it earlier, and only at the next request: that one may have
// run, for all this side can tell. For ranges of idle time that each are twice the one before, it counts the
// requests written to kept connections and those broken at once, and forgets both with time.
type stalenessEstimator struct {
	mu        sync.Mutex
	buckets   [14]struct{ used, broken float64 }
	decayedAt time.Time
}

const (
	defaultStaleWindow = 25 * time.Millisecond
	shortestIdle       = 16 * time.Millisecond
	decayTimeConstant  = 7 * time.Second // until a count is a third
	minBrokenShare     = 0.1             // of the requests: so many would be lost in any case
	minBrokenSafe      = 1.2             // requests that may be repeated find out whether it is still so
	minBrokenUnsafe    = 0.4
)

func (a *stalenessEstimator) bucketOf(idle time.Duration) int {
	return min(bits.Len64(uint64(max(idle, 0)/shortestIdle)), len(a.buckets)-1)
}

func (a *stalenessEstimator) decay() {
	now := time.Now()
	factor := math.Exp(-float64(now.Sub(a.decayedAt)) / float64(decayTimeConstant))
	a.decayedAt = now
	for i := range a.buckets {
		a.buckets[i].used *= factor
		a.buckets[i].broken *= factor
	}
}

func (a *stalenessEstimator) observe(idle time.Duration, broken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay()
	bucket := &a.buckets[a.bucketOf(idle)]
	if bucket.used++; broken {
		bucket.broken++
	}
}

// doubtful tells whether a connection idle for so long is better left to the past.
func (a *stalenessEstimator) likelyStale(idle time.Duration, method string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	bucket, minBroken := &a.buckets[a.bucketOf(idle)], minBrokenSafe
	if bucket.broken == 0 {
		return false
	}
	a.decay()
	if method != http.MethodGet {
		minBroken = minBrokenUnsafe
	}
	return bucket.broken > minBroken && bucket.broken > minBrokenShare*bucket.used
}

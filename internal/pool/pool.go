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
const TrueCost = "X-True-Cost"

// Load is the header of a member's load report: name=value, separated by commas, in any order.
const Load = "X-Load"

// NotRun is the header with which a pool member proves that a request never ran.
const NotRun = "X-Not-Run"

const deadlineName = "X-Deadline-Ms"

// State is what discovery says of a member.
type State = policy.ServerState

// Options are the pool's limits.
type Options struct {
	Sockets     int             // connections open at once, dials included
	Answers     *buffers.Budget // what answers may hold in memory; nil: as much as they like
	Whole       bool            // answers are read whole, up to MaxWhole
	ConnIdle    time.Duration   // after which the member's machine closes an idle connection
	ConnectWait time.Duration
	StaleWithin time.Duration // a kept connection that had been gone breaks so soon; 0: the standard
	TLS         *tls.Config   // nil: plain TCP
	// Dial opens a connection to a member; nil: over TCP. One that has an Arrived method, as Peeker says, is asked by that whether
	// anything has come.
	Dial       func(ctx context.Context, address string) (net.Conn, error)
	LoadFields map[string]int // place of each field of members' load reports; nil: there are none
}

// Pool is all members that discovery has named.
type Pool struct {
	opt  Options
	bugs bugs // of tests
	stop chan struct{}
	up   func(*core.Flow) // of tests, which force crossings there: a connection has come up and nothing is checked yet

	connIdle, connectWait atomic.Int64 // durations

	mu      sync.Mutex
	members map[policy.ServerID]*member
	open    int // connections, dials included
	ages    ages
	counts  Counts
}

// Counts is how server-side connections came to be used: each flow that reached a member was on a reused one or on one
// opened for it. What was opened is told by its cause: the member had none idle, or none that could be trusted.
type Counts struct {
	Reused, Opened   uint64
	OpenedPastUse    uint64 // of those opened: idle ones stood there, all too old, closed or doubtful
	OpenFailed       uint64 // no connection came up
	OpenedInPlace    uint64 // another idle one was closed to keep the descriptor budget
	NoDescriptor     uint64
	IdleNow, OpenNow int
}

// Counts gives the counts so far.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.OpenNow = p.open
	for _, m := range p.members {
		c.IdleNow += len(m.idle)
	}
	return c
}

type member struct {
	addr  string
	state State
	idle  []*conn // the one used last at the end
}

type conn struct {
	net.Conn
	peek  Peeker // nil: nothing can be told
	in    *bufio.Reader
	left  int64 // bytes that may still be read
	to    string
	used  bool
	since time.Time     // idle since; zero: it never was
	keep  time.Duration // the member's word on how long it leaves this one idle; 0: none
	over  error         // how what comes in has ended
}

// Read is the reader's way to the connection: what a peer sends without an end must not fill the memory. How the connection
// has ended is kept: the system tells of a reset once, and of an end to whoever asks again.
func (c *conn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooLong
	}
	if c.over != nil {
		return 0, c.over
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.over = err
	}
	return n, err
}

// New gives an empty pool that sweeps its idle connections until Close.
func New(opt Options) *Pool {
	if opt.StaleWithin == 0 {
		opt.StaleWithin = staleWithin
	}
	p := &Pool{opt: opt, stop: make(chan struct{}), members: map[policy.ServerID]*member{}}
	p.Times(opt.ConnIdle, opt.ConnectWait)
	go p.sweep()
	return p
}

// Close ends the sweeping and closes what is idle.
func (p *Pool) Close() {
	close(p.stop)
	p.retire(func(*member, *conn) bool { return true })
}

// Limit sets from now on how many connections may be open at once.
func (p *Pool) Limit(sockets int) {
	p.mu.Lock()
	p.opt.Sockets = sockets
	p.mu.Unlock()
}

// Times sets from now on after which time members close idle connections, and how long one may take to come up.
func (p *Pool) Times(connIdle, connectWait time.Duration) {
	p.connIdle.Store(int64(connIdle))
	p.connectWait.Store(int64(connectWait))
}

// Set takes a member's address and state in. Idle connections to where it no longer is, or to a member that
// wants nothing new, are closed.
func (p *Pool) Set(id policy.ServerID, addr string, state State) {
	p.Apply([]Change{{ID: id, Address: addr, State: state}})
}

// Change is a member's address and state from now on.
type Change struct {
	ID      policy.ServerID
	Address string
	State   State
}

// Apply takes the changes of a whole list in at once, as Set does those of one member.
func (p *Pool) Apply(changes []Change) {
	p.mu.Lock()
	for _, change := range changes {
		m := p.members[change.ID]
		if m == nil {
			m = &member{}
			p.members[change.ID] = m
		}
		m.addr, m.state = change.Address, change.State
	}
	p.mu.Unlock()
	p.retire(func(m *member, c *conn) bool { return m.state != policy.Ready || c.to != m.addr })
}

// Ready counts the members that may be sent new work.
func (p *Pool) Ready() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.members {
		if m.state == policy.Ready {
			n++
		}
	}
	return n
}

// Carry takes a flow to its member and back.
func (p *Pool) Carry(f *core.Flow) (core.End, core.Answer) {
	c, end := p.reach(f)
	if c == nil {
		return end, core.Answer{}
	}
	idle, used := time.Since(c.since), c.used
	end, answer, reuse := c.exchange(p, f)
	if used {
		p.ages.learn(idle, end == core.EndStale)
	}
	cancelled := f.Finish()
	switch {
	case answer.Rest != nil && cancelled: // it broke under the answer's beginning
		answer.Drop()
		return core.EndCancelled, core.Answer{}
	case answer.Rest != nil: // has the connection until it ends
		return end, answer
	case reuse && !cancelled:
		p.put(f.Server, c)
	default:
		p.drop(c)
	}
	if cancelled && end != core.EndServed {
		end = core.EndCancelled
	}
	return end, answer
}

// reach gives a connection on which the first byte may be written now. On a kept one nothing must have come in by then: it
// would be taken for the beginning of the answer.
func (p *Pool) reach(f flow) (*conn, core.End) {
	for past := false; ; past = true {
		c, end := p.connect(f, past)
		if c == nil {
			return nil, end
		}
		if carried, ok := f.(*core.Flow); ok && p.up != nil {
			p.up(carried)
		}
		if end, ok := p.begin(f, c); !ok {
			if end == core.EndDrained {
				p.drop(c)
			} else {
				p.putUnused(f.To(), c)
			}
			return nil, end
		}
		if c.since.IsZero() {
			return c, core.EndNone
		}
		if p.bugs.reuseStirred || !c.stirred() {
			p.note(func(n *Counts) { n.Reused++ })
			return c, core.EndNone
		}
		p.drop(c)
	}
}

// begin rechecks, right before the first byte, what may have changed while the flow dialled: the member was told
// to drain or is gone, it moved, or the transaction is over.
func (p *Pool) begin(f flow, c *conn) (core.End, bool) {
	p.mu.Lock()
	m := p.members[f.To()]
	fits := m != nil && m.state == policy.Ready && m.addr == c.to
	p.mu.Unlock()
	if !fits && !p.bugs.noRecheck {
		return core.EndDrained, false
	}
	return f.Begin(c)
}

// connect gives a connection that nothing else uses: the idle one used last, else a new one. Past tells that there was an idle
// one past use already.
func (p *Pool) connect(f flow, past bool) (*conn, core.End) {
	for ; ; past = true {
		p.mu.Lock()
		m := p.members[f.To()]
		if m == nil || m.state != policy.Ready {
			p.mu.Unlock()
			return nil, core.EndDrained
		}
		last := len(m.idle) - 1
		if last < 0 {
			addr := m.addr
			room := p.open < p.opt.Sockets
			if room {
				p.open++
			}
			p.mu.Unlock()
			if !room && !p.spare() {
				p.note(func(c *Counts) { c.NoDescriptor++ })
				return nil, core.EndNoSocket
			}
			c, end := p.dial(f, addr)
			p.note(func(n *Counts) {
				if c == nil {
					n.OpenFailed++
					return
				}
				if n.Opened++; past {
					n.OpenedPastUse++
				}
				if !room {
					n.OpenedInPlace++
				}
			})
			return c, end
		}
		c := m.idle[last]
		m.idle = m.idle[:last]
		p.mu.Unlock()
		if p.young(c) && !p.ages.doubtful(time.Since(c.since), methodOf(f)) {
			return c, core.EndNone
		}
		p.drop(c)
	}
}

// spare makes room in the descriptor budget for one connection by closing the one that is idle the longest.
func (p *Pool) spare() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var from *member
	for _, m := range p.members {
		if len(m.idle) > 0 && (from == nil || m.idle[0].since.Before(from.idle[0].since)) {
			from = m
		}
	}
	if from == nil {
		return false
	}
	old := from.idle[0]
	from.idle = from.idle[1:]
	old.Close() // the new one takes its place in the count
	return true
}

func (p *Pool) note(count func(*Counts)) {
	p.mu.Lock()
	count(&p.counts)
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
func (p *Pool) fresh(c *conn) bool { return p.young(c) && !c.stirred() }

func (p *Pool) young(c *conn) bool {
	limit := time.Duration(p.connIdle.Load())
	if c.keep > 0 {
		limit = min(limit, c.keep)
	}
	return time.Since(c.since) <= limit*3/4
}

// put keeps a connection that has carried a flow for the next one to its member.
func (p *Pool) put(id policy.ServerID, c *conn) {
	c.since = time.Now()
	p.keep(id, c)
}

// putUnused keeps one on which nothing was written: towards its member it has been idle all the while.
func (p *Pool) putUnused(id policy.ServerID, c *conn) {
	if c.since.IsZero() {
		c.since = time.Now()
	}
	p.keep(id, c)
}

func (p *Pool) keep(id policy.ServerID, c *conn) {
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	m := p.members[id]
	keep := m != nil && m.state == policy.Ready && m.addr == c.to
	if keep {
		m.idle = append(m.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	}
}

func (p *Pool) drop(c *conn) {
	c.Close()
	p.closed()
}

func (p *Pool) closed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// sweep closes idle connections that have grown old or that their peer has closed.
func (p *Pool) sweep() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-tick.C:
			p.retire(func(_ *member, c *conn) bool { return !p.fresh(c) })
		}
	}
}

// retire closes the idle connections that are past use, and forgets members that are gone.
func (p *Pool) retire(past func(*member, *conn) bool) {
	var old []*conn
	p.mu.Lock()
	for id, m := range p.members {
		keep := m.idle[:0]
		for _, c := range m.idle {
			if past(m, c) {
				old = append(old, c)
			} else {
				keep = append(keep, c)
			}
		}
		clear(m.idle[len(keep):])
		if m.idle = keep; m.state == policy.Gone && len(keep) == 0 {
			delete(p.members, id)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// ages learns how long a connection may stand idle before something on the way forgets it. Peers are told to close
// an idle connection at a known time, but some break it earlier, and only at the next request: that one may have
// run, for all this side can tell. For ranges of idle time that each are twice the one before, it counts the
// requests written to kept connections and those broken at once, and forgets both with time.
type ages struct {
	mu     sync.Mutex
	counts [14]struct{ used, broken float64 }
	faded  time.Time
}

const (
	staleWithin  = 25 * time.Millisecond
	shortestAge  = 16 * time.Millisecond
	agesFade     = 7 * time.Second // until a count is a third
	brokenShare  = 0.1             // of the requests: so many would be lost in any case
	brokenSafe   = 1.2             // requests that may be repeated find out whether it is still so
	brokenUnsafe = 0.4
)

func (a *ages) at(idle time.Duration) int {
	return min(bits.Len64(uint64(max(idle, 0)/shortestAge)), len(a.counts)-1)
}

func (a *ages) fade() {
	now := time.Now()
	f := math.Exp(-float64(now.Sub(a.faded)) / float64(agesFade))
	a.faded = now
	for i := range a.counts {
		a.counts[i].used *= f
		a.counts[i].broken *= f
	}
}

func (a *ages) learn(idle time.Duration, broke bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fade()
	c := &a.counts[a.at(idle)]
	if c.used++; broke {
		c.broken++
	}
}

// doubtful tells whether a connection idle for so long is better left to the past.
func (a *ages) doubtful(idle time.Duration, method string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, most := &a.counts[a.at(idle)], brokenSafe
	if c.broken == 0 {
		return false
	}
	a.fade()
	if method != http.MethodGet {
		most = brokenUnsafe
	}
	return c.broken > most && c.broken > brokenShare*c.used
}

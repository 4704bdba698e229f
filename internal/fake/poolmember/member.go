// Package poolmember owns stand-in pool members: servers on loopback that speak the platform's protocol and behave as
// machines do, with cores, a queue, a cold start, pauses, hangs and crashes, and that keep account of what they were
// sent. Their work takes time and no processor. They must never be linked into the gateway, nor judge what a gateway
// should have done beyond the rules' own figures.
package poolmember

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Spec is what a member can do.
type Spec struct {
	Cores int     // requests at work at once; more wait
	Speed float64 // of a core; 1: a request takes its work's time
	Queue int     // requests that may wait; more are turned away
	Work  Work

	// A member that has just started can do ColdFrom of its capacity, and all of it after WarmWithin or, where WarmWork
	// is set, after so much work, whichever is sooner. One that is sent more than FallMultiple times what it can do
	// within Fall has its cold budget broken.
	ColdFrom     float64
	WarmWithin   time.Duration
	WarmWork     time.Duration
	Fall         time.Duration
	FallMultiple float64
}

// Work is how long requests take on a core of speed 1: a lognormal spread about a mean.
type Work struct {
	Mean  time.Duration
	Sigma float64 // of the logarithm; 0: all alike
}

// draw gives a request's work. It follows from the request's id alone, so that it is the same on every member and in
// every arm of an experiment.
func (w Work) draw(id string) time.Duration {
	h := fnv.New64a()
	io.WriteString(h, id)
	z := rand.New(rand.NewPCG(h.Sum64(), 1)).NormFloat64()
	return time.Duration(float64(w.Mean) * math.Exp(w.Sigma*z-w.Sigma*w.Sigma/2))
}

// Default is a member of two cores with the platform's figures for cold starts.
func Default() Spec {
	return Spec{Cores: 2, Speed: 1, Queue: 24, Work: Work{Mean: 130 * time.Millisecond, Sigma: 0.4},
		ColdFrom: 0.18, WarmWithin: 16 * time.Second, Fall: time.Second, FallMultiple: 4}
}

// Account is what a member was sent and did.
type Account struct {
	Sent        uint64 // requests that came whole
	Served      uint64
	TurnedAway  uint64
	Swallowed   map[int]uint64 // taken while it hung and never answered, by gateway
	Late        uint64         // sent by a gateway that had been told for longer than the grace that it drains or is gone
	ColdBroken  uint64         // windows in which a cold member was sent more than its budget
	PeakCold    float64
	Connections uint64
}

// coldSlack is the slack for chance, in requests: of two that come together neither gateway can know.
const coldSlack = 1

// Told gives when a gateway was told that a member takes nothing new; the zero time: it wasn't.
type Told func(gateway int, id string) time.Time

// LateAfter is the grace of a drain: the rule's 250 ms, and 50 ms for the way.
const LateAfter = 300 * time.Millisecond

// Member is one pool member in one life. Each gateway has an address of its own to it, so that it knows who sent what
// and a way between the two can fail alone.
type Member struct {
	ID      string
	Started time.Time // the zero time: long ago

	spec      Spec
	ledger    *Ledger
	told      Told
	listeners []net.Listener
	servers   []*http.Server
	ended     chan struct{}
	once      sync.Once

	mu       sync.Mutex
	cores    chan struct{}
	waiting  int
	worked   time.Duration
	hung     bool
	freed    chan struct{} // closed when the hang is over
	cut      map[int]bool  // gateways whose way here swallows all
	pauses   []pause
	arrivals []time.Time
	account  Account
}

type pause struct{ from, to time.Time }

// Tap is told what members see of each request, as it happens. It must not hold them up.
type Tap interface {
	Connected()                                                 // a gateway has opened a connection to a member
	Came(m *Member, gateway int, id string, warmth float64) int // it came whole; gives a number for the attempt
	Ran(id string)                                              // it runs, or may
	Ended(id string, attempt int, never bool)                   // it was answered or its connection ended; never: turned away
}

// Ledger keeps what all members of a site were sent, so that a request that ran twice shows whichever members ran it.
type Ledger struct {
	Tap Tap // nil: none

	mu     sync.Mutex
	sent   map[string]int
	twice  uint64
	unsafe string
}

// NewLedger gives an empty one. Requests of the unsafe class must not come twice.
func NewLedger(unsafeClass string) *Ledger {
	return &Ledger{sent: map[string]int{}, unsafe: unsafeClass}
}

func (l *Ledger) take(class, id string) {
	if l.Tap != nil {
		l.Tap.Ran(id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if class != l.unsafe {
		return
	}
	if l.sent[id]++; l.sent[id] > 1 {
		l.twice++
	}
}

// Twice counts the unsafe requests that reached members whole more than once.
func (l *Ledger) Twice() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.twice
}

// Start starts a member that listens for so many gateways, on addrs where they are given, which must be as many.
func Start(id string, started time.Time, spec Spec, gateways int, ledger *Ledger, told Told, addrs []string) (*Member, error) {
	m := &Member{ID: id, Started: started, spec: spec, ledger: ledger, told: told, ended: make(chan struct{}),
		cores: make(chan struct{}, spec.Cores), cut: map[int]bool{},
		account: Account{Swallowed: map[int]uint64{}}}
	for g := range gateways {
		addr := "127.0.0.1:0"
		if len(addrs) > 0 {
			addr = addrs[g]
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			m.Stop()
			return nil, fmt.Errorf("member %s: %w", id, err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(g, w, r) }),
			ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute,
			ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					m.mu.Lock()
					m.account.Connections++
					m.mu.Unlock()
					if ledger.Tap != nil {
						ledger.Tap.Connected()
					}
				}
			}}
		m.listeners, m.servers = append(m.listeners, l), append(m.servers, s)
		go s.Serve(l)
	}
	return m, nil
}

// Addr is where a gateway reaches the member.
func (m *Member) Addr(gateway int) string { return m.listeners[gateway].Addr().String() }

// Addrs are all of them, for another life at the same place.
func (m *Member) Addrs() (list []string) {
	for g := range m.listeners {
		list = append(list, m.Addr(g))
	}
	return list
}

// Stop ends the member at once, as a process that dies: connections break and new ones are refused.
func (m *Member) Stop() {
	m.once.Do(func() {
		close(m.ended)
		for _, s := range m.servers {
			s.Close()
		}
		// A server whose Serve has not begun yet doesn't know its listener, so that Close leaves it open.
		for _, l := range m.listeners {
			l.Close()
		}
	})
}

// Hang makes the member take requests and answer none, until Resume. What it held then is lost too.
func (m *Member) Hang() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hung {
		m.hung, m.freed = true, make(chan struct{})
	}
}

// Resume ends a hang. What came meanwhile is never answered.
func (m *Member) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hung {
		m.hung = false
		close(m.freed)
	}
}

// Cut makes the way from one gateway swallow what it sends, and opens it again.
func (m *Member) Cut(gateway int, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[gateway] = cut
}

// Pause makes the member stand still for so long from now on: what is at work goes on afterwards.
func (m *Member) Pause(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.pauses = append(m.pauses, pause{now, now.Add(d)})
	if len(m.pauses) > 64 {
		m.pauses = m.pauses[32:]
	}
}

// Account gives what was sent and done so far.
func (m *Member) Account() Account {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account
	a.Swallowed = maps.Clone(a.Swallowed)
	return a
}

// Warmth is the share of its capacity that the member has now.
func (m *Member) Warmth() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.warmth(time.Now())
}

func (m *Member) warmth(now time.Time) float64 {
	if m.Started.IsZero() || m.spec.WarmWithin <= 0 {
		return 1
	}
	way := now.Sub(m.Started).Seconds() / m.spec.WarmWithin.Seconds()
	if m.spec.WarmWork > 0 {
		way = math.Max(way, m.worked.Seconds()/m.spec.WarmWork.Seconds())
	}
	return m.spec.ColdFrom + (1-m.spec.ColdFrom)*math.Min(1, math.Max(0, way))
}

// Spec gives what the member can do.
func (m *Member) Spec() Spec { return m.spec }

// Capacity is how many requests a second the member answers when warm.
func (s Spec) Capacity() float64 { return float64(s.Cores) * s.Speed / s.Work.Mean.Seconds() }

// came keeps account of a request and of the cold budget, and tells what becomes of it and how warm the member is.
func (m *Member) came(gateway int, now time.Time) (swallow bool, warmth float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Sent++
	if at := m.told(gateway, m.ID); !at.IsZero() && now.Sub(at) > LateAfter {
		m.account.Late++
	}
	w := m.warmth(now)
	if w < 1 {
		m.arrivals = append(m.arrivals, now)
		for now.Sub(m.arrivals[0]) > m.spec.Fall {
			m.arrivals = m.arrivals[1:]
		}
		share := float64(len(m.arrivals)) / (m.spec.FallMultiple * w * m.spec.Capacity() * m.spec.Fall.Seconds())
		m.account.PeakCold = math.Max(m.account.PeakCold, share)
		if most := float64(len(m.arrivals)) / share; float64(len(m.arrivals)) > most+coldSlack {
			m.account.ColdBroken++
		}
	}
	return m.hung || m.cut[gateway], w
}

var errOver = errors.New("over")

// serve is a request's way through the member.
func (m *Member) serve(gateway int, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if id == "" {
		http.Error(w, "no such thing", http.StatusNotFound)
		return
	}
	io.Copy(io.Discard, io.LimitReader(r.Body, 40<<20))
	hung, warmth := m.came(gateway, time.Now())
	var never atomic.Bool
	if tap := m.ledger.Tap; tap != nil {
		attempt := tap.Came(m, gateway, id, warmth)
		ended := sync.OnceFunc(func() { tap.Ended(id, attempt, never.Load()) })
		defer ended()
		defer context.AfterFunc(r.Context(), ended)()
	}
	if hung {
		m.ledger.take(class, id)
		m.swallow(r.Context(), gateway)
	}
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if ms <= 0 {
		ms = 10000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	if !m.enter(ctx) {
		never.Store(true)
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.ledger.take(class, id)
	err := m.work(m.spec.Work.draw(id))
	<-m.cores
	if err != nil {
		m.swallow(r.Context(), gateway)
	}
	m.mu.Lock()
	m.account.Served++
	m.mu.Unlock()
	body := "done " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body)
}

// swallow holds a request for ever: its connection ends without an answer once the gateway gives it up.
func (m *Member) swallow(ctx context.Context, gateway int) {
	m.mu.Lock()
	m.account.Swallowed[gateway]++
	m.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-m.ended:
	}
	panic(http.ErrAbortHandler)
}

// enter takes a core, after a wait where all are busy. It fails where too many wait, or the request's time is over.
func (m *Member) enter(ctx context.Context) bool {
	select {
	case m.cores <- struct{}{}:
		return true
	default:
	}
	m.mu.Lock()
	if m.waiting >= m.spec.Queue {
		m.account.TurnedAway++
		m.mu.Unlock()
		return false
	}
	m.waiting++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.waiting--
		m.mu.Unlock()
	}()
	select {
	case m.cores <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-m.ended:
		return false
	}
}

// work takes the time that the work takes here: longer while cold, longer by all pauses that fall into it. A hang that
// begins meanwhile swallows it.
func (m *Member) work(d time.Duration) error {
	m.mu.Lock()
	d = time.Duration(float64(d) / (m.spec.Speed * m.warmth(time.Now())))
	m.mu.Unlock()
	start := time.Now()
	for {
		m.mu.Lock()
		left, hung := d-time.Since(start)+m.stood(start), m.hung
		m.mu.Unlock()
		if hung {
			return errOver
		}
		if left <= 0 {
			break
		}
		select {
		case <-time.After(min(left, 250*time.Millisecond)): // a hang must be noticed
		case <-m.ended:
			return errOver
		}
	}
	m.mu.Lock()
	m.worked += d
	m.mu.Unlock()
	return nil
}

// stood gives how much of the time since a moment fell into pauses, and what is left of one that is on.
func (m *Member) stood(since time.Time) (d time.Duration) {
	for _, p := range m.pauses {
		from := p.from
		if since.After(from) {
			from = since
		}
		if p.to.After(from) {
			d += p.to.Sub(from)
		}
	}
	return d
}

package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	set       Settings
	means     meaning // of the numbers in messages
	host      Host
	rng       *rand.Rand
	now       Time
	born      Time
	fullSince Time // a ceiling not met since then has filled from then on
	started   bool
	requests  map[RequestID]*request
	open      []*attempt
	lost      int // of them lost on the way
	held      []*request
	servers   []*server
	byID      map[ServerID]*server
	customers []*customer
	byName    map[CustomerID]*customer
	byShort   map[uint64]*customer // by the name in messages; some known from peers only
	groups    []group              // class * plans + plan
	typical   []mean               // mean latency of a class
	bySize    []fit                // and by a request's units
	usual     mean                 // expected length of what is sent, over all
	worked    mean                 // seconds of work that servers have done for this gateway
	width     float64              // attempts that a server was seen at work on at once
	slowOnce  bool                 // an answer has been slow
	pace      float64              // of all servers, as of the last beat
	pressed   bool
	full      bool
	calm      int
	cuts      []int
	retries   float64
	copies    float64
	late      []mean              // of each class: late attempts, and all
	coldPace  mean                // latency of cold servers' answers over their classes' mean
	coldTook  mean                // and what a warm one would have taken, in seconds
	allCold   bool                // no listed server is warm, as of the last beat
	perServer float64             // answers of a warm server here in a window of the cold rule
	asks      map[uint32]*request // that wait for their home's answer, by token
	odd       int                 // messages of no known form
	lastAsk   uint32
	lastCut   Time
	peerAge   []time.Duration // as each last told
	peerHeard []Time
	peerBack  []Time      // when each was heard again after a silence
	peerLag   []Time      // between its age and the time here, with its fastest message
	heard     Time        // when any peer was last heard
	elders    bool        // a peer is much older, or has heard of one that is
	untold    []*customer // of whom peers have something to hear
	silent    []Time      // until when each is taken to be no customer's home
	near      []int       // the peers that may share a customer's store with this gateway, and hear of each draw
	lives     []int       // of each peer, as heard
	toldAt    []Time      // when each was last told all
	watching  bool
	rewatch   time.Duration
	holding   bool
}

// New checks the settings and gives a gateway that knows nothing yet. The seed is its only randomness.
func New(set Settings, seed uint64) (*Gateway, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	g := &Gateway{set: set, means: set.meaning(), rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		requests: map[RequestID]*request{}, byID: map[ServerID]*server{}, byName: map[CustomerID]*customer{},
		byShort: map[uint64]*customer{}, asks: map[uint32]*request{},
		typical: make([]mean, len(set.Classes)), bySize: make([]fit, len(set.Classes)), retries: retryStore, copies: 1,
		late:    make([]mean, len(set.Classes)),
		peerAge: make([]time.Duration, set.Gateways), peerHeard: make([]Time, set.Gateways), silent: make([]Time, set.Gateways),
		lives: make([]int, set.Gateways), peerBack: make([]Time, set.Gateways), peerLag: make([]Time, set.Gateways), toldAt: make([]Time, set.Gateways)}
	g.near = set.NearBy()
	total := 0.0
	for _, c := range set.Classes {
		for _, p := range set.Plans {
			total += c.Worth * p.Price
			g.groups = append(g.groups, group{v: c.Worth * p.Price, part: 1})
		}
	}
	for i := range g.groups {
		g.groups[i].v = math.Max(g.groups[i].v/math.Max(total, 1e-9), 1e-9)
	}
	return g, nil
}

// Attach names the host that carries the actions out. It comes before the first event.
func (g *Gateway) Attach(h Host) { g.host = h }

// Woke notes that this process stood still for so long until now: what was out meanwhile took so much less.
func (g *Gateway) Woke(now Time, still time.Duration) {
	for _, a := range g.open {
		a.sent = min(now, a.sent+still)
	}
	g.tick(now)
}

// forget drops the records of customers that are idle for so long.
func (g *Gateway) forget(idle time.Duration) {
	g.customers = slices.DeleteFunc(g.customers, func(c *customer) bool {
		old := c.out == 0 && g.now-c.lastSeen > idle
		if old && c.met {
			delete(g.byName, c.id)
		}
		if old && g.byShort[c.name] == c {
			delete(g.byShort, c.name)
		}
		return old
	})
}

func (g *Gateway) groupOf(r *request) int { return r.Class*len(g.set.Plans) + r.Plan }

func (g *Gateway) groupName(i int) string {
	n := len(g.set.Plans)
	return g.set.Classes[i/n].Name + "/" + g.set.Plans[i%n].Name
}

// listed counts the listed servers of which something is true.
func (g *Gateway) listed(is func(*server) bool) int {
	n := 0
	for _, s := range g.servers {
		if s.listed && is(s) {
			n++
		}
	}
	return n
}

func (g *Gateway) present() int { return g.listed(func(*server) bool { return true }) }

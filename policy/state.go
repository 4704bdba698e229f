package policy

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ledger"
)

// Structs and plain containers, and the form of a peer message. Nothing here chooses.

// A peer message: version, the sender's age in ms, what its numbers of groups and of plans mean, then sections of
// entries, each with its count ahead. An entry is a name and some masses, each a byte on a logarithmic scale.
const (
	messageBytes = 256
	messageHead  = 7
	wireVersion  = 7
	withElders   = 0x80 // on the version: the sender's fleet is older than itself
	usedSteps    = 16   // steps of a count of units drawn
	massSteps    = 8    // steps of a mass byte in a doubling
)

const (
	ofGroups = iota
	ofCustomers
	sections
)

// How many bytes name an entry of a section, and how many masses follow.
var (
	nameBytes   = [sections]int{1, 6}
	entryMasses = [sections]int{2, 2}
	entryUse    = [sections]int{0, 6} // when the record was made, units drawn, the store, the ledger's word, attempts out
)

type entry struct {
	name  uint64
	mass  [2]float64
	made  byte    // changes where a record is made anew, and its count of units starts anew
	used  float64 // units drawn, as a count that wraps round
	store float64 // what the sender takes to be left or owed, as a share of the burst
	word  byte    // the ledger's, of parts of the ceiling
	out   byte    // attempts out and requests that wait to be sent
}

// tailBytes follow the use where the ledger has a word to say or attempts are out, which the top bit of made tells.
const tailBytes, withTail = 2, 0x80

// bytes gives how long a customer's entry is.
func (e entry) bytes() int {
	if e.word == 0 && e.out == 0 {
		return entryBytes(ofCustomers) - tailBytes
	}
	return entryBytes(ofCustomers)
}

// entryBytes gives how long an entry is at most.
func entryBytes(section int) int {
	return nameBytes[section] + entryMasses[section] + entryUse[section]
}

// usedBetween gives the units drawn between two counts.
func usedBetween(from, to float64) float64 {
	return float64(uint16(int64(to*usedSteps))-uint16(int64(from*usedSteps))) / usedSteps
}

// meaning says in a byte for each section what its numbers stand for. While the gateways take new settings in one after
// another, what a peer says of groups or plans of other names is left out.
type meaning [sections]byte

func (s Settings) meaning() (m meaning) {
	h := fnv.New32a()
	for _, p := range s.Plans {
		fmt.Fprintf(h, "%q", p.Name)
	}
	m[ofCustomers] = byte(h.Sum32() ^ h.Sum32()>>16)
	for _, c := range s.Classes {
		fmt.Fprintf(h, "%q", c.Name)
	}
	m[ofGroups] = byte(h.Sum32() ^ h.Sum32()>>16)
	return m
}

func packMessage(age time.Duration, elders bool, means meaning, list [sections][]entry) []byte {
	m := make([]byte, messageHead, messageBytes)
	if m[0] = wireVersion; elders {
		m[0] |= withElders
	}
	binary.BigEndian.PutUint32(m[1:], uint32(min(age/time.Millisecond, math.MaxUint32)))
	copy(m[5:], means[:])
	for k := range list {
		m = append(m, byte(len(list[k])))
		for _, e := range list[k] {
			for i := nameBytes[k] - 1; i >= 0; i-- {
				m = append(m, byte(e.name>>(8*i)))
			}
			for i := 0; i < entryMasses[k]; i++ {
				step := math.Round(massSteps*math.Log2(math.Max(e.mass[i], 1e-9))) + 128
				m = append(m, byte(math.Max(0, math.Min(255, step))))
			}
			if entryUse[k] > 0 {
				tail := []byte{e.word, e.out}
				if e.made &^= withTail; e.bytes() == entryBytes(k) {
					e.made |= withTail
				} else {
					tail = nil
				}
				m = binary.BigEndian.AppendUint16(append(m, e.made), uint16(int64(e.used*usedSteps)))
				m = append(append(m, byte(int8(math.Round(127*math.Max(-1, math.Min(1, e.store)))))), tail...)
			}
		}
	}
	return m
}

func unpackMessage(m []byte, means meaning) (age time.Duration, elders bool, list [sections][]entry, ok bool) {
	if len(m) < messageHead || len(m) > messageBytes || m[0]&^withElders != wireVersion {
		return 0, false, list, false
	}
	elders = m[0]&withElders != 0
	age = time.Duration(binary.BigEndian.Uint32(m[1:])) * time.Millisecond
	theirs := meaning(m[5:messageHead])
	m = m[messageHead:]
	for k := range list {
		if len(m) < 1 {
			return 0, false, list, false
		}
		n := int(m[0])
		m = m[1:]
		for ; n > 0; n-- {
			var e entry
			size, at := entryBytes(k), nameBytes[k]+entryMasses[k]
			if entryUse[k] > 0 && len(m) > at && m[at]&withTail == 0 {
				size -= tailBytes
			}
			if len(m) < size {
				return 0, false, list, false
			}
			for i := 0; i < nameBytes[k]; i++ {
				e.name = e.name<<8 | uint64(m[i])
			}
			for i := 0; i < entryMasses[k]; i++ {
				if b := m[nameBytes[k]+i]; b > 0 {
					e.mass[i] = math.Exp2((float64(b) - 128) / massSteps)
				}
			}
			if entryUse[k] > 0 {
				e.made, e.store = m[at]&^withTail, float64(int8(m[at+3]))/127
				e.used = float64(binary.BigEndian.Uint16(m[at+1:])) / usedSteps
				if size == entryBytes(k) {
					e.word, e.out = m[at+4], m[at+5]
				}
			}
			m = m[size:]
			list[k] = append(list[k], e)
		}
		if theirs[k] != means[k] {
			list[k] = nil
		}
	}
	return age, elders, list, len(m) == 0
}

// A question about one request: kind, token, units and the customer's name. The answer: kind, token, yes or no.
// What an answer tells in place of the guess: kind, the units more in sixteenths, signed, and the customer's name.
const (
	askKind, answerKind, settleKind    = 0x41, 0x42, 0x43
	askBytes, answerBytes, settleBytes = 13, 6, 9
)

// question is what a customer's home is asked about one request.
type question struct {
	from     int // of whom it came, not in the message
	token    uint32
	customer uint64 // the name in messages
	units    float64
}

func packAsk(q question) []byte {
	m := binary.BigEndian.AppendUint32([]byte{askKind}, q.token)
	m = binary.BigEndian.AppendUint16(m, uint16(math.Min(math.Ceil(q.units*usedSteps), math.MaxUint16)))
	return append(m, binary.BigEndian.AppendUint64(nil, q.customer)[2:]...)
}

func unpackAsk(m []byte, from int) (q question, ok bool) {
	if len(m) != askBytes || m[0] != askKind {
		return question{}, false
	}
	q.from, q.token, q.units = from, binary.BigEndian.Uint32(m[1:]), float64(binary.BigEndian.Uint16(m[5:]))/usedSteps
	q.customer = binary.BigEndian.Uint64(append([]byte{0, 0}, m[7:]...))
	return q, true
}

// atHome names the record that a customer's home keeps of it: all of its set's use comes in there.
func atHome(name uint64, home int) uint64 { return name>>24<<24 | uint64(home&4095)<<12 | 1 }

func packAnswer(token uint32, yes bool) []byte {
	m := append(binary.BigEndian.AppendUint32([]byte{answerKind}, token), 0)
	if yes {
		m[answerBytes-1] = 1
	}
	return m
}

func unpackAnswer(m []byte) (token uint32, yes, ok bool) {
	if len(m) != answerBytes || m[0] != answerKind || m[answerBytes-1] > 1 {
		return 0, false, false
	}
	return binary.BigEndian.Uint32(m[1:]), m[answerBytes-1] == 1, true
}

func packSettle(name uint64, more float64) []byte {
	steps := int16(math.Max(math.MinInt16, math.Min(math.MaxInt16, math.Round(more*usedSteps))))
	return append(binary.BigEndian.AppendUint16([]byte{settleKind}, uint16(steps)), binary.BigEndian.AppendUint64(nil, name)[2:]...)
}

func unpackSettle(m []byte) (name uint64, more float64, ok bool) {
	if len(m) != settleBytes || m[0] != settleKind {
		return 0, 0, false
	}
	return binary.BigEndian.Uint64(append([]byte{0, 0}, m[3:]...)), float64(int16(binary.BigEndian.Uint16(m[1:]))) / usedSteps, true
}

// tally holds figures that the gateways add up by push-sum: what is put in here is own until it is told; pool is
// this gateway's part of what all put in. All fade with one memory. A weight, where there is one, is the last of
// the pool's figures: it fills towards 1, so figure / weight is the mean over the gateways.
type tally struct {
	own, pool [2]float64
	at        Time
}

func (t *tally) fade(now Time, memory time.Duration, weight int) {
	if now > t.at {
		f := fading(now-t.at, memory)
		for i := range t.own {
			t.own[i] *= f
			t.pool[i] *= f
		}
		if weight > 0 {
			t.pool[weight] += 1 - f
		}
		t.at = now
	}
}

// all estimates what all n gateways hold of a figure together.
func (t *tally) all(figure, n int) float64 { return t.own[figure] + float64(n)*t.pool[figure] }

// split takes out what one peer is told, where so many are still to be told and n gateways share the figures.
// Of what is own each of the n should end with an equal part; the pool is split evenly with those told.
func (t *tally) split(left, n float64) (told [2]float64) {
	for i := range t.own {
		own := t.own[i] / left
		told[i] = t.pool[i]/(left+1) + own*(1-1/n)
		t.pool[i] += own/n - t.pool[i]/(left+1)
		t.own[i] -= own
	}
	return told
}

func (t *tally) take(now Time, memory time.Duration, weight int, told [2]float64) {
	t.fade(now, memory, weight)
	for i := range told {
		t.pool[i] += told[i]
	}
}

type request struct {
	Request
	arrived   Time
	attempts  int // sent so far
	out       []*attempt
	mayHave   []*attempt // those that may have run
	tried     []*server
	cust      *customer
	closed    bool
	streaming bool
	over      bool
	settled   bool // its true units are known
	drawn     bool
	waits     bool   // it is held and was never sent
	kept      bool   // its units come out of the ceiling that its home keeps
	home      int    // the gateway that keeps its quota; below 0: what is known here decides
	asked     int    // so often
	token     uint32 // names the question
}

// hold notes whether a request is drawn and not yet sent: meanwhile its customer's stores must not fill up what is meant
// for it, or more than they hold would go out at once.
func (r *request) hold(yes bool) {
	if r.waits == yes {
		return
	}
	if r.waits = yes; yes {
		r.cust.coming, r.cust.waiting = r.cust.coming+r.Units, r.cust.waiting+1
	} else {
		r.cust.coming, r.cust.waiting = r.cust.coming-r.Units, r.cust.waiting-1
	}
}

type attempt struct {
	req      *request
	no       int
	server   *server
	sent     Time // later by as much as nothing is held against it for
	chosen   Time // stays: what the window for repeats is counted from
	open     int  // place in Gateway.open
	passed   int  // so many sent later to its server have been answered
	suspect  bool // it is out for far too long, and nothing has come from its server for as long
	lost     bool // it holds no place at its server: passed and late, or its body is still coming
	slowSeen bool // counted as slow, for the room
	lateSeen bool // counted as late, for the aim
}

type server struct {
	ServerInfo
	listed       bool
	out          int
	others       float64 // attempts that other gateways are taken to have out there
	lost         int     // of them lost on the way
	service      float64 // by its own word: how long a request takes without waiting, in seconds; 0: not told
	serviceAt    Time    // when that came
	pace         mean    // attempt latency over what such a request typically takes
	fails        mean    // 1 for a failed attempt, 0 for a served one
	spoilt       mean    // the same, of those that may have run
	done         mean    // answers, as a rate
	ejectedUntil Time
	ejections    int
	away         []Time // until when each group goes elsewhere, as it was turned away here
	cold         ledger.Cold
	room         float64 // attempts of ours that it may hold, 0: not yet known
	suspects     int     // attempts there that are out for far too long, while nothing at all has come from there
	row          int     // failures since it last served
	answered     Time    // when it last served
	served       int     // and how often it did
}

type customer struct {
	id       CustomerID
	met      bool // a request of its own has come in here
	plan     int
	account  float64 // quota units left here; below zero: let in ahead of the refill
	ceiling  ledger.Part
	begun    bool    // its ceiling was full when the whole fleet began
	coming   float64 // units of requests whose bodies are still coming, or that are held and were never sent
	at       Time    // when both were last filled
	demand   mean
	out      int // attempts
	waiting  int // requests that are held and were never sent
	set      int
	first    int
	told     tally // units asked, and the weight
	name     uint64
	lastSeen Time
	made     byte                      // when the record was made
	used     float64                   // units first sent on from here, which only rises
	back     float64                   // units that were fewer than guessed, to be taken off what is used next
	question question                  // the last that a peer asked here
	inside   bool                      // and its answer
	untold   uint64                    // the peers that have not been told of the last of it, as bits by slot
	heard    [2*tellPeers + 1]heardUse // by slot
}

// drew counts units as used; below 0: that so many were not.
func (c *customer) drew(units float64) {
	c.back -= units
	if c.back < 0 {
		c.used, c.back = c.used-c.back, 0
	}
}

// under tells whether units stay below a hard ceiling.
func (c *customer) under(p Plan, units float64) bool {
	return p.CeilingRate <= 0 || c.ceiling.Left >= units
}

// heardUse is what a peer has told of its draws for a customer, and been told.
type heardUse struct {
	life  int // of the peer
	at    Time
	made  byte
	used  float64
	told  float64
	out   byte // attempts that it has out
	lacks byte // of its part of the ceiling, as it last told and was not answered
}

type group struct {
	v    float64
	told tally // requests sent on and their latency, over all gateways
	cut  bool
	part float64
}

// The figures of a group's tally.
const (
	groupQ = iota
	groupR
)

// mean is a sum and a weight that fade together with time.
type mean struct {
	sum, n float64
	at     Time
}

func (m *mean) fade(now Time, memory time.Duration) {
	if now > m.at {
		f := fading(now-m.at, memory)
		m.sum *= f
		m.n *= f
		m.at = now
	}
}

func (m *mean) add(now Time, memory time.Duration, x float64) {
	m.fade(now, memory)
	m.sum += x
	m.n++
}

// above is the mean, held near one where little is counted.
func (m *mean) above() float64 { return (m.sum + 1) / (m.n + 1) }

func (m *mean) count(now Time, memory time.Duration, yes bool) {
	m.add(now, memory, 0)
	if yes {
		m.sum++
	}
}

// fit is a straight line through what was seen of how long a request takes by its units, all fading with time.
type fit struct{ n, u, uu, t, ut float64 }

// add takes in that so many units took so long, in seconds, after all before has faded by a factor.
func (f *fit) add(fade, units, took float64) {
	f.n = f.n*fade + 1
	f.u, f.uu = f.u*fade+units, f.uu*fade+units*units
	f.t, f.ut = f.t*fade+took, f.ut*fade+units*took
}

// of gives what so many units take, in seconds: the mean where all have been alike, and never less than an eighth of it.
func (f *fit) of(units float64) float64 {
	n := math.Max(f.n, 1e-9)
	spread, slope := f.uu-f.u*f.u/n, 0.0
	if spread > 1e-3*f.uu {
		slope = math.Max(0, (f.ut-f.u*f.t/n)/spread)
	}
	return math.Max(f.t/n/8, f.t/n+slope*(units-f.u/n))
}

// learnLength takes in how long an answered attempt took.
func (g *Gateway) learnLength(r *request, took time.Duration) {
	memory, length := 10*paceMemory*g.shortAim(), min(took, g.set.Classes[r.Class].Deadline).Seconds()
	g.bySize[r.Class].add(fading(g.now-g.typical[r.Class].at, memory), r.Units, length)
	g.typical[r.Class].add(g.now, memory, length)
}

// reported takes a server's load report in.
func (s *server) reported(g *Gateway, report []float32) {
	if i := slices.Index(g.set.Reports, "latency_ms"); i >= 0 && i < len(report) && report[i] > 0 && report[i] <= 1e6 {
		s.service, s.serviceAt = float64(report[i])/1000, g.now
	}
}

// service gives how long an attempt takes at its server without waiting, in seconds, by the server's word of the requests
// that it had lately; 0: not known.
func (g *Gateway) service(a *attempt) float64 {
	if g.now-a.server.serviceAt > widthOver || g.usual.n < 1 {
		return 0
	}
	return a.server.service * g.expect(a.req) * g.usual.n / g.usual.sum
}

// learnWidth follows how many attempts a server was seen at work on at once: what was done in a time, by the servers' own
// word of how long it takes, over that time. A shared slow-down leaves it as it is.
func (g *Gateway) learnWidth() {
	g.worked.fade(g.now, widthOver)
	busy := float64(g.set.Gateways) * g.worked.sum / widthOver.Seconds()
	g.width = math.Max(provenFades*g.width, busy/math.Max(1, float64(g.present())))
}

// proven follows what a warm server answers here in a window of Fall. What was done before an outage can be
// done after it, so it falls slowly, and it is followed whether or not a server is cold.
func (g *Gateway) proven() {
	var warm mean
	for _, s := range g.servers {
		if s.listed && g.warmth(s) >= 1 {
			s.done.fade(g.now, 2*g.set.Fall)
			warm.sum, warm.n = warm.sum+s.done.sum, warm.n+1
		}
	}
	g.perServer = math.Max(provenFades*g.perServer, warm.sum/math.Max(warm.n, 1)/2)
	if g.allCold = warm.n == 0; g.allCold && g.coldTook.n > 0 { // all are cold: each does one attempt after another, at the least
		one := g.set.Fall.Seconds() * g.coldTook.n / math.Max(g.coldTook.sum, 1e-4)
		g.perServer = math.Max(g.perServer, one/float64(g.set.Gateways))
	}
}

// does gives what a server was seen to answer here in a window of Fall, of late, while no listed one is warm and tells what
// warm ones do. What it could do it still can: one that is cold only gets warmer.
func (s *server) does(g *Gateway) float64 {
	if !g.allCold {
		return 0
	}
	s.done.fade(g.now, 2*g.set.Fall)
	return s.done.sum / 2
}

// trueUp settles, once and where the account is kept, what a request draws by its answer in place of the
// guess. An answer's word that can't be is left, and the ceiling goes by the guess.
func (g *Gateway) trueUp(r *request, units float64) {
	more := units - r.Units
	if r.settled || r.over || !(units > 0 && units <= math.Max(g.set.LargestUnits, r.Units)) || more == 0 {
		return
	}
	if r.settled = true; r.home < 0 {
		r.cust.account -= more
		r.cust.drew(more)
		g.news(r.cust, g.near...)
	} else if r.home == g.set.Me {
		g.settleAtHome(g.set.Me, r.cust.name, more)
	} else {
		g.host.Tell(r.home, packSettle(r.cust.name, more))
	}
}

// settleAtHome takes in that a request of a customer at home here drew more, or less, than was guessed.
func (g *Gateway) settleAtHome(from int, name uint64, more float64) {
	_, first, set := ofName(name)
	if c := g.record(atHome(name, g.set.Me)); c != nil && g.serves(from, &customer{first: first, set: set}) {
		c.account -= math.Max(-g.set.LargestUnits, math.Min(g.set.LargestUnits, more))
	}
}

// need gives how long a request's attempt should take now, by its units and the pace of all servers.
func (g *Gateway) need(r *request) time.Duration {
	return time.Duration(g.expect(r) * math.Max(1, g.pace) * float64(time.Second))
}

// meanPace gives the pace of all listed servers together, of late.
func (g *Gateway) meanPace() float64 {
	all := mean{}
	for _, s := range g.servers {
		if s.listed {
			s.pace.fade(g.now, paceMemory*g.shortAim())
			all.sum, all.n = all.sum+s.pace.sum, all.n+s.pace.n
		}
	}
	return all.above()
}

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

// MayBegin asks of an attempt, right before its first byte, what was asked when it was chosen: its connection may have been
// long in coming, and a repeat that was harmless then need not be so now.
func (g *Gateway) MayBegin(now Time, id RequestID, no int) bool {
	g.tick(now)
	r := g.requests[id]
	i := r.outAt(no)
	return i >= 0 && g.mayRunOn(r, r.out[i].server, no)
}

// outAt gives the place of an open attempt among a request's, below 0 where there is none.
func (r *request) outAt(no int) int {
	if r == nil {
		return -1
	}
	return slices.IndexFunc(r.out, func(a *attempt) bool { return a.no == no })
}

// takeOut removes a request's open attempt from all that counts it, nil where there is none.
func (g *Gateway) takeOut(r *request, no int) *attempt {
	i := r.outAt(no)
	if i < 0 {
		return nil
	}
	a := r.out[i]
	r.out = slices.Delete(r.out, i, i+1)
	last := len(g.open) - 1
	g.open[a.open] = g.open[last]
	g.open[a.open].open = a.open
	g.open = g.open[:last]
	a.server.out--
	g.clear(a, false)
	g.place(a, true)
	if r.Coming {
		r.cust.coming -= r.Units
	}
	r.cust.out--
	if g.set.Plans[r.cust.plan].Open > 0 {
		g.news(r.cust, g.near...)
	}
	return a
}

// draw takes a request's units off what they come out of, or gives them back.
func (g *Gateway) draw(r *request, sign float64) {
	r.drawn = sign > 0
	if !r.over && r.home < 0 {
		r.cust.account -= sign * r.Units
	}
	if !r.kept {
		r.cust.ceiling.Left -= sign * r.Units
	}
}

func (g *Gateway) putOut(a *attempt) {
	r := a.req
	a.no, a.open = r.attempts, len(g.open)
	r.attempts++
	r.out = append(r.out, a)
	r.tried = append(r.tried, a.server)
	g.open = append(g.open, a)
	a.server.out++
	r.cust.out++
	g.usual.add(g.now, countsOver, g.expect(r))
	if r.Coming {
		g.place(a, false)
		r.cust.coming += r.Units
	}
	g.sentTo(a.server)
}

// place notes whether an attempt holds a place at its server.
func (g *Gateway) place(a *attempt, holds bool) {
	if n := 1; a.lost == holds {
		if a.lost = !holds; holds {
			n = -1
		}
		a.server.lost, g.lost = a.server.lost+n, g.lost+n
	}
}

// sentTo notes an attempt that counts against a cold server's budget.
func (g *Gateway) sentTo(s *server) {
	if s != nil && g.warmth(s) < 1 {
		s.cold.Sent(g.now)
	}
}

// suspect notes that an attempt is out for far too long and that nothing has come from its server for as long: it may be lost,
// and holds no place while that is found out.
func (g *Gateway) suspect(a *attempt) {
	if !a.suspect && !a.lost {
		a.suspect = true
		a.server.suspects++
		g.place(a, false)
	}
}

// clear ends the suspicion of an attempt, which is lost, or holds its place again.
func (g *Gateway) clear(a *attempt, lost bool) {
	if a.suspect {
		a.suspect = false
		a.server.suspects--
		if g.place(a, !lost); lost {
			a.passed = max(a.passed, passedBy)
		}
	}
}

// lose notes that an attempt is lost, where others have passed it: what the server is at work on is the rest.
func (g *Gateway) lose(a *attempt) {
	if a.passed >= passedBy {
		g.place(a, false)
	}
}

func (g *Gateway) load() float64 { return float64(len(g.open) - g.lost) }

func (s *server) load() float64 { return float64(s.out - s.lost) }

// Own gives what this gateway has out at each server, and how its latest attempts there ended, where there is any of it.
func (g *Gateway) Own(now Time) map[ServerID]Own {
	g.tick(now)
	own := map[ServerID]Own{}
	for _, s := range g.servers {
		s.spoilt.fade(now, 4*paceMemory*g.shortAim())
		if s.spoilt.sum >= leastFails {
			own[s.ID] = Own{Failed: s.spoilt.sum, Tried: s.spoilt.n}
		}
	}
	for _, a := range g.open {
		if !a.lost {
			o := own[a.server.ID]
			o.Out++
			own[a.server.ID] = o
		}
	}
	return own
}

// noteEnd counts an attempt that may have run, and whether that was for nothing. One that found no connection costs its
// request little: it goes elsewhere, and a room that is lost makes room so for those that are left.
func (g *Gateway) noteEnd(s *server, e Ending) {
	if e == Served || e == Errored || e == ConnectionLost {
		s.spoilt.count(g.now, 4*paceMemory*g.shortAim(), e != Served)
	}
}

// leastFails is what failures fade to until they are forgotten.
const leastFails = 0.25

// Figures is what a gateway tells of itself to the people on call.
type Figures struct {
	Asked, Odd                      int // questions to homes; messages that made no sense
	LeftOut, HomesSilent, NearHeard int // now: servers ejected, homes that don't answer, peers near by that are heard
	Customers                       int // remembered
	Listed, Held                    int // servers that may be sent to; requests that none may take yet
}

// Figures gives the figures.
func (g *Gateway) Figures(now Time) Figures {
	g.tick(now)
	f := Figures{Asked: int(g.lastAsk), Odd: g.odd, LeftOut: g.listed(g.ejected), Customers: len(g.customers),
		Listed: g.present(), Held: len(g.held)}
	for p, until := range g.silent {
		if until > now && p != g.set.Me {
			f.HomesSilent++
		}
	}
	f.NearHeard = g.nearHeard()
	return f
}

// Woke notes that this process stood still for so long until now: what was out meanwhile took so much less.
func (g *Gateway) Woke(now Time, still time.Duration) {
	for _, a := range g.open {
		a.sent = min(now, a.sent+still)
	}
	g.tick(now)
}

// nearHeard counts the gateways near by that are heard.
func (g *Gateway) nearHeard() (n int) {
	for _, p := range g.near {
		if g.hears(p) {
			n++
		}
	}
	return n
}

// unpack is unpackMessage that counts what makes no sense.
func (g *Gateway) unpack(m []byte) (age time.Duration, elders bool, list [sections][]entry, ok bool) {
	if age, elders, list, ok = unpackMessage(m, g.means); !ok {
		g.odd++
	}
	return age, elders, list, ok
}

// Observe gives what this gateway has seen of each listed server, in the order of the list.
func (g *Gateway) Observe(now Time) []Observation {
	g.tick(now)
	list := make([]Observation, 0, len(g.servers))
	for _, s := range g.servers {
		if !s.listed {
			continue
		}
		s.pace.fade(now, paceMemory*g.shortAim())
		o := Observation{ID: s.ID, Since: s.Since, Answers: s.pace.n, Answered: s.answered, Served: s.served, Out: s.out,
			Ejected: max(0, s.ejectedUntil-now), Room: s.room, Warmth: g.warmth(s)}
		if s.pace.n > 0 {
			o.Pace = s.pace.sum / s.pace.n
		}
		for _, t := range s.cold.Sends {
			if now-t <= g.set.Fall {
				o.ColdSends++
			}
		}
		list = append(list, o)
	}
	at := make(map[*server]*Observation, len(list))
	for i := range list {
		at[g.byID[list[i].ID]] = &list[i]
	}
	for _, a := range g.open {
		o, out := at[a.server], now-a.sent
		if o == nil || a.untimed() || a.passed >= passedBy || out.Seconds() <= overdue*g.expect(a.req) {
			continue
		}
		if o.Overdue++; a.sent >= o.Answered {
			o.Silent = max(o.Silent, out)
		}
	}
	return list
}

// Streaming tells that a response has begun: no deadline runs any more.
func (g *Gateway) Streaming(now Time, id RequestID, attempt int) {
	g.tick(now)
	if r := g.requests[id]; r != nil {
		r.streaming = true
	}
}

// Came tells that the last byte of a request's body has been sent on: its time runs from now on, to a later deadline. It
// can't be sent again.
func (g *Gateway) Came(now Time, id RequestID, deadline Time) {
	g.tick(now)
	if r := g.requests[id]; r != nil && r.Coming && !r.closed {
		r.Coming, r.Deadline, r.attempts = false, deadline, max(r.attempts, g.set.MaxAttempts)
		for _, a := range r.out {
			a.sent = now
			g.place(a, true)
			r.cust.coming -= r.Units
		}
		g.host.Timer(uint64(id)<<tagBits|tagFinal, deadline-now-2*g.set.Tick)
	}
}

// GiveUp gives every open request its final answer, as at its deadline. What streams goes on.
func (g *Gateway) GiveUp(now Time) {
	g.tick(now)
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		if r := g.requests[id]; r != nil && !r.closed && !r.streaming {
			g.giveUp(r)
		}
	}
}

// untimed tells whether an attempt has no time to be held against it.
func (a *attempt) untimed() bool { return a.req.streaming || a.req.Coming }

func fading(age, memory time.Duration) float64 {
	return math.Exp(-float64(age) / float64(memory))
}

// Check tells what is wrong with the settings, by key.
func (s Settings) Check() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: classes: none given")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 {
			return fmt.Errorf("settings: classes[%d].deadline: must be above 0", i)
		}
		if c.Aim <= 0 {
			return fmt.Errorf("settings: classes[%d].aim: must be above 0", i)
		}
		if !(c.Worth >= 0) {
			return fmt.Errorf("settings: classes[%d].worth: must not be negative", i)
		}
	}
	if len(s.Plans) == 0 {
		return errors.New("settings: plans: none given")
	}
	for i, p := range s.Plans {
		if !(p.Rate >= 0) || !(p.Burst >= 0) || p.Open < 0 {
			return fmt.Errorf("settings: plans[%d].rate, burst, open: must not be negative", i)
		}
		if !(p.CeilingRate >= 0) || !(p.CeilingBurst >= 0) {
			return fmt.Errorf("settings: plans[%d].ceiling: must not be negative", i)
		}
		if !(p.Price >= 0) {
			return fmt.Errorf("settings: plans[%d].price: must not be negative", i)
		}
	}
	if s.Gateways < 1 || s.Me < 0 || s.Me >= s.Gateways {
		return errors.New("settings: gateways: must be 1 or more and hold this one's number")
	}
	return nil
}

// news notes that a customer's other gateways, or one of them, have something to hear of it.
func (g *Gateway) news(c *customer, peers ...int) {
	for _, p := range peers {
		if g.shared(c) && g.serves(p, c) && g.slot(p) <= 2*tellPeers {
			if c.untold == 0 {
				g.untold = append(g.untold, c)
			}
			c.untold |= 1 << g.slot(p)
		}
	}
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

func (r *request) wasTried(s *server) bool { return slices.Contains(r.tried, s) }

// expect gives how long a request's attempts typically take, in seconds, by its class and units.
func (g *Gateway) expect(r *request) float64 {
	if f := &g.bySize[r.Class]; f.n >= 5 {
		return math.Max(f.of(r.Units), 1e-4)
	}
	return g.typicalOf(r.Class)
}

func (g *Gateway) typicalOf(class int) float64 {
	t := &g.typical[class]
	return math.Max(t.sum/math.Max(t.n, 1e-9), 1e-4)
}

// tellName names a customer in messages: 16 bits of its name, its plan and its set, so that a gateway that has not
// met it can pass on what it hears. Where two share one, they are held to their sum.
func tellName(id CustomerID, plan, first, set int) uint64 {
	return uint64(id)*0x9e3779b97f4a7c15>>48<<32 | uint64(plan&255)<<24 | uint64(first&4095)<<12 | uint64(set&4095)
}

func ofName(name uint64) (plan, first, set int) {
	return int(name >> 24 & 255), int(name >> 12 & 4095), int(name & 4095)
}

func (g *Gateway) shortAim() time.Duration { return g.set.ShortAim() }

// ShortAim gives the shortest aim of all classes: the pace at which a gateway judges.
func (s Settings) ShortAim() time.Duration {
	aim := s.Classes[0].Aim
	for _, c := range s.Classes {
		aim = min(aim, c.Aim)
	}
	return aim
}

// NearBy gives the gateways near this one, where there is a way to them.
func (s Settings) NearBy() []int {
	if !s.Peers {
		return nil
	}
	return Near(s.Me, s.Gateways)
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

func (g *Gateway) serves(gateway int, c *customer) bool {
	return ((gateway-c.first)%g.set.Gateways+g.set.Gateways)%g.set.Gateways < c.set
}

// Near gives the gateways that stand up to tellPeers places to either side of one: they share stores with it.
func Near(me, gateways int) (near []int) {
	for k := 1; k < gateways; k++ {
		if k <= tellPeers || k >= gateways-tellPeers {
			near = append(near, (me+k)%gateways)
		}
	}
	return near
}

// outElsewhere gives the attempts that a customer has out through its other gateways. What was last told counts for as long
// as it would have been told again; of one that isn't heard its part is taken to be out.
func (g *Gateway) outElsewhere(c *customer) (n int) {
	for _, p := range g.near {
		h := &c.heard[g.slot(p)]
		switch {
		case !g.serves(p, c):
		case !g.hears(p):
			n += g.set.Plans[c.plan].Open / c.set
		case g.now-h.at <= heardFor:
			n += int(h.out)
		}
	}
	return n
}

// renewOut has a peer told again of what customers have out, should word of it have been lost.
func (g *Gateway) renewOut(to int) {
	for _, c := range g.customers {
		if c.out+c.waiting > 0 && g.set.Plans[c.plan].Open > 0 {
			g.news(c, to)
		}
	}
}

// hears tells whether a peer has lately been heard.
func (g *Gateway) hears(peer int) bool {
	return g.peerHeard[peer] != 0 && g.now-g.peerHeard[peer] <= heardFor
}

// slot numbers the gateways from tellPeers places before this one: those near it have the first numbers.
func (g *Gateway) slot(peer int) int {
	return (peer - g.set.Me + tellPeers + g.set.Gateways) % g.set.Gateways
}

// shared tells whether a customer's set is small enough for its gateways to be near each other.
func (g *Gateway) shared(c *customer) bool { return len(g.near) > 0 && c.set <= tellPeers+1 }

func (p Plan) quota() ledger.Limit { return ledger.Limit{Rate: p.Rate, Burst: p.Burst} }

// view gives how this gateway sees a customer's store.
func (g *Gateway) view(c *customer) ledger.View {
	mine, all := g.demand(c)
	return ledger.View{Left: c.account, Mine: mine, All: all, N: c.set, Whole: g.whole(c)}
}

// share gives what a record's part of the ceiling is of.
func (g *Gateway) share(c *customer) ledger.Limit {
	p, n := g.set.Plans[c.plan], float64(c.set)*g.keepers(c)
	return ledger.Limit{Rate: p.CeilingRate / n, Burst: p.CeilingBurst / n}
}

// lateBy tells how much later than the fastest one a peer's message has come, by its clock and this one's, which may
// drift by a thousandth.
func (g *Gateway) lateBy(from int, age time.Duration, anew bool) time.Duration {
	lag, most := g.now-age, g.peerLag[from]+(g.now-g.peerHeard[from])/1000
	if anew || g.peerLag[from] == 0 || lag < most {
		most = lag
	}
	g.peerLag[from] = most
	return lag - most
}

// keepers is 2 where a customer's first home keeps half of the hard ceiling and all parts together the other, else 1. Half
// must be enough for the quota.
func (g *Gateway) keepers(c *customer) float64 {
	p, own := g.set.Plans[c.plan], c.set == 1 && !c.met // a home's record
	if p.CeilingRate >= 2*p.Rate && p.CeilingBurst >= 2*p.Burst && len(g.near) > 0 && (own || !g.shared(c)) {
		return 2
	}
	return 1
}

// homeOf gives a customer's first home, or the kth that stands in for it.
func (g *Gateway) homeOf(c *customer, k int) int {
	return (c.first + (int(c.name>>32)+k)%c.set) % g.set.Gateways
}

// memory is how long demand counts: as long as the burst lasts at the quota's rate, a second at least.
func (g *Gateway) memory(plan int) time.Duration {
	p := g.set.Plans[plan]
	if p.Rate <= 0 {
		return judgedOver
	}
	return max(judgedOver, time.Duration(p.Burst/p.Rate*float64(time.Second)))
}

// What a gateway knows can go on in another: one with other settings, or in the process that follows this one. It is
// carried as fields in a fixed order, which one listing both writes and reads; open requests are no part of it.

const carryVersion = 3

// carrier writes or reads fields. Once it has met something odd it reads nothing more.
type carrier struct {
	buf  []byte
	read bool
	odd  bool
	now  Time // of the writing
}

// carry takes whole numbers through.
func carry[T ~int | ~int64 | ~uint8 | ~uint32 | ~uint64](x *carrier, list ...*T) {
	for _, v := range list {
		if !x.read {
			x.buf = binary.AppendVarint(x.buf, int64(*v))
			continue
		}
		n, size := binary.Varint(x.buf)
		if *v = T(n); size <= 0 || int64(*v) != n {
			*v, x.odd, size = 0, true, len(x.buf)
		}
		x.buf = x.buf[size:]
	}
}

// times are written as distances from the writing. What lies far ahead is odd.
func (x *carrier) times(list ...*Time) {
	for _, t := range list {
		d := *t - x.now
		if carry(x, &d); x.read {
			*t = x.now + d
			x.odd = x.odd || d > time.Hour || *t < 0
		}
	}
}

// numbers keep seven digits.
func (x *carrier) numbers(list ...*float64) {
	for _, v := range list {
		if !x.read {
			x.buf = binary.BigEndian.AppendUint32(x.buf, math.Float32bits(float32(*v)))
			continue
		}
		if len(x.buf) < 4 {
			*v, x.odd, x.buf = 0, true, nil
			continue
		}
		*v, x.buf = float64(math.Float32frombits(binary.BigEndian.Uint32(x.buf))), x.buf[4:]
		if !(math.Abs(*v) <= math.MaxFloat32) {
			*v, x.odd = 0, true
		}
	}
}

func (x *carrier) flags(list ...*bool) {
	for _, v := range list {
		var n uint8
		if *v {
			n = 1
		}
		carry(x, &n)
		*v = n == 1
	}
}

func (x *carrier) text(s *string) {
	n := x.size(len(*s), 1)
	if !x.read {
		x.buf = append(x.buf, *s...)
	} else if !x.odd {
		*s, x.buf = string(x.buf[:n]), x.buf[n:]
	}
}

// size carries how many follow, each of which takes so many bytes at least.
func (x *carrier) size(n, least int) int {
	if carry(x, &n); x.read && (n < 0 || n > len(x.buf)/least) {
		x.odd, x.buf = true, nil
	}
	if x.odd {
		return 0
	}
	return n
}

// sized carries a list.
func sized[T any](x *carrier, list *[]T, least int, each func(*T)) {
	n := x.size(len(*list), least)
	if x.read {
		*list = make([]T, n)
	}
	for i := range *list {
		each(&(*list)[i])
	}
}

func (x *carrier) means(list ...*mean) {
	for _, m := range list {
		x.numbers(&m.sum, &m.n)
		x.times(&m.at)
		x.odd = x.odd || m.n < 0
	}
}

func (x *carrier) tally(t *tally) {
	x.numbers(&t.own[0], &t.own[1], &t.pool[0], &t.pool[1])
	x.times(&t.at)
}

func (x *carrier) gateway(g *Gateway) {
	carry(x, &x.now)
	x.times(&g.born, &g.fullSince, &g.lastCut, &g.heard)
	carry(x, &g.lastAsk)
	x.flags(&g.elders, &g.slowOnce)
	x.numbers(&g.retries, &g.copies, &g.perServer)
	x.means(&g.coldPace)
	carry(x, &g.set.Me, &g.set.Gateways)
	sized(x, &g.set.Classes, 1, func(c *Class) { x.text(&c.Name) })
	sized(x, &g.set.Plans, 1, func(p *Plan) { x.text(&p.Name) })
	sized(x, &g.typical, 9, func(m *mean) { x.means(m) })
	sized(x, &g.late, 9, func(m *mean) { x.means(m) })
	sized(x, &g.groups, 21, func(p *group) { x.tally(&p.told); x.numbers(&p.part) })
	for _, list := range []*[]Time{&g.peerHeard, &g.silent, &g.toldAt} {
		sized(x, list, 1, func(t *Time) { x.times(t) })
	}
	sized(x, &g.peerAge, 1, func(d *time.Duration) { carry(x, d) })
	sized(x, &g.lives, 1, func(n *int) { carry(x, n) })
	sized(x, &g.servers, 50, func(s **server) { x.server(fresh(x, s)) })
	sized(x, &g.customers, 100, func(c **customer) { x.customer(fresh(x, c)) })
}

// fresh gives what stands at a place of a list of pointers, which is new where it is read.
func fresh[T any](x *carrier, at **T) *T {
	if x.read {
		*at = new(T)
	}
	return *at
}

func (x *carrier) server(s *server) {
	carry(x, &s.ID)
	carry(x, &s.Zone, &s.Kind, &s.Cell, &s.ejections, &s.row, &s.served)
	carry(x, &s.State)
	x.times(&s.Since, &s.ejectedUntil, &s.cold.At, &s.answered)
	x.flags(&s.listed)
	x.numbers(&s.Weight, &s.cold.Turn, &s.room)
	x.means(&s.pace, &s.fails, &s.spoilt, &s.done)
	sized(x, &s.cold.Sends, 1, func(t *Time) { x.times(t) })
}

func (x *carrier) customer(c *customer) {
	carry(x, &c.id)
	x.flags(&c.met, &c.inside, &c.begun)
	carry(x, &c.plan, &c.set, &c.first, &c.question.from)
	x.numbers(&c.account, &c.ceiling.Left, &c.used, &c.question.units)
	x.times(&c.at, &c.lastSeen)
	x.means(&c.demand)
	x.tally(&c.told)
	carry(x, &c.name, &c.question.customer)
	carry(x, &c.question.token)
	carry(x, &c.made)
	for i := range c.heard {
		h := &c.heard[i]
		carry(x, &h.life)
		carry(x, &h.made, &h.out)
		x.numbers(&h.used, &h.told)
	}
}

// Carry gives what this gateway knows, for Follow: of the customers those seen last, as many as go into so many bytes. The
// rest will be taken for new ones, as though they had been idle.
func (g *Gateway) Carry(now Time, most int) []byte {
	g.tick(now)
	all, one := *g, carrier{now: now}
	all.customers = nil
	list := slices.Clone(g.customers)
	slices.SortStableFunc(list, func(a, b *customer) int { return cmp.Compare(b.lastSeen, a.lastSeen) })
	x := carrier{buf: []byte{carryVersion}, now: now}
	x.gateway(&all)
	if len(list) > 0 {
		one.customer(list[0])
		all.customers = list[:min(len(list), max(0, most-len(x.buf))/len(one.buf))]
		x = carrier{buf: []byte{carryVersion}, now: now}
		x.gateway(&all)
	}
	return x.buf
}

// Follow takes over what another gateway of the same number knew. It comes right after Attach, and takes all or nothing.
func (g *Gateway) Follow(now Time, carried []byte) error {
	from := &Gateway{}
	x := carrier{buf: carried, read: true, odd: len(carried) == 0 || carried[0] != carryVersion}
	if !x.odd {
		x.buf = carried[1:]
		x.gateway(from)
	}
	if x.odd || len(x.buf) > 0 || g.started || from.set.Me != g.set.Me || from.set.Gateways != g.set.Gateways || !from.sound() {
		return errors.New("carried state: odd, late, or another gateway's")
	}
	peers := g.set.Peers
	g.set.Peers = false // the first word to them is to be the same gateway's
	g.tick(now)
	g.set.Peers = peers
	g.born, g.fullSince, g.lastCut, g.heard, g.lastAsk = from.born, from.fullSince, from.lastCut, from.heard, from.lastAsk
	g.slowOnce = from.slowOnce
	g.elders, g.retries, g.copies, g.perServer, g.coldPace = from.elders, from.retries, from.copies, from.perServer, from.coldPace
	g.peerAge, g.peerHeard, g.silent, g.lives, g.toldAt = from.peerAge, from.peerHeard, from.silent, from.lives, from.toldAt
	for i, c := range g.set.Classes { // what is new begins without a history
		was := slices.IndexFunc(from.set.Classes, func(o Class) bool { return o.Name == c.Name })
		if was < 0 {
			continue
		}
		g.typical[i], g.late[i] = from.typical[was], from.late[was]
		for j, p := range g.set.Plans {
			if k := slices.IndexFunc(from.set.Plans, func(o Plan) bool { return o.Name == p.Name }); k >= 0 {
				to, old := &g.groups[i*len(g.set.Plans)+j], from.groups[was*len(from.set.Plans)+k]
				to.told, to.part = old.told, old.part
			}
		}
	}
	for _, s := range from.servers {
		if g.byID[s.ID] == nil {
			g.byID[s.ID], g.servers = s, append(g.servers, s)
		}
	}
	for _, c := range from.customers {
		name := from.set.Plans[c.plan].Name
		c.plan = slices.IndexFunc(g.set.Plans, func(p Plan) bool { return p.Name == name })
		if c.plan < 0 || len(g.customers) >= maxCustomers {
			continue
		}
		c.name = c.name&^(255<<24) | uint64(c.plan&255)<<24
		c.question.customer = c.name
		if g.byShort[c.name] == nil {
			g.byShort[c.name] = c
		}
		if c.met {
			g.byName[c.id] = c
		}
		g.customers = append(g.customers, c)
		g.news(c, g.near...)
	}
	if peers && g.set.Gateways > 1 {
		g.tell()
	}
	return nil
}

// Use is what is left of a customer's quota, as a gateway keeps it for its next life.
type Use struct {
	Name        uint64 // in messages
	Customer    CustomerID
	Account     float64       // units left, below 0 owed
	Since, Away time.Duration // of what is recalled: how long ago that was, and how long ago the former life was last known to live
}

// Uses gives what is left of the customers that were asked for since a moment.
func (g *Gateway) Uses(now, since Time) (list []Use) {
	g.tick(now)
	for _, c := range g.customers {
		if c.lastSeen >= since && g.set.Plans[c.plan].Rate > 0 {
			list = append(list, Use{Name: c.name, Customer: c.id, Account: c.account})
		}
	}
	return list
}

// Recall takes over what the former life of this gateway has kept. It comes before the first request. What it drew right before
// its end is not known: of the hard ceilings only what has filled since is taken to be there, and the fleet is not new.
func (g *Gateway) Recall(now Time, list []Use) {
	g.tick(now)
	g.elders = true
	for _, u := range list {
		c := g.record(u.Name)
		if c == nil || c.met {
			continue
		}
		p := g.set.Plans[c.plan]
		c.account = math.Max(-p.Burst, math.Min(p.Burst, u.Account+u.Since.Seconds()*p.Rate))
		c.ceiling.Left = 0
		c.ceiling.Fill(g.share(c), u.Away, 0)
		c.begun, c.lastSeen = true, now
	}
}

// Elsewhere notes what this gateway's other process, or its module of other settings, has sent to a server.
func (g *Gateway) Elsewhere(now Time, in Request, to ServerID, first bool) {
	g.tick(now)
	if first {
		c := g.customer(in)
		c.drew(in.Units)
		g.draw(&request{Request: in, cust: c, home: g.home(c)}, 1)
	}
	g.sentTo(g.byID[to])
}

// sound tells whether what was read fits together.
func (g *Gateway) sound() bool {
	n := g.set.Gateways
	return len(g.typical) == len(g.set.Classes) && len(g.late) == len(g.set.Classes) &&
		len(g.groups) == len(g.set.Classes)*len(g.set.Plans) && len(g.peerAge) == n && len(g.peerHeard) == n &&
		len(g.silent) == n && len(g.lives) == n && len(g.toldAt) == n &&
		!slices.ContainsFunc(g.customers, func(c *customer) bool {
			return c.plan < 0 || c.plan >= len(g.set.Plans) || c.set < 1 || c.set > n || c.first < 0 || c.first >= n
		}) &&
		!slices.ContainsFunc(g.servers, func(s *server) bool {
			return s.ejections < 0 || s.ejections > ejectDoubles || s.State > Draining
		})
}

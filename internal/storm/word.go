package storm

import "math"

// Kind is the first byte of a word: none that the decision module or another subsystem begins its messages with.
const Kind = 0x72

const (
	form        = 1
	toldSeconds = 16
	sketchBytes = 64
	wordBytes   = 4 + 6 + toldSeconds + sketchBytes
	toldSteps   = 8    // of a byte in a doubling
	leastTold   = 0.25 // the smallest figure that is told
	tellSure    = 0.25 // a storm that is less sure is not told of
)

// Word is what a gateway tells its peers in a storm, some ninety bytes four times a second; in calm it says nothing.
type Word struct {
	Phase           Phase
	Sure            float64
	Seq             uint8
	Firsts, Repeats float64 // that came in the last second
	InTime, Bad     float64 // attempts that ended so
	Limit, Usual    float64
	Promised        [toldSeconds]float64 // returns promised to the seconds ahead
	Failed          Sketch               // of the work that failed lately
}

// Sketch tells roughly which keys were put in: a Bloom filter with two hashes. One that is half full says nothing.
type Sketch [sketchBytes]byte

func (s *Sketch) put(k uint64) {
	for _, h := range [...]uint64{k, k >> 24} {
		s[h/8%sketchBytes] |= 1 << (h % 8)
	}
}

func (s *Sketch) has(k uint64) bool {
	for _, h := range [...]uint64{k, k >> 24} {
		if s[h/8%sketchBytes]>>(h%8)&1 == 0 {
			return false
		}
	}
	return !s.full()
}

func (s *Sketch) full() bool {
	n := 0
	for _, b := range s {
		for ; b > 0; b &= b - 1 {
			n++
		}
	}
	return n > sketchBytes*8/2
}

func toByte(x float64) byte {
	if !(x >= leastTold) {
		return 0
	}
	return byte(math.Min(255, 1+math.Round(toldSteps*math.Log2(x/leastTold))))
}

func fromByte(b byte) float64 {
	if b == 0 {
		return 0
	}
	return leastTold * math.Exp2(float64(b-1)/toldSteps)
}

// Pack words it for the wire.
func (w *Word) Pack() []byte {
	m := append(make([]byte, 0, wordBytes), Kind, form, byte(w.Phase)<<6|byte(math.Round(63*math.Max(0, math.Min(1, w.Sure)))), w.Seq)
	for _, x := range [...]float64{w.Firsts, w.Repeats, w.InTime, w.Bad, w.Limit, w.Usual} {
		m = append(m, toByte(x))
	}
	for _, x := range w.Promised {
		m = append(m, toByte(x))
	}
	return append(m, w.Failed[:]...)
}

// Unpack reads one; ok tells whether it is one.
func Unpack(m []byte) (w Word, ok bool) {
	if len(m) != wordBytes || m[0] != Kind || m[1] != form || m[2]>>6 > byte(Recovery) {
		return w, false
	}
	w.Phase, w.Sure, w.Seq = Phase(m[2]>>6), float64(m[2]&63)/63, m[3]
	for i, to := range [...]*float64{&w.Firsts, &w.Repeats, &w.InTime, &w.Bad, &w.Limit, &w.Usual} {
		*to = fromByte(m[4+i])
	}
	for i := range w.Promised {
		w.Promised[i] = fromByte(m[10+i])
	}
	copy(w.Failed[:], m[10+toldSeconds:])
	return w, true
}

type peer struct {
	at    Time // when it was last heard
	heard bool
	said  Word
}

func (p *peer) fresh(now Time) bool { return p.heard && now-p.at <= freshFor }

// Hear takes a peer's word in. What is odd, old or no word at all is dropped.
func (g *Guard) Hear(now Time, from int, m []byte) {
	g.begin(now)
	w, ok := Unpack(m)
	if !ok || from < 0 || from >= len(g.peers) || from == g.opt.Me {
		g.figures.Odd++
		return
	}
	p := &g.peers[from]
	if p.fresh(now) && int8(w.Seq-p.said.Seq) <= 0 { // came twice, or late
		g.figures.Odd++
		return
	}
	g.figures.Heard++
	*p = peer{now, true, w}
}

// tell gives this gateway's word; nil in calm.
func (g *Guard) tell(now Time) []byte {
	if g.phase == Calm || g.sure < tellSure && now-g.since > window {
		return nil
	}
	here := g.recent()
	g.seq++
	w := Word{Phase: g.phase, Sure: math.Max(g.sure, tellSure), Seq: g.seq, Firsts: here.Firsts, Repeats: here.Repeats, InTime: here.InTime,
		Bad: here.Late + here.Lost, Limit: g.limit, Usual: g.rate()}
	for s := g.slot; s < g.slot+int64(slots); s++ {
		second := int((Time(s)*slotLength - now).Seconds())
		if second >= 0 && second < toldSeconds {
			w.Promised[second] += g.promised[s%int64(slots)]
		}
	}
	for i := len(g.queue) - 1; i >= 0 && i >= len(g.queue)-sketchBytes*2; i-- { // the latest, as far as they can be told apart
		if f := g.failed[g.queue[i]]; f != nil && f.n > 0 {
			w.Failed.put(g.queue[i])
		}
	}
	return w.Pack()
}

// told gives the phase that most fresh peers are in, and what they find usual.
func (g *Guard) told(now Time) (Phase, float64) {
	var n [Recovery + 1]int
	usual := 0.0
	for i := range g.peers {
		if p := &g.peers[i]; p.fresh(now) {
			n[p.said.Phase]++
			usual = math.Max(usual, p.said.Usual)
		}
	}
	switch {
	case n[Outage] > n[Recovery]:
		return Outage, usual
	case n[Recovery] > 0:
		return Recovery, usual
	}
	return Calm, usual
}

package storm

import "math"

// Kind is the first byte of a word: none that the decision module or another subsystem begins its messages with.
const Kind = 0x72

const (
	formatVersion    = 1
	scheduleSeconds  = 16
	bloomBytes       = 64
	messageSize      = 4 + 6 + scheduleSeconds + bloomBytes
	stepsPerDoubling = 8    // of a byte in a doubling
	minEncoded       = 0.25 // the smallest figure that is told
	minConfidence    = 0.25 // a storm that is less sure is not told of
)

// Word is what a gateway tells its peers in a storm, some ninety bytes four times a second; in calm it says nothing.
type Message struct {
	Phase                  Phase
	Confidence             float64
	Seq                    uint8
	FirstAttempts, Retries float64 // that came in the last second
	InTime, Failed         float64 // attempts that ended so
	Limit, Baseline        float64
	Scheduled              [scheduleSeconds]float64 // returns promised to the seconds ahead
	FailedWork             BloomFilter              // of the work that failed lately
}

// Sketch tells roughly which keys were put in: a Bloom filter with two hashes. One that is half full says nothing.
type BloomFilter [bloomBytes]byte

func (s *BloomFilter) add(k uint64) {
	for _, h := range [...]uint64{k, k >> 24} {
		s[h/8%bloomBytes] |= 1 << (h % 8)
	}
}

func (s *BloomFilter) contains(k uint64) bool {
	for _, h := range [...]uint64{k, k >> 24} {
		if s[h/8%bloomBytes]>>(h%8)&1 == 0 {
			return false
		}
	}
	return !s.saturated()
}

func (s *BloomFilter) saturated() bool {
	n := 0
	for _, b := range s {
		for ; b > 0; b &= b - 1 {
			n++
		}
	}
	return n > bloomBytes*8/2
}

func encodeLog(x float64) byte {
	if !(x >= minEncoded) {
		return 0
	}
	return byte(math.Min(255, 1+math.Round(stepsPerDoubling*math.Log2(x/minEncoded))))
}

func decodeLog(b byte) float64 {
	if b == 0 {
		return 0
	}
	return minEncoded * math.Exp2(float64(b-1)/stepsPerDoubling)
}

// Pack words it for the wire.
func (w *Message) Encode() []byte {
	m := append(make([]byte, 0, messageSize), Kind, formatVersion, byte(w.Phase)<<6|byte(math.Round(63*math.Max(0, math.Min(1, w.Confidence)))), w.Seq)
	for _, x := range [...]float64{w.FirstAttempts, w.Retries, w.InTime, w.Failed, w.Limit, w.Baseline} {
		m = append(m, encodeLog(x))
	}
	for _, x := range w.Scheduled {
		m = append(m, encodeLog(x))
	}
	return append(m, w.FailedWork[:]...)
}

// Unpack reads one; ok tells whether it is one.
func Decode(m []byte) (w Message, ok bool) {
	if len(m) != messageSize || m[0] != Kind || m[1] != formatVersion || m[2]>>6 > byte(Recovery) {
		return w, false
	}
	w.Phase, w.Confidence, w.Seq = Phase(m[2]>>6), float64(m[2]&63)/63, m[3]
	for i, to := range [...]*float64{&w.FirstAttempts, &w.Retries, &w.InTime, &w.Failed, &w.Limit, &w.Baseline} {
		*to = decodeLog(m[4+i])
	}
	for i := range w.Scheduled {
		w.Scheduled[i] = decodeLog(m[10+i])
	}
	copy(w.FailedWork[:], m[10+scheduleSeconds:])
	return w, true
}

type peer struct {
	receivedAt Time // when it was last heard
	known      bool
	message    Message
}

func (p *peer) fresh(now Time) bool { return p.known && now-p.receivedAt <= peerTTL }

// Hear takes a peer's word in. What is odd, old or no word at all is dropped.
func (g *Guard) Receive(now Time, from int, m []byte) {
	g.start(now)
	w, ok := Decode(m)
	if !ok || from < 0 || from >= len(g.peers) || from == g.opt.Self {
		g.stats.MessagesDropped++
		return
	}
	p := &g.peers[from]
	if p.fresh(now) && int8(w.Seq-p.message.Seq) <= 0 { // came twice, or late
		g.stats.MessagesDropped++
		return
	}
	g.stats.MessagesReceived++
	*p = peer{now, true, w}
}

// tell gives this gateway's word; nil in calm.
func (g *Guard) message(now Time) []byte {
	if g.phase == Calm || g.confidence < minConfidence && now-g.phaseSince > window {
		return nil
	}
	here := g.recent()
	g.seq++
	w := Message{Phase: g.phase, Confidence: math.Max(g.confidence, minConfidence), Seq: g.seq, FirstAttempts: here.FirstAttempts, Retries: here.Retries, InTime: here.InTime,
		Failed: here.Late + here.Failed, Limit: g.limit, Baseline: g.baselineRate()}
	for s := g.firstSlot; s < g.firstSlot+int64(slotCount); s++ {
		second := int((Time(s)*slotDuration - now).Seconds())
		if second >= 0 && second < scheduleSeconds {
			w.Scheduled[second] += g.scheduled[s%int64(slotCount)]
		}
	}
	for i := len(g.failedOrder) - 1; i >= 0 && i >= len(g.failedOrder)-bloomBytes*2; i-- { // the latest, as far as they can be told apart
		if f := g.failedWork[g.failedOrder[i]]; f != nil && f.count > 0 {
			w.FailedWork.add(g.failedOrder[i])
		}
	}
	return w.Encode()
}

// told gives the phase that most fresh peers are in, and what they find usual.
func (g *Guard) peerPhase(now Time) (Phase, float64) {
	var n [Recovery + 1]int
	usual := 0.0
	for i := range g.peers {
		if p := &g.peers[i]; p.fresh(now) {
			n[p.message.Phase]++
			usual = math.Max(usual, p.message.Baseline)
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

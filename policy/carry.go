package policy

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

// What a successor is handed. Nothing here chooses.

// What a gateway knows can go on in another: one with other settings, or in the process that follows this one. It is
// carried as fields in a fixed order, which one listing both writes and reads; open requests are no part of it.

const stateVersion = 3

// carrier writes or reads fields. Once it has met something odd it reads nothing more.
type stateCodec struct {
	buf     []byte
	reading bool
	invalid bool
	now     Time // of the writing
}

// carry takes whole numbers through.
func integers[T ~int | ~int64 | ~uint8 | ~uint32 | ~uint64](x *stateCodec, list ...*T) {
	for _, v := range list {
		if !x.reading {
			x.buf = binary.AppendVarint(x.buf, int64(*v))
			continue
		}
		n, size := binary.Varint(x.buf)
		if *v = T(n); size <= 0 || int64(*v) != n {
			*v, x.invalid, size = 0, true, len(x.buf)
		}
		x.buf = x.buf[size:]
	}
}

// times are written as distances from the writing. What lies far ahead is odd.
func (x *stateCodec) times(list ...*Time) {
	for _, t := range list {
		d := *t - x.now
		if integers(x, &d); x.reading {
			*t = x.now + d
			x.invalid = x.invalid || d > time.Hour || *t < 0
		}
	}
}

// numbers keep seven digits.
func (x *stateCodec) numbers(list ...*float64) {
	for _, v := range list {
		if !x.reading {
			x.buf = binary.BigEndian.AppendUint32(x.buf, math.Float32bits(float32(*v)))
			continue
		}
		if len(x.buf) < 4 {
			*v, x.invalid, x.buf = 0, true, nil
			continue
		}
		*v, x.buf = float64(math.Float32frombits(binary.BigEndian.Uint32(x.buf))), x.buf[4:]
		if !(math.Abs(*v) <= math.MaxFloat32) {
			*v, x.invalid = 0, true
		}
	}
}

func (x *stateCodec) flags(list ...*bool) {
	for _, v := range list {
		var n uint8
		if *v {
			n = 1
		}
		integers(x, &n)
		*v = n == 1
	}
}

func (x *stateCodec) text(s *string) {
	n := x.length(len(*s), 1)
	if !x.reading {
		x.buf = append(x.buf, *s...)
	} else if !x.invalid {
		*s, x.buf = string(x.buf[:n]), x.buf[n:]
	}
}

// size carries how many follow, each of which takes so many bytes at least.
func (x *stateCodec) length(n, least int) int {
	if integers(x, &n); x.reading && (n < 0 || n > len(x.buf)/least) {
		x.invalid, x.buf = true, nil
	}
	if x.invalid {
		return 0
	}
	return n
}

// sized carries a list.
func listOf[T any](x *stateCodec, list *[]T, least int, each func(*T)) {
	n := x.length(len(*list), least)
	if x.reading {
		*list = make([]T, n)
	}
	for i := range *list {
		each(&(*list)[i])
	}
}

func (x *stateCodec) means(list ...*decayingMean) {
	for _, m := range list {
		x.numbers(&m.sum, &m.weight)
		x.times(&m.decayedAt)
		x.invalid = x.invalid || m.weight < 0
	}
}

func (x *stateCodec) tally(t *pushSum) {
	x.numbers(&t.local[0], &t.local[1], &t.pooled[0], &t.pooled[1])
	x.times(&t.decayedAt)
}

func (x *stateCodec) gateway(g *Gateway) {
	integers(x, &x.now)
	x.times(&g.startedAt, &g.unseenFillSince, &g.lastShed, &g.lastContact)
	integers(x, &g.lastQuery)
	x.flags(&g.olderPeerKnown, &g.slowAnswerSeen)
	x.numbers(&g.retryBudget, &g.hedgeBudget, &g.warmThroughput)
	x.means(&g.coldLatency)
	integers(x, &g.cfg.Self, &g.cfg.Gateways)
	listOf(x, &g.cfg.Classes, 1, func(c *Class) { x.text(&c.Name) })
	listOf(x, &g.cfg.Plans, 1, func(p *Plan) { x.text(&p.Name) })
	listOf(x, &g.classLatency, 9, func(m *decayingMean) { x.means(m) })
	listOf(x, &g.lateness, 9, func(m *decayingMean) { x.means(m) })
	listOf(x, &g.groups, 21, func(p *group) { x.tally(&p.latency); x.numbers(&p.capacityShare) })
	for _, list := range []*[]Time{&g.peerLastContact, &g.suspectedUntil, &g.fullUpdateAt} {
		listOf(x, list, 1, func(t *Time) { x.times(t) })
	}
	listOf(x, &g.peerAge, 1, func(d *time.Duration) { integers(x, d) })
	listOf(x, &g.incarnations, 1, func(n *int) { integers(x, n) })
	listOf(x, &g.servers, 50, func(s **server) { x.server(allocate(x, s)) })
	listOf(x, &g.customers, 100, func(c **customer) { x.customer(allocate(x, c)) })
}

// fresh gives what stands at a place of a list of pointers, which is new where it is read.
func allocate[T any](x *stateCodec, at **T) *T {
	if x.reading {
		*at = new(T)
	}
	return *at
}

func (x *stateCodec) server(s *server) {
	integers(x, &s.ID)
	integers(x, &s.Zone, &s.Kind, &s.Cell, &s.ejections, &s.consecutiveFailures, &s.servedTotal)
	integers(x, &s.State)
	x.times(&s.StartedAt, &s.ejectedUntil, &s.coldBudget.CreditedAt, &s.lastServed)
	x.flags(&s.listed)
	x.numbers(&s.Weight, &s.coldBudget.Credit, &s.capacity)
	x.means(&s.relativeLatency, &s.failures, &s.wasted, &s.answers)
	listOf(x, &s.coldBudget.Sent, 1, func(t *Time) { x.times(t) })
}

func (x *stateCodec) customer(c *customer) {
	integers(x, &c.id)
	x.flags(&c.seenHere, &c.lastQueryAdmitted, &c.limitFilled)
	integers(x, &c.plan, &c.setSize, &c.firstGateway, &c.lastQuery.from)
	x.numbers(&c.balance, &c.hardLimit.Tokens, &c.used, &c.lastQuery.units)
	x.times(&c.refilledAt, &c.lastSeen)
	x.means(&c.demand)
	x.tally(&c.sharedDemand)
	integers(x, &c.key, &c.lastQuery.customerKey)
	integers(x, &c.lastQuery.token)
	integers(x, &c.generation)
	for i := range c.peers {
		h := &c.peers[i]
		integers(x, &h.incarnation)
		integers(x, &h.generation, &h.inFlight)
		x.numbers(&h.used, &h.ownUsedSent)
	}
}

// Carry gives what this gateway knows, for Follow: of the customers those seen last, as many as go into so many bytes. The
// rest will be taken for new ones, as though they had been idle.
func (g *Gateway) ExportState(now Time, most int) []byte {
	g.advance(now)
	all, one := *g, stateCodec{now: now}
	all.customers = nil
	list := slices.Clone(g.customers)
	slices.SortStableFunc(list, func(a, b *customer) int { return cmp.Compare(b.lastSeen, a.lastSeen) })
	x := stateCodec{buf: []byte{stateVersion}, now: now}
	x.gateway(&all)
	if len(list) > 0 {
		one.customer(list[0])
		all.customers = list[:min(len(list), max(0, most-len(x.buf))/len(one.buf))]
		x = stateCodec{buf: []byte{stateVersion}, now: now}
		x.gateway(&all)
	}
	return x.buf
}

// Follow takes over what another gateway of the same number knew. It comes right after Attach, and takes all or nothing.
func (g *Gateway) ImportState(now Time, carried []byte) error {
	from := &Gateway{}
	x := stateCodec{buf: carried, reading: true, invalid: len(carried) == 0 || carried[0] != stateVersion}
	if !x.invalid {
		x.buf = carried[1:]
		x.gateway(from)
	}
	if x.invalid || len(x.buf) > 0 || g.started || from.cfg.Self != g.cfg.Self || from.cfg.Gateways != g.cfg.Gateways || !from.consistent() {
		return errors.New("carried state: odd, late, or another gateway's")
	}
	peers := g.cfg.Peers
	g.cfg.Peers = false // the first word to them is to be the same gateway's
	g.advance(now)
	g.cfg.Peers = peers
	g.startedAt, g.unseenFillSince, g.lastShed, g.lastContact, g.lastQuery = from.startedAt, from.unseenFillSince, from.lastShed, from.lastContact, from.lastQuery
	g.slowAnswerSeen = from.slowAnswerSeen
	g.olderPeerKnown, g.retryBudget, g.hedgeBudget, g.warmThroughput, g.coldLatency = from.olderPeerKnown, from.retryBudget, from.hedgeBudget, from.warmThroughput, from.coldLatency
	g.peerAge, g.peerLastContact, g.suspectedUntil, g.incarnations, g.fullUpdateAt = from.peerAge, from.peerLastContact, from.suspectedUntil, from.incarnations, from.fullUpdateAt
	for i, c := range g.cfg.Classes { // what is new begins without a history
		was := slices.IndexFunc(from.cfg.Classes, func(o Class) bool { return o.Name == c.Name })
		if was < 0 {
			continue
		}
		g.classLatency[i], g.lateness[i] = from.classLatency[was], from.lateness[was]
		for j, p := range g.cfg.Plans {
			if k := slices.IndexFunc(from.cfg.Plans, func(o Plan) bool { return o.Name == p.Name }); k >= 0 {
				to, old := &g.groups[i*len(g.cfg.Plans)+j], from.groups[was*len(from.cfg.Plans)+k]
				to.latency, to.capacityShare = old.latency, old.capacityShare
			}
		}
	}
	for _, s := range from.servers {
		if g.serversByID[s.ID] == nil {
			g.serversByID[s.ID], g.servers = s, append(g.servers, s)
		}
	}
	for _, c := range from.customers {
		name := from.cfg.Plans[c.plan].Name
		c.plan = slices.IndexFunc(g.cfg.Plans, func(p Plan) bool { return p.Name == name })
		if c.plan < 0 || len(g.customers) >= maxCustomers {
			continue
		}
		c.key = c.key&^(255<<24) | uint64(c.plan&255)<<24
		c.lastQuery.customerKey = c.key
		if g.customersByKey[c.key] == nil {
			g.customersByKey[c.key] = c
		}
		if c.seenHere {
			g.customersByID[c.id] = c
		}
		g.customers = append(g.customers, c)
		g.queueUpdate(c, g.nearby...)
	}
	if peers && g.cfg.Gateways > 1 {
		g.sendUpdates()
	}
	return nil
}

// sound tells whether what was read fits together.
func (g *Gateway) consistent() bool {
	n := g.cfg.Gateways
	return len(g.classLatency) == len(g.cfg.Classes) && len(g.lateness) == len(g.cfg.Classes) &&
		len(g.groups) == len(g.cfg.Classes)*len(g.cfg.Plans) && len(g.peerAge) == n && len(g.peerLastContact) == n &&
		len(g.suspectedUntil) == n && len(g.incarnations) == n && len(g.fullUpdateAt) == n &&
		!slices.ContainsFunc(g.customers, func(c *customer) bool {
			return c.plan < 0 || c.plan >= len(g.cfg.Plans) || c.setSize < 1 || c.setSize > n || c.firstGateway < 0 || c.firstGateway >= n
		}) &&
		!slices.ContainsFunc(g.servers, func(s *server) bool {
			return s.ejections < 0 || s.ejections > maxEjectionDoublings || s.State > Draining
		})
}

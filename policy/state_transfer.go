package policy

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

// The export of a gateway's state to its successor, which is a Gateway with other settings or one in the process that
// replaces this one.

// The format is a version byte followed by fields in a fixed order, without names. The same code both writes and reads
// the fields. Requests and attempts in flight are not included.

const stateVersion = 3

// Lower bounds for the encoded sizes of list items, for stateCodec.length.
const (
	minMeanBytes     = 9
	minGroupBytes    = 21
	minServerBytes   = 50
	minCustomerBytes = 100
)

// ErrState is returned for state that can't be imported because it is invalid or inconsistent, is of another gateway or
// number of gateways, or is imported after the first event.
var ErrState = errors.New("policy: state invalid or inconsistent, of other gateways, or imported after the first event")

// stateCodec writes or reads fields. Once a field was invalid, the values read must not be used.
type stateCodec struct {
	buf     []byte // the bytes written so far, or still to be read
	reading bool
	invalid bool
	now     Time // of the export; times are encoded as distances from it
}

// integers encodes integers as signed varints.
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

// times encodes times relative to the time of the export. A time more than an hour later than the export is invalid.
func (x *stateCodec) times(list ...*Time) {
	for _, t := range list {
		d := *t - x.now
		if integers(x, &d); x.reading {
			*t = x.now + d
			x.invalid = x.invalid || d > time.Hour || *t < 0
		}
	}
}

// numbers encodes numbers as float32, which keeps seven digits. NaN and infinity are invalid.
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

// flags encodes booleans as 0 or 1.
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

// text encodes a string as its length and its bytes.
func (x *stateCodec) text(s *string) {
	n := x.length(len(*s), 1)
	if !x.reading {
		x.buf = append(x.buf, *s...)
	} else if !x.invalid {
		*s, x.buf = string(x.buf[:n]), x.buf[n:]
	}
}

// length encodes and returns a number of items, each of which takes at least minBytes bytes. When reading, more items
// than the input has room for are invalid, so that invalid input can't cause a large allocation.
func (x *stateCodec) length(n, minBytes int) int {
	if integers(x, &n); x.reading && (n < 0 || n > len(x.buf)/minBytes) {
		x.invalid, x.buf = true, nil
	}
	if x.invalid {
		return 0
	}
	return n
}

// listOf encodes a list as its length and its items. encodeItem encodes one item, which takes at least minBytes bytes.
func listOf[T any](x *stateCodec, list *[]T, minBytes int, encodeItem func(*T)) {
	n := x.length(len(*list), minBytes)
	if x.reading {
		*list = make([]T, n)
	}
	for i := range *list {
		encodeItem(&(*list)[i])
	}
}

// means encodes decaying means.
func (x *stateCodec) means(list ...*decayingMean) {
	for _, m := range list {
		x.numbers(&m.sum, &m.weight)
		x.times(&m.decayedAt)
		x.invalid = x.invalid || m.weight < 0
	}
}

// pushSum encodes this gateway's part of push-sum figures.
func (x *stateCodec) pushSum(t *pushSum) {
	x.numbers(&t.local[0], &t.local[1], &t.pooled[0], &t.pooled[1])
	x.times(&t.decayedAt)
}

// gateway encodes a gateway with its servers and customers.
func (x *stateCodec) gateway(g *Gateway) {
	integers(x, &x.now)
	x.times(&g.startedAt, &g.hardLimitFillSince, &g.lastShed, &g.lastContact)
	integers(x, &g.lastQuery)
	x.flags(&g.olderPeerKnown, &g.slowAnswerSeen)
	x.numbers(&g.retryBudget, &g.hedgeBudget, &g.warmThroughput)
	x.means(&g.coldLatency)
	integers(x, &g.cfg.Self, &g.cfg.Gateways)
	listOf(x, &g.cfg.Classes, 1, func(c *Class) { x.text(&c.Name) })
	listOf(x, &g.cfg.Plans, 1, func(p *Plan) { x.text(&p.Name) })
	listOf(x, &g.classLatency, minMeanBytes, func(m *decayingMean) { x.means(m) })
	listOf(x, &g.lateness, minMeanBytes, func(m *decayingMean) { x.means(m) })
	listOf(x, &g.groups, minGroupBytes, func(one *group) { x.pushSum(&one.latency); x.numbers(&one.capacityShare) })
	for _, list := range []*[]Time{&g.peerLastContact, &g.suspectedUntil, &g.fullUpdateAt} {
		listOf(x, list, 1, func(t *Time) { x.times(t) })
	}
	listOf(x, &g.peerAge, 1, func(d *time.Duration) { integers(x, d) })
	listOf(x, &g.incarnations, 1, func(n *int) { integers(x, n) })
	listOf(x, &g.servers, minServerBytes, func(s **server) { x.server(allocate(x, s)) })
	listOf(x, &g.customers, minCustomerBytes, func(c **customer) { x.customer(allocate(x, c)) })
}

// allocate returns the item at a place in a list of pointers. When reading, it first sets the item to a new one.
func allocate[T any](x *stateCodec, at **T) *T {
	if x.reading {
		*at = new(T)
	}
	return *at
}

// server encodes a server, without its attempts in flight.
func (x *stateCodec) server(s *server) {
	integers(x, &s.ID)
	integers(x, &s.Zone, &s.Kind, &s.Cell, &s.ejections, &s.consecutiveFailures, &s.servedTotal)
	integers(x, &s.State)
	x.times(&s.StartedAt, &s.ejectedUntil, &s.slowStartBudget.CreditedAt, &s.lastServed)
	x.flags(&s.listed)
	x.numbers(&s.Weight, &s.slowStartBudget.Credit, &s.capacity)
	x.means(&s.relativeLatency, &s.failures, &s.wasted, &s.answers)
	listOf(x, &s.slowStartBudget.Sent, 1, func(t *Time) { x.times(t) })
}

// customer encodes a customer, without its requests and attempts.
func (x *stateCodec) customer(c *customer) {
	integers(x, &c.id)
	x.flags(&c.seenHere, &c.lastQueryAdmitted, &c.limitFilled)
	integers(x, &c.plan, &c.setSize, &c.firstGateway, &c.lastQuery.from)
	x.numbers(&c.balance, &c.hardLimit.Tokens, &c.used, &c.lastQuery.units)
	x.times(&c.refilledAt, &c.lastSeen)
	x.means(&c.demand)
	x.pushSum(&c.sharedDemand)
	integers(x, &c.key, &c.lastQuery.customerKey)
	integers(x, &c.lastQuery.token)
	integers(x, &c.generation)
	for i := range c.peers {
		peer := &c.peers[i]
		integers(x, &peer.incarnation)
		integers(x, &peer.generation, &peer.inFlight)
		x.numbers(&peer.used, &peer.ownUsedSent)
	}
}

// ExportState returns the state for ImportState, in at most about maxBytes. If not all customers fit, it includes those
// seen last; the successor treats the others as if they had been idle.
func (g *Gateway) ExportState(now Time, maxBytes int) []byte {
	g.advance(now)
	exported, sample := *g, stateCodec{now: now}
	exported.customers = nil
	list := slices.Clone(g.customers)
	slices.SortStableFunc(list, func(a, b *customer) int { return cmp.Compare(b.lastSeen, a.lastSeen) })
	x := stateCodec{buf: []byte{stateVersion}, now: now}
	x.gateway(&exported)
	if len(list) > 0 {
		sample.customer(list[0]) // the other customers take about as many bytes
		exported.customers = list[:min(len(list), max(0, maxBytes-len(x.buf))/len(sample.buf))]
		x = stateCodec{buf: []byte{stateVersion}, now: now}
		x.gateway(&exported)
	}
	return x.buf
}

// ImportState imports the state of another Gateway with the same number. It imports either all of the state or, if the
// state is invalid, none of it, and then returns ErrState. It must be called right after Attach.
func (g *Gateway) ImportState(now Time, state []byte) error {
	from := &Gateway{}
	x := stateCodec{buf: state, reading: true, invalid: len(state) == 0 || state[0] != stateVersion}
	if !x.invalid {
		x.buf = state[1:]
		x.gateway(from)
	}
	if x.invalid || len(x.buf) > 0 || g.started || from.cfg.Self != g.cfg.Self ||
		from.cfg.Gateways != g.cfg.Gateways || !from.consistent() {
		return ErrState
	}
	peers := g.cfg.Peers
	g.cfg.Peers = false // the first update must have the imported state, as peers see the same gateway
	g.advance(now)
	g.cfg.Peers = peers
	g.importFigures(from)
	g.importGroups(from)
	for _, s := range from.servers {
		if g.serversByID[s.ID] == nil {
			g.serversByID[s.ID], g.servers = s, append(g.servers, s)
		}
	}
	g.importCustomers(from)
	if peers && g.cfg.Gateways > 1 {
		g.sendUpdates()
	}
	return nil
}

// importFigures imports the state that depends on neither classes nor plans.
func (g *Gateway) importFigures(from *Gateway) {
	g.startedAt, g.hardLimitFillSince, g.lastShed = from.startedAt, from.hardLimitFillSince, from.lastShed
	g.lastContact, g.lastQuery, g.olderPeerKnown = from.lastContact, from.lastQuery, from.olderPeerKnown
	g.retryBudget, g.hedgeBudget = from.retryBudget, from.hedgeBudget
	g.slowAnswerSeen, g.warmThroughput, g.coldLatency = from.slowAnswerSeen, from.warmThroughput, from.coldLatency
	g.peerAge, g.peerLastContact, g.suspectedUntil = from.peerAge, from.peerLastContact, from.suspectedUntil
	g.incarnations, g.fullUpdateAt = from.incarnations, from.fullUpdateAt
}

// importGroups imports the state of classes and groups, matched by their names. New ones keep their initial state.
func (g *Gateway) importGroups(from *Gateway) {
	for i, class := range g.cfg.Classes {
		oldClass := slices.IndexFunc(from.cfg.Classes, func(c Class) bool { return c.Name == class.Name })
		if oldClass < 0 {
			continue
		}
		g.classLatency[i], g.lateness[i] = from.classLatency[oldClass], from.lateness[oldClass]
		for j, plan := range g.cfg.Plans {
			oldPlan := slices.IndexFunc(from.cfg.Plans, func(p Plan) bool { return p.Name == plan.Name })
			if oldPlan >= 0 {
				to, old := &g.groups[i*len(g.cfg.Plans)+j], from.groups[oldClass*len(from.cfg.Plans)+oldPlan]
				to.latency, to.capacityShare = old.latency, old.capacityShare
			}
		}
	}
}

// importCustomers imports the customers whose plans still exist. A plan's number, which is part of a customer's key,
// may have changed.
func (g *Gateway) importCustomers(from *Gateway) {
	for _, c := range from.customers {
		name := from.cfg.Plans[c.plan].Name
		c.plan = slices.IndexFunc(g.cfg.Plans, func(p Plan) bool { return p.Name == name })
		if c.plan < 0 || len(g.customers) >= g.maxCustomers {
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
}

// consistent reports whether the parts of a state that was read fit together.
func (g *Gateway) consistent() bool {
	classes, gateways := len(g.cfg.Classes), g.cfg.Gateways
	return len(g.classLatency) == classes && len(g.lateness) == classes &&
		len(g.groups) == classes*len(g.cfg.Plans) && len(g.peerAge) == gateways &&
		len(g.peerLastContact) == gateways && len(g.suspectedUntil) == gateways &&
		len(g.incarnations) == gateways && len(g.fullUpdateAt) == gateways &&
		!slices.ContainsFunc(g.customers, func(c *customer) bool {
			return c.plan < 0 || c.plan >= len(g.cfg.Plans) || c.setSize < 1 || c.setSize > gateways ||
				c.firstGateway < 0 || c.firstGateway >= gateways
		}) &&
		!slices.ContainsFunc(g.servers, func(s *server) bool {
			return s.ejections < 0 || s.ejections > maxEjectionDoublings || s.State > Draining
		})
}

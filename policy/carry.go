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

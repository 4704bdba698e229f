package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// What goes wrong in a run, and how do scripts name it? Scripts are shared with internal/lab/faults, which plays them
// on real processes.

// Trouble is a fault of a script: its kind, its time and what it strikes.
type Trouble struct {
	At, For time.Duration // from the start of the run; how long it lasts
	Kind    Kind
	Part    float64 // share of the members, or of the gateways

	// Size is how strong it is, by kind, and 0 the default in brackets: how many times slower (Slow: 3); the share of
	// messages that are lost, come twice or are corrupted (Lossy, Twice, Spoilt: 0.3); the share of members that can't
	// be reached (Sever: a third); the longest delay in seconds (Late: 0.2); seconds that a clock is ahead (Clock: 10).
	Size float64
}

// Kind is a kind of trouble, by its name in scripts.
type Kind string

// The kinds of trouble.
const (
	Hang    Kind = "hang"    // members take requests and answer none
	Stop    Kind = "stop"    // members' processes end and start again, cold; server lists don't say so
	Pause   Kind = "pause"   // members are paused for 0.2 to 0.5 s in each second
	Drain   Kind = "drain"   // members drain, and are listed as ready again afterwards
	Restart Kind = "restart" // gateways are killed and start again without state, one after another
	Room    Kind = "room"    // one room is partitioned from the others; its members' processes end, and start again cold
	Split   Kind = "split"   // all messages between gateways are lost, server lists come late, members hang
	Slow    Kind = "slow"    // members are slower; with part 1 it stands for a shared dependency that is slow
	Shrink  Kind = "shrink"  // members drain one after another and depart
	Replace Kind = "replace" // members drain, and new ones, which are cold, take their places

	Kill   Kind = "kill"   // gateways are killed at once, and start again when it is over
	Stall  Kind = "stall"  // gateways' processes are paused, and resumed when it is over
	Deaf   Kind = "deaf"   // gateways neither send nor receive messages of peers
	Halves Kind = "halves" // the gateways that are struck and the others are partitioned from each other
	OneWay Kind = "oneway" // gateways receive no messages of peers, and theirs arrive
	Lossy  Kind = "loss"   // gateways lose a share of the messages to them
	Sever  Kind = "cut"    // gateways can't reach a share of the members
	Silent Kind = "silent" // gateways get no server lists
	Late   Kind = "late"   // messages to gateways are delayed, and may be reordered
	Twice  Kind = "twice"  // a share of the messages to gateways is duplicated
	Spoilt Kind = "spoilt" // a share of the messages to gateways has a bit flipped
	Shut   Kind = "shut"   // the front sends no clients to gateways, which run on
	Clock  Kind = "clock"  // gateways' clocks are ahead of the members' for all of the run
)

// Kinds are all kinds of trouble. Drawn picks one by its index.
var Kinds = []Kind{Hang, Stop, Pause, Drain, Restart, Room, Split, Slow, Shrink, Replace, Kill, Stall, Deaf,
	Halves, OneWay, Lossy, Sever, Silent, Late, Twice, Spoilt, Shut, Clock}

// known tells whether a kind is one of Kinds.
func known(k Kind) bool { return slices.Contains(Kinds, k) }

// ofGateways tells whether a kind strikes gateways rather than members.
func (k Kind) ofGateways() bool {
	return slices.Contains([]Kind{Restart, Kill, Stall, Deaf, Halves, OneWay, Lossy, Sever, Silent, Late, Twice, Spoilt,
		Shut, Clock}, k)
}

// ParseTrouble reads a trouble in the form kind:at:for:part or kind:at:for:part:size.
func ParseTrouble(text string) (t Trouble, err error) {
	parts := strings.Split(text, ":")
	if len(parts) != 4 && len(parts) != 5 {
		return t, fmt.Errorf("%q: not kind:at:for:part[:size]", text)
	}
	t.Kind = Kind(parts[0])
	var list [4]error
	t.At, list[0] = time.ParseDuration(parts[1])
	t.For, list[1] = time.ParseDuration(parts[2])
	t.Part, list[2] = strconv.ParseFloat(parts[3], 64)
	if len(parts) == 5 {
		t.Size, list[3] = strconv.ParseFloat(parts[4], 64)
	}
	if err := errors.Join(list[:]...); err != nil {
		return t, fmt.Errorf("%q: %w", text, err)
	}
	return t, t.Check()
}

// Check returns an error that says which values are allowed where a trouble has others.
func (t Trouble) Check() error {
	if !known(t.Kind) || !(t.Part > 0 && t.Part <= 1) || t.At < 0 || t.For < 0 || !(t.Size >= 0) {
		return fmt.Errorf("kind one of %v, part above 0 and at most 1, times and size not below 0", Kinds)
	}
	return nil
}

// String gives the form that ParseTrouble reads.
func (t Trouble) String() string {
	text := fmt.Sprintf("%s:%v:%v:%g", t.Kind, t.At, t.For, t.Part)
	if t.Size != 0 {
		text += fmt.Sprintf(":%g", t.Size)
	}
	return text
}

// Struck draws which of n gateways or members the trouble at an index of the script strikes. It depends on nothing but
// its arguments, so a script strikes the same ones here and on real processes.
func Struck(seed uint64, place, n int, part float64) []int {
	return struck(NewEngine(seed).Stream(fmt.Sprintf("trouble %d", place)), n, part)
}

// messageFault is what happens to messages between gateways while a trouble lasts.
type messageFault struct {
	lost    func(from, to int) float64 // share that is lost; nil: none, and kind says what happens
	kind    Kind                       // Late, Twice or Spoilt
	size    float64                    // Trouble.Size
	affects func(to int) bool
}

// linkFault is a set of gateways that can't reach a set of members, by their indices.
type linkFault struct {
	gateways, members []int
}

// loseMessages lets the share lost(from, to) of the messages between gateways be lost for d.
func (r *run) loseMessages(d time.Duration, lost func(from, to int) float64) {
	r.addMessageFault(d, &messageFault{lost: lost})
}

// addMessageFault lets a fault of messages last for d.
func (r *run) addMessageFault(d time.Duration, m *messageFault) {
	r.messageFaults = append(r.messageFaults, m)
	r.engine.After(d, func() {
		r.messageFaults = slices.DeleteFunc(r.messageFaults, func(x *messageFault) bool { return x == m })
	})
}

// losesMessage draws whether a message between two gateways is lost.
func (r *run) losesMessage(from, to int) bool {
	lost := r.links.Float64()
	if lost < r.Loss {
		return true
	}
	for _, m := range r.messageFaults {
		if m.lost == nil {
			continue
		}
		if share := m.lost(from, to); share >= 1 || share > 0 && r.links.Float64() < share {
			return true
		}
	}
	return false
}

// disturb gives what becomes of a message that isn't lost: its additional delay, its bytes, and how many copies arrive.
func (r *run) disturb(to int, message []byte) (delay time.Duration, changed []byte, copies int) {
	copies = 1
	for _, m := range r.messageFaults {
		if m.lost != nil || !m.affects(to) {
			continue
		}
		switch hit := r.links.Float64(); {
		case m.kind == Late:
			delay += time.Duration(hit * cmp.Or(m.size, 0.2) * float64(time.Second))
		case hit >= cmp.Or(m.size, 0.3) || len(message) == 0:
		case m.kind == Twice:
			copies = 2
		case m.kind == Spoilt:
			message = slices.Clone(message)
			message[r.links.IntN(len(message))] ^= 1 << r.links.IntN(8)
		}
	}
	return delay, message, copies
}

// unreachable tells whether a gateway can't reach a member.
func (r *run) unreachable(g *gateway, m *member) bool {
	for _, s := range r.brokenLinks {
		if slices.Contains(s.gateways, g.index) && slices.Contains(s.members, int(m.id)-1) {
			return true
		}
	}
	return r.partitioned(g.room, m.room)
}

// beginGatewayFault begins a trouble of the gateways that are struck, and schedules its end.
func (r *run) beginGatewayFault(t Trouble, who []int, rng *rand.Rand) {
	is := func(g int) bool { return slices.Contains(who, g) }
	switch t.Kind {
	case Restart:
		for k, i := range who {
			r.engine.After(time.Duration(k)*t.For/time.Duration(r.Gateways), func() {
				r.gateways[i].restart(500 * time.Millisecond)
			})
		}
	case Kill:
		for _, i := range who {
			r.gateways[i].restart(t.For + r.Boot)
		}
	case Stall:
		for _, i := range who {
			r.gateways[i].stall(t.For)
		}
	case Deaf:
		r.loseMessages(t.For, func(from, to int) float64 { return share(is(from) || is(to), 1) })
	case Halves:
		r.loseMessages(t.For, func(from, to int) float64 { return share(is(from) != is(to), 1) })
	case OneWay:
		r.loseMessages(t.For, func(_, to int) float64 { return share(is(to), 1) })
	case Lossy:
		r.loseMessages(t.For, func(_, to int) float64 { return share(is(to), cmp.Or(t.Size, 0.3)) })
	case Late, Twice, Spoilt:
		r.addMessageFault(t.For, &messageFault{kind: t.Kind, size: t.Size, affects: is})
	case Sever:
		s := &linkFault{who, struck(rng, r.Members, cmp.Or(t.Size, 1.0/3))}
		r.brokenLinks = append(r.brokenLinks, s)
		r.engine.After(t.For, func() {
			r.brokenLinks = slices.DeleteFunc(r.brokenLinks, func(x *linkFault) bool { return x == s })
		})
	case Silent:
		for _, i := range who {
			r.gateways[i].noListsUntil = r.engine.now + t.For
		}
	case Shut:
		for _, i := range who {
			r.gateways[i].unroutedUntil = r.engine.now + t.For
		}
	}
}

// share gives of where is holds, else 0.
func share(is bool, of float64) float64 {
	if is {
		return of
	}
	return 0
}

// struck draws a share of n indices, at least one of them.
func struck(rng *rand.Rand, n int, part float64) []int {
	return rng.Perm(n)[:min(n, max(1, int(part*float64(n)+0.5)))]
}

// beginFault begins a trouble, and schedules its end.
func (r *run) beginFault(t Trouble, rng *rand.Rand) {
	if t.Kind.ofGateways() {
		r.beginGatewayFault(t, struck(rng, r.Gateways, t.Part), rng)
		return
	}
	members := slices.DeleteFunc(slices.Clone(r.members), func(m *member) bool {
		return m.state != policy.Ready || t.Kind == Room && m.room != 0
	})
	end := r.engine.now + t.For
	switch t.Kind {
	case Room:
		r.partitionedRoom, t.Part = 0, 1
		r.engine.After(t.For, func() { r.partitionedRoom = -1 })
	case Split:
		r.listsHeldUntil = end
		r.loseMessages(t.For, func(from, to int) float64 { return 1 })
	}
	for k, i := range struck(rng, len(members), t.Part) {
		m := members[i]
		switch t.Kind {
		case Room:
			m.stop()
			r.engine.After(t.For, func() { m.start(); r.announce(m) })
		case Split:
			m.hang()
			r.engine.After(t.For, m.resume)
		case Slow:
			m.slowdown = cmp.Or(t.Size, 3)
			r.engine.After(t.For, func() { m.slowdown = 0 })
		case Shrink:
			r.engine.After(time.Duration(k)*t.For/time.Duration(len(members)), func() {
				m.state = policy.Draining
				r.announce(m)
				r.engine.After(drainTime, func() { m.state = policy.Departed; r.announce(m); m.stop() })
			})
		case Replace:
			r.engine.After(time.Duration(k)*t.For/time.Duration(len(members)), func() { r.replace(m, rng) })
		case Hang:
			m.hang()
			r.engine.After(t.For, m.resume)
		case Stop:
			m.stop()
			r.engine.After(t.For, func() { m.start(); r.announce(m) })
		case Pause:
			for at := time.Duration(0); at < t.For; at += time.Second {
				r.engine.After(at, func() {
					m.pausedUntil = r.engine.now + 200*time.Millisecond + time.Duration(rng.IntN(300))*time.Millisecond
				})
			}
		case Drain:
			m.state = policy.Draining
			r.announce(m)
			r.engine.After(t.For, func() { m.state = policy.Ready; r.announce(m) })
		}
	}
}

// drainTime is how long a member drains that is replaced or departs.
const drainTime = 4 * time.Second

// replace drains a member and starts a new one in its place.
func (r *run) replace(m *member, rng *rand.Rand) {
	if m.state != policy.Ready {
		return
	}
	m.state = policy.Draining
	r.announce(m)
	r.engine.After(drainTime, func() { m.state = policy.Departed; r.announce(m); m.stop() })
	next := r.addMember(rng)
	next.room, next.checked.Room = m.room, m.room
	next.start()
	r.announce(next)
}

// announce sends a member's entry to every gateway, after the delay of discovery.
func (r *run) announce(m *member) {
	info := m.info()
	for _, g := range r.gateways {
		incarnation := g.incarnation
		r.engine.After(max(r.Discovery, max(r.listsHeldUntil, g.noListsUntil)-r.engine.now), func() {
			if g.up && g.incarnation == incarnation {
				g.receiveList(info)
			}
		})
	}
}

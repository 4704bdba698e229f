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

// This file owns what goes wrong in a run, and the words that scripts have for it. Scripts are shared with the fault rig, which
// plays them on real processes.

// Trouble is something that goes wrong.
type Trouble struct {
	At, For time.Duration
	Kind    Kind
	Part    float64 // share of the members, or of the gateways
	Size    float64 // times slower, of slow ones; 0: three. The share lost, of loss; 0: three in ten. The share of the members, of cut; 0: a third. Seconds at most, of late; 0: a fifth. The share, of twice and spoilt; 0: three in ten. Seconds, of clock; 0: ten
}

// Kind tells troubles apart.
type Kind string

// The kinds of trouble.
const (
	Hang    Kind = "hang"    // members take work and answer none
	Stop    Kind = "stop"    // members' processes end and start again, cold, while the list has them up
	Pause   Kind = "pause"   // members stand still for a moment each second
	Drain   Kind = "drain"   // members are told to drain, and are listed again afterwards
	Restart Kind = "restart" // gateways are killed and start again, knowing nothing, one after another
	Room    Kind = "room"    // a room is cut off from the others, its members' processes end and come back cold
	Split   Kind = "split"   // no gateway hears another, lists come late, members hang
	Slow    Kind = "slow"    // members are some times slower; part 1: something that all depend on
	Shrink  Kind = "shrink"  // members drain one after another and are gone
	Replace Kind = "replace" // members drain, and new ones with names of their own take their places, cold

	Kill   Kind = "kill"   // gateways are killed at once, and start again when it is over
	Stall  Kind = "stall"  // gateways' processes stand still, and go on when it is over
	Deaf   Kind = "deaf"   // gateways neither hear others nor are heard
	Halves Kind = "halves" // gateways hear only those that it strikes, and the rest the rest
	OneWay Kind = "oneway" // gateways are heard and hear nobody
	Lossy  Kind = "loss"   // gateways lose a share of what they are told
	Sever  Kind = "cut"    // gateways lose the way to a share of the members
	Silent Kind = "silent" // discovery tells gateways nothing
	Late   Kind = "late"   // what gateways are told takes longer, and may be overtaken
	Twice  Kind = "twice"  // a share of what gateways are told comes twice
	Spoilt Kind = "spoilt" // of a share of what gateways are told a byte is changed
	Shut   Kind = "shut"   // clients don't come to gateways, which run
	Clock  Kind = "clock"  // gateways' clocks are ahead of the members' for all of the run
)

// Kinds are all of them.
var Kinds = []Kind{Hang, Stop, Pause, Drain, Restart, Room, Split, Slow, Shrink, Replace, Kill, Stall, Deaf, Halves, OneWay, Lossy, Sever, Silent, Late, Twice, Spoilt, Shut, Clock}

func known(k Kind) bool { return slices.Contains(Kinds, k) }

// ofGateways tells whether it strikes gateways; else members.
func (k Kind) ofGateways() bool {
	return slices.Contains([]Kind{Restart, Kill, Stall, Deaf, Halves, OneWay, Lossy, Sever, Silent, Late, Twice, Spoilt, Shut, Clock}, k)
}

// ParseTrouble reads kind:at:for:part, or kind:at:for:part:size.
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

// Check tells what is wrong with a trouble.
func (t Trouble) Check() error {
	if !known(t.Kind) || !(t.Part > 0 && t.Part <= 1) || t.At < 0 || t.For < 0 || !(t.Size >= 0) {
		return fmt.Errorf("kind one of %v, part above 0 and at most 1, times and size not below 0", Kinds)
	}
	return nil
}

// String words it as ParseTrouble reads it.
func (t Trouble) String() string {
	text := fmt.Sprintf("%s:%v:%v:%g", t.Kind, t.At, t.For, t.Part)
	if t.Size != 0 {
		text += fmt.Sprintf(":%g", t.Size)
	}
	return text
}

// Struck draws which of so many gateways or members a trouble strikes, the same in the model and on processes: by the seed and
// its place in the script.
func Struck(seed uint64, place, n int, part float64) []int {
	return struck(NewEngine(seed).Stream(fmt.Sprintf("trouble %d", place)), n, part)
}

// mute says what becomes of the messages from one gateway to another, and to whom it happens.
type messageFault struct {
	lost    func(from, to int) float64 // a share; nil: none
	kind    Kind                       // else late, twice or spoilt
	size    float64
	affects func(to int) bool
}

// severed says which gateways have lost the way to which members.
type linkFault struct {
	gateways, members []int
}

// mutes lets messages be lost for a while.
func (r *run) loseMessages(d time.Duration, lost func(from, to int) float64) {
	r.addMessageFault(d, &messageFault{lost: lost})
}

func (r *run) addMessageFault(d time.Duration, m *messageFault) {
	r.messageFaults = append(r.messageFaults, m)
	r.engine.After(d, func() {
		r.messageFaults = slices.DeleteFunc(r.messageFaults, func(x *messageFault) bool { return x == m })
	})
}

// loses tells whether a message between two gateways is lost.
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

// bent gives what comes of a message that isn't lost: how much later it is, what it has become, and how often it comes.
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

// parted tells whether the way between a gateway and a member is cut.
func (r *run) unreachable(g *gateway, m *member) bool {
	for _, s := range r.brokenLinks {
		if slices.Contains(s.gateways, g.index) && slices.Contains(s.members, int(m.id)-1) {
			return true
		}
	}
	return r.partitioned(g.room, m.room)
}

// strike lets a trouble of gateways begin, and end.
func (r *run) beginGatewayFault(t Trouble, who []int, rng *rand.Rand) {
	is := func(g int) bool { return slices.Contains(who, g) }
	switch t.Kind {
	case Restart:
		for k, i := range who {
			r.engine.After(time.Duration(k)*t.For/time.Duration(r.Gateways), func() { r.gateways[i].restart(500 * time.Millisecond) })
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
		r.engine.After(t.For, func() { r.brokenLinks = slices.DeleteFunc(r.brokenLinks, func(x *linkFault) bool { return x == s }) })
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

func share(is bool, of float64) float64 {
	if is {
		return of
	}
	return 0
}

// struck draws a share of so many, at least one.
func struck(rng *rand.Rand, n int, part float64) []int {
	return rng.Perm(n)[:min(n, max(1, int(part*float64(n)+0.5)))]
}

// begin lets a trouble begin, and end.
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

// drainWait is how long a member that is replaced drains.
const drainTime = 4 * time.Second

// replace lets a new member take another's place.
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

// list tells every gateway of a member's entry, late.
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

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

// This file contains the faults of a run and their form in scripts. Scripts are shared with internal/lab/faults, which
// runs them on real processes.

// Fault is a fault of a script: its kind, its time and the share of the fleet that it affects.
type Fault struct {
	At, For time.Duration // when it begins, from the start of the run; how long it lasts
	Kind    Kind
	Share   float64 // share of the members, or of the gateways, that it affects

	// Size is the strength of the fault. Its meaning depends on the kind; 0 means the default in brackets: how many
	// times slower (Slow: 3); the share of messages that are lost, duplicated or corrupted (LoseMessages,
	// DuplicateMessages, CorruptMessages: 0.3); the share of members that can't be reached (Sever: a third); the
	// longest delay in seconds (DelayMessages: 0.2); seconds that a clock is ahead (ClockSkew: 10).
	Size float64
}

// Kind is a kind of fault, by its name in scripts.
type Kind string

// The kinds of faults.
const (
	Hang       Kind = "hang"    // members accept requests and answer none
	Stop       Kind = "stop"    // members' processes end and start again, cold; server lists don't show the end
	Pause      Kind = "pause"   // members are paused for 0.2 to 0.5 s in each second
	Drain      Kind = "drain"   // members drain, and are listed as ready again afterwards
	Restart    Kind = "restart" // gateways are killed and start again without state, one after another
	RoomOutage Kind = "room"    // one room is cut off from the others; its members' processes end, and start again cold
	Split      Kind = "split"   // all messages between gateways are lost, server lists are delayed, members hang
	Slow       Kind = "slow"    // members are slower; with share 1 it stands for a shared dependency that is slow
	Shrink     Kind = "shrink"  // members drain one after another and depart
	Replace    Kind = "replace" // members drain, and new ones, which are cold, take their places

	Kill              Kind = "kill"   // gateways are killed at once, and start again when the fault ends
	Stall             Kind = "stall"  // gateways' processes are paused, and resumed when the fault ends
	Isolate           Kind = "deaf"   // gateways neither send messages to peers nor receive any from them
	Partition         Kind = "halves" // the affected gateways and the others are partitioned from each other
	OneWay            Kind = "oneway" // gateways receive no messages from peers, but their own messages arrive
	LoseMessages      Kind = "loss"   // a share of the messages to gateways is lost
	Sever             Kind = "cut"    // gateways can't reach a share of the members
	HoldLists         Kind = "silent" // gateways receive no server lists until the fault ends
	DelayMessages     Kind = "late"   // messages to gateways are delayed, and may be reordered
	DuplicateMessages Kind = "twice"  // a share of the messages to gateways is duplicated
	CorruptMessages   Kind = "spoilt" // a share of the messages to gateways has a bit flipped
	Unroute           Kind = "shut"   // the front sends no requests to gateways, whose processes keep running
	ClockSkew         Kind = "clock"  // gateways' clocks are ahead of the members' during the whole run
)

// Kinds are all kinds of faults. RandomScenario draws one by its index.
var Kinds = []Kind{Hang, Stop, Pause, Drain, Restart, RoomOutage, Split, Slow, Shrink, Replace, Kill, Stall, Isolate,
	Partition, OneWay, LoseMessages, Sever, HoldLists, DelayMessages, DuplicateMessages, CorruptMessages, Unroute,
	ClockSkew}

// knownKind reports whether a kind is one of Kinds.
func knownKind(k Kind) bool { return slices.Contains(Kinds, k) }

// targetsGateways reports whether a kind affects gateways rather than members.
func (k Kind) targetsGateways() bool {
	return slices.Contains([]Kind{Restart, Kill, Stall, Isolate, Partition, OneWay, LoseMessages, Sever, HoldLists,
		DelayMessages, DuplicateMessages, CorruptMessages, Unroute, ClockSkew}, k)
}

// ParseFault parses a fault of the form kind:at:for:part or kind:at:for:part:size.
func ParseFault(text string) (t Fault, err error) {
	parts := strings.Split(text, ":")
	if len(parts) != 4 && len(parts) != 5 {
		return t, fmt.Errorf("%q: must have the form kind:at:for:part[:size]", text)
	}
	t.Kind = Kind(parts[0])
	var list [4]error
	t.At, list[0] = time.ParseDuration(parts[1])
	t.For, list[1] = time.ParseDuration(parts[2])
	t.Share, list[2] = strconv.ParseFloat(parts[3], 64)
	if len(parts) == 5 {
		t.Size, list[3] = strconv.ParseFloat(parts[4], 64)
	}
	if err := errors.Join(list[:]...); err != nil {
		return t, fmt.Errorf("%q: %w", text, err)
	}
	return t, t.Check()
}

// Check returns an error that lists the allowed values where a field of the fault has another value.
func (t Fault) Check() error {
	if !knownKind(t.Kind) || !(t.Share > 0 && t.Share <= 1) || t.At < 0 || t.For < 0 || !(t.Size >= 0) {
		return fmt.Errorf("kind must be one of %v, part above 0 and at most 1, times and size not below 0", Kinds)
	}
	return nil
}

// String returns the form that ParseFault parses.
func (t Fault) String() string {
	text := fmt.Sprintf("%s:%v:%v:%g", t.Kind, t.At, t.For, t.Share)
	if t.Size != 0 {
		text += fmt.Sprintf(":%g", t.Size)
	}
	return text
}

// FaultTargets draws which of n gateways or members are affected by the fault at the given index of the script. It
// depends only on its arguments, so that a script affects the same ones here and on real processes.
func FaultTargets(seed uint64, index, n int, share float64) []int {
	return drawIndices(NewEngine(seed).Stream(fmt.Sprintf("trouble %d", index)), n, share)
}

// messageFault is a fault of the messages between gateways. It is in effect while a Fault lasts.
type messageFault struct {
	lost    func(from, to int) float64 // share of messages lost; nil: none are lost, and kind states the effect
	kind    Kind                       // DelayMessages, DuplicateMessages or CorruptMessages
	size    float64                    // Fault.Size
	affects func(to int) bool
}

// linkFault is a set of gateways that can't reach a set of members, by their indices.
type linkFault struct {
	gateways, members []int
}

// loseMessages drops the share lost(from, to) of the messages between gateways for the time d.
func (r *run) loseMessages(d time.Duration, lost func(from, to int) float64) {
	r.addMessageFault(d, &messageFault{lost: lost})
}

// addMessageFault adds a message fault, and removes it after d.
func (r *run) addMessageFault(d time.Duration, m *messageFault) {
	r.messageFaults = append(r.messageFaults, m)
	r.engine.After(d, func() {
		r.messageFaults = slices.DeleteFunc(r.messageFaults, func(x *messageFault) bool { return x == m })
	})
}

// losesMessage draws at random whether a message between two gateways is lost.
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

// applyMessageFaults returns the effect of the message faults on a message that isn't lost: its additional delay, its
// bytes, and the number of copies that arrive.
func (r *run) applyMessageFaults(to int, message []byte) (delay time.Duration, changed []byte, copies int) {
	copies = 1
	for _, m := range r.messageFaults {
		if m.lost != nil || !m.affects(to) {
			continue
		}
		switch hit := r.links.Float64(); {
		case m.kind == DelayMessages:
			delay += time.Duration(hit * cmp.Or(m.size, 0.2) * float64(time.Second))
		case hit >= cmp.Or(m.size, 0.3) || len(message) == 0:
		case m.kind == DuplicateMessages:
			copies = 2
		case m.kind == CorruptMessages:
			message = slices.Clone(message)
			message[r.links.IntN(len(message))] ^= 1 << r.links.IntN(8)
		}
	}
	return delay, message, copies
}

// unreachable reports whether a gateway can't reach a member.
func (r *run) unreachable(g *gateway, m *member) bool {
	for _, s := range r.brokenLinks {
		if slices.Contains(s.gateways, g.index) && slices.Contains(s.members, int(m.id)-1) {
			return true
		}
	}
	return r.partitioned(g.room, m.room)
}

// beginGatewayFault begins a fault of the target gateways, and schedules its end.
func (r *run) beginGatewayFault(t Fault, targets []int, rng *rand.Rand) {
	targeted := func(g int) bool { return slices.Contains(targets, g) }
	switch t.Kind {
	case Restart:
		for k, i := range targets {
			r.engine.After(time.Duration(k)*t.For/time.Duration(r.Gateways), func() {
				r.gateways[i].restart(500 * time.Millisecond)
			})
		}
	case Kill:
		for _, i := range targets {
			r.gateways[i].restart(t.For + r.Boot)
		}
	case Stall:
		for _, i := range targets {
			r.gateways[i].stall(t.For)
		}
	case Isolate:
		r.loseMessages(t.For, func(from, to int) float64 { return shareIf(targeted(from) || targeted(to), 1) })
	case Partition:
		r.loseMessages(t.For, func(from, to int) float64 { return shareIf(targeted(from) != targeted(to), 1) })
	case OneWay:
		r.loseMessages(t.For, func(_, to int) float64 { return shareIf(targeted(to), 1) })
	case LoseMessages:
		r.loseMessages(t.For, func(_, to int) float64 { return shareIf(targeted(to), cmp.Or(t.Size, 0.3)) })
	case DelayMessages, DuplicateMessages, CorruptMessages:
		r.addMessageFault(t.For, &messageFault{kind: t.Kind, size: t.Size, affects: targeted})
	case Sever:
		s := &linkFault{targets, drawIndices(rng, r.Members, cmp.Or(t.Size, 1.0/3))}
		r.brokenLinks = append(r.brokenLinks, s)
		r.engine.After(t.For, func() {
			r.brokenLinks = slices.DeleteFunc(r.brokenLinks, func(x *linkFault) bool { return x == s })
		})
	case HoldLists:
		for _, i := range targets {
			r.gateways[i].noListsUntil = r.engine.now + t.For
		}
	case Unroute:
		for _, i := range targets {
			r.gateways[i].unroutedUntil = r.engine.now + t.For
		}
	}
}

// shareIf returns value where applies is true, otherwise 0.
func shareIf(applies bool, value float64) float64 {
	if applies {
		return value
	}
	return 0
}

// drawIndices draws the given share of the indices below n, at least one of them.
func drawIndices(rng *rand.Rand, n int, share float64) []int {
	return rng.Perm(n)[:min(n, max(1, int(share*float64(n)+0.5)))]
}

// beginFault begins a fault, and schedules its end.
func (r *run) beginFault(t Fault, rng *rand.Rand) {
	if t.Kind.targetsGateways() {
		r.beginGatewayFault(t, drawIndices(rng, r.Gateways, t.Share), rng)
		return
	}
	members := slices.DeleteFunc(slices.Clone(r.members), func(m *member) bool {
		return m.state != policy.Ready || t.Kind == RoomOutage && m.room != 0
	})
	end := r.engine.now + t.For
	switch t.Kind {
	case RoomOutage:
		r.partitionedRoom, t.Share = 0, 1
		r.engine.After(t.For, func() { r.partitionedRoom = -1 })
	case Split:
		r.listsHeldUntil = end
		r.loseMessages(t.For, func(from, to int) float64 { return 1 })
	}
	for k, i := range drawIndices(rng, len(members), t.Share) {
		m := members[i]
		switch t.Kind {
		case RoomOutage:
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

// drainTime is how long a member that is replaced or removed drains before it departs.
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

// announce sends a member's entry to every gateway after Scenario.Discovery, or later where lists are held back.
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

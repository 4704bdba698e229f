package subscription

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// restFor is how long a control process that failed is asked only where no other is left.
const failureBackoff = 3 * time.Second

// Homes chooses which control process is asked. It never forgets one: those that the newest list doesn't name may be the only
// ones that a gateway that is cut off can reach.
type ControlSelector struct {
	zone    string
	node    string
	members map[string]*controlProcess // by IP
}

type controlProcess struct {
	ip       string
	zone     string
	listed   bool // in the newest list
	failedAt time.Time
	weight   uint64 // spreads gateways over the homes that are as good for them
}

// NewHomes gives the choice of a gateway on a machine of a zone.
func NewControlSelector(node, zone string) *ControlSelector {
	return &ControlSelector{zone: zone, node: node, members: map[string]*controlProcess{}}
}

// Seed adds machines of which only the address is known.
func (h *ControlSelector) Seed(ips []string) {
	for _, ip := range ips {
		h.member(ip)
	}
}

// Learn takes a newer list of control processes in.
func (h *ControlSelector) Update(list []protocol.ControlMember) {
	for _, one := range h.members {
		one.listed = false
	}
	for _, member := range list {
		one := h.member(member.IP)
		one.zone, one.listed = member.Zone, true
	}
}

func (h *ControlSelector) member(ip string) *controlProcess {
	one := h.members[ip]
	if one == nil {
		sum := fnv.New64a()
		sum.Write([]byte(h.node + " " + ip))
		one = &controlProcess{ip: ip, weight: sum.Sum64()}
		h.members[ip] = one
	}
	return one
}

// Failed notes that a control process did not do.
func (h *ControlSelector) MarkFailed(ip string, now time.Time) { h.member(ip).failedAt = now }

// Next gives the IP of the control process to ask, empty where none is known.
func (h *ControlSelector) Next(now time.Time) string {
	list := make([]*controlProcess, 0, len(h.members))
	for _, one := range h.members {
		list = append(list, one)
	}
	if len(list) == 0 {
		return ""
	}
	return slices.MinFunc(list, func(a, b *controlProcess) int { return h.compare(a, b, now) }).ip
}

func (h *ControlSelector) compare(a, b *controlProcess, now time.Time) int {
	return cmp.Or(
		compareBool(a.backingOff(now), b.backingOff(now)),
		compareBackoff(a, b, now),
		compareBool(!a.listed, !b.listed),
		compareBool(a.zone != h.zone, b.zone != h.zone),
		cmp.Compare(a.weight, b.weight),
	)
}

func (one *controlProcess) backingOff(now time.Time) bool {
	return !one.failedAt.IsZero() && now.Sub(one.failedAt) < failureBackoff
}

// restOrder puts those that rest in the order in which they failed.
func compareBackoff(a, b *controlProcess, now time.Time) int {
	if !a.backingOff(now) || !b.backingOff(now) {
		return 0
	}
	return a.failedAt.Compare(b.failedAt)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

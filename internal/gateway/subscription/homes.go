package subscription

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// restFor is how long a control process that failed is asked only where no other is left.
const restFor = 3 * time.Second

// Homes chooses which control process is asked. It never forgets one: those that the newest list doesn't name may be the only
// ones that a gateway that is cut off can reach.
type Homes struct {
	zone    string
	node    string
	members map[string]*home // by IP
}

type home struct {
	ip       string
	zone     string
	listed   bool // in the newest list
	failedAt time.Time
	order    uint64 // spreads gateways over the homes that are as good for them
}

// NewHomes gives the choice of a gateway on a machine of a zone.
func NewHomes(node, zone string) *Homes {
	return &Homes{zone: zone, node: node, members: map[string]*home{}}
}

// Seed adds machines of which only the address is known.
func (h *Homes) Seed(ips []string) {
	for _, ip := range ips {
		h.member(ip)
	}
}

// Learn takes a newer list of control processes in.
func (h *Homes) Learn(list []protocol.ControlMember) {
	for _, one := range h.members {
		one.listed = false
	}
	for _, member := range list {
		one := h.member(member.IP)
		one.zone, one.listed = member.Zone, true
	}
}

func (h *Homes) member(ip string) *home {
	one := h.members[ip]
	if one == nil {
		sum := fnv.New64a()
		sum.Write([]byte(h.node + " " + ip))
		one = &home{ip: ip, order: sum.Sum64()}
		h.members[ip] = one
	}
	return one
}

// Failed notes that a control process did not do.
func (h *Homes) Failed(ip string, now time.Time) { h.member(ip).failedAt = now }

// Next gives the IP of the control process to ask, empty where none is known.
func (h *Homes) Next(now time.Time) string {
	list := make([]*home, 0, len(h.members))
	for _, one := range h.members {
		list = append(list, one)
	}
	if len(list) == 0 {
		return ""
	}
	return slices.MinFunc(list, func(a, b *home) int { return h.compare(a, b, now) }).ip
}

func (h *Homes) compare(a, b *home, now time.Time) int {
	return cmp.Or(
		rank(a.rests(now), b.rests(now)),
		restOrder(a, b, now),
		rank(!a.listed, !b.listed),
		rank(a.zone != h.zone, b.zone != h.zone),
		cmp.Compare(a.order, b.order),
	)
}

func (one *home) rests(now time.Time) bool {
	return !one.failedAt.IsZero() && now.Sub(one.failedAt) < restFor
}

// restOrder puts those that rest in the order in which they failed.
func restOrder(a, b *home, now time.Time) int {
	if !a.rests(now) || !b.rests(now) {
		return 0
	}
	return a.failedAt.Compare(b.failedAt)
}

func rank(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

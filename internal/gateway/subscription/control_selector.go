package subscription

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// failureBackoff is how long a control process that failed is chosen only if no other is left.
const failureBackoff = 3 * time.Second

// ControlSelector chooses the control process to subscribe to. It never forgets one: a control process that the newest
// list lacks may be the only one that a partitioned gateway can reach. It isn't safe for concurrent use.
type ControlSelector struct {
	zone    string
	node    string
	members map[string]*controlProcess // by IP
}

// controlProcess is a candidate.
type controlProcess struct {
	ip       string
	zone     string // empty: not known
	listed   bool   // in the newest list
	failedAt time.Time
	weight   uint64 // a hash with this node's name, which spreads gateways over equally good candidates
}

// NewControlSelector returns the selector of a process on a node in a zone.
func NewControlSelector(node, zone string) *ControlSelector {
	return &ControlSelector{zone: zone, node: node, members: map[string]*controlProcess{}}
}

// Seed adds candidates of which only the address is known.
func (h *ControlSelector) Seed(ips []string) {
	for _, ip := range ips {
		h.member(ip)
	}
}

// Update takes in a newer list of control processes.
func (h *ControlSelector) Update(list []protocol.ControlMember) {
	for _, one := range h.members {
		one.listed = false
	}
	for _, member := range list {
		one := h.member(member.IP)
		one.zone, one.listed = member.Zone, true
	}
}

// member returns the candidate with an IP, which it adds if necessary.
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

// MarkFailed notes that a control process didn't serve.
func (h *ControlSelector) MarkFailed(ip string, now time.Time) { h.member(ip).failedAt = now }

// Next returns the IP of the control process to subscribe to, or "" if none is known.
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

// compare orders candidates: those that have not failed lately first, then (of those that have) the one that failed
// first, then those in the newest list, in the own zone, and by weight.
func (h *ControlSelector) compare(a, b *controlProcess, now time.Time) int {
	return cmp.Or(
		compareBool(a.backingOff(now), b.backingOff(now)),
		compareBackoff(a, b, now),
		compareBool(!a.listed, !b.listed),
		compareBool(a.zone != h.zone, b.zone != h.zone),
		cmp.Compare(a.weight, b.weight),
	)
}

// backingOff reports whether the control process failed lately.
func (one *controlProcess) backingOff(now time.Time) bool {
	return !one.failedAt.IsZero() && now.Sub(one.failedAt) < failureBackoff
}

// compareBackoff orders candidates that are backing off by when they failed.
func compareBackoff(a, b *controlProcess, now time.Time) int {
	if !a.backingOff(now) || !b.backingOff(now) {
		return 0
	}
	return a.failedAt.Compare(b.failedAt)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

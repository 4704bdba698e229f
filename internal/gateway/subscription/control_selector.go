package subscription

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// failureBackoff is the time after its failure during which a control process is chosen only if all others have
// failed recently, too.
const failureBackoff = 3 * time.Second

// ControlSelector chooses the control process to subscribe to. It never removes a candidate, because a control
// process that the newest list lacks may be the only one that a partitioned gateway can reach. It isn't safe
// for concurrent use.
type ControlSelector struct {
	zone       string
	node       string
	candidates map[string]*controlProcess // by IP
}

// controlProcess is a candidate to subscribe to.
type controlProcess struct {
	ip       string
	zone     string // empty: unknown
	listed   bool   // in the newest list
	failedAt time.Time
	weight   uint64 // a hash with this node's name, which spreads gateways over equally good candidates
}

// NewControlSelector returns the selector of a process on a node in a zone.
func NewControlSelector(node, zone string) *ControlSelector {
	return &ControlSelector{zone: zone, node: node, candidates: map[string]*controlProcess{}}
}

// Seed adds candidates by their addresses.
func (s *ControlSelector) Seed(ips []string) {
	for _, ip := range ips {
		s.candidate(ip)
	}
}

// Update applies a list of control processes. Candidates that aren't in the list are kept, and ranked after
// those that are.
func (s *ControlSelector) Update(list []protocol.ControlMember) {
	for _, candidate := range s.candidates {
		candidate.listed = false
	}
	for _, member := range list {
		candidate := s.candidate(member.IP)
		candidate.zone, candidate.listed = member.Zone, true
	}
}

// candidate returns the candidate with an IP, and adds it if necessary.
func (s *ControlSelector) candidate(ip string) *controlProcess {
	candidate := s.candidates[ip]
	if candidate == nil {
		sum := fnv.New64a()
		sum.Write([]byte(s.node + " " + ip))
		candidate = &controlProcess{ip: ip, weight: sum.Sum64()}
		s.candidates[ip] = candidate
	}
	return candidate
}

// MarkFailed records that the subscription to a control process has ended. For failureBackoff the control
// process ranks last.
func (s *ControlSelector) MarkFailed(ip string, now time.Time) { s.candidate(ip).failedAt = now }

// Next returns the IP of the control process to subscribe to, or "" if none is known.
func (s *ControlSelector) Next(now time.Time) string {
	list := make([]*controlProcess, 0, len(s.candidates))
	for _, candidate := range s.candidates {
		list = append(list, candidate)
	}
	if len(list) == 0 {
		return ""
	}
	return slices.MinFunc(list, func(a, b *controlProcess) int { return s.compare(a, b, now) }).ip
}

// compare orders candidates. Those that have not failed recently come first; among those that have, the one that
// failed earliest. Candidates that are equal in that are ordered by whether they are in the newest list, whether
// they are in this process's zone, and by weight.
func (s *ControlSelector) compare(a, b *controlProcess, now time.Time) int {
	return cmp.Or(
		compareBool(a.backingOff(now), b.backingOff(now)),
		compareBackoff(a, b, now),
		compareBool(!a.listed, !b.listed),
		compareBool(a.zone != s.zone, b.zone != s.zone),
		cmp.Compare(a.weight, b.weight),
	)
}

// backingOff reports whether the control process failed less than failureBackoff ago.
func (p *controlProcess) backingOff(now time.Time) bool {
	return !p.failedAt.IsZero() && now.Sub(p.failedAt) < failureBackoff
}

// compareBackoff orders two candidates that are both backing off by the time of their failure.
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

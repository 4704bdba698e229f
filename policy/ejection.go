package policy

import "fmt"

// Which servers are kept out of selection for a while, as they failed too often or rejected requests? Read after
// selection.go.

// The constants of outlier ejection.
const (
	failuresToEject      = 2.0  // failures, decayed
	shareToEject         = 0.25 // and their share of all attempts
	consecutiveToEject   = 3    // or so many without a served attempt, whatever the share
	maxEjectionDoublings = 4    // an ejection lasts the target, doubled up to so many times
	rejectionMemory      = 20   // in targets: how long a group goes elsewhere after a server has rejected it
)

// ejected tells whether a server is ejected. After an ejection it gets one attempt at a time, until one is served.
func (g *Gateway) ejected(s *server) bool {
	return g.now < s.ejectedUntil || (s.ejections > 0 && s.load() > 0)
}

// recordHealth counts a failed or served attempt for its server and ejects the server where it has failed too often.
// Each ejection that follows soon is twice as long; a served attempt takes one doubling back.
func (g *Gateway) recordHealth(s *server, failed bool) {
	s.failures.addBool(g.now, 4*latencyMemory*g.shortestTarget(), failed)
	if !failed {
		s.consecutiveFailures, s.lastServed, s.servedTotal = 0, g.now, s.servedTotal+1
		if s.ejections > 0 && g.now >= s.ejectedUntil {
			s.ejections, s.failures = s.ejections-1, decayingMean{decayedAt: g.now}
		}
		return
	}
	s.consecutiveFailures++
	if g.now >= s.ejectedUntil && (s.ejections > 0 || s.consecutiveFailures >= consecutiveToEject ||
		(s.failures.sum >= failuresToEject && s.failures.sum >= shareToEject*s.failures.weight)) {
		s.ejectedUntil = g.now + g.shortestTarget()<<min(s.ejections, maxEjectionDoublings)
		s.ejections = min(s.ejections+1, maxEjectionDoublings)
		g.host.Log(fmt.Sprintf("eject server %d, failures %.0f of %.0f", s.ID, s.failures.sum, s.failures.weight))
	}
}

// recordRejection notes that a server has rejected a group, and tells whether the server is overloaded: it has lately
// rejected several plans, and several classes where there are several. Else it limits one plan or class, whose
// requests go elsewhere for a while.
func (g *Gateway) recordRejection(s *server, r *request) bool {
	if s.rejectedUntil == nil {
		s.rejectedUntil = make([]Time, len(g.groups))
	}
	s.rejectedUntil[g.groupOf(r)] = g.now + rejectionMemory*g.shortestTarget()
	plans, classes := false, len(g.cfg.Classes) == 1
	for i, until := range s.rejectedUntil {
		if until > g.now {
			plans = plans || i%len(g.cfg.Plans) != r.Plan
			classes = classes || i/len(g.cfg.Plans) != r.Class
		}
	}
	return plans && classes
}

package policy

import "fmt"

// Outlier ejection, which excludes servers from selection for a while after failures, and the handling of servers that
// reject requests.

// A server is ejected after failuresToEject failures that are at least shareToEject of its attempts, or after
// consecutiveToEject failures in a row. After an ejection that served attempts haven't undone yet (server.ejections), a
// single failure ejects it again.
const (
	failuresToEject      = 2.0  // decayed count of failures
	shareToEject         = 0.25 // failures as a share of all attempts
	consecutiveToEject   = 3    // failures without a served attempt in between, whatever their share
	maxEjectionDoublings = 4    // an ejection lasts for the target, doubled at most this many times
	rejectionPeriod      = 20   // in targets: how long a group avoids a server after the server has rejected it
)

// ejected reports whether a server is ejected. After its ejection a server gets one attempt at a time until one is
// served.
func (g *Gateway) ejected(s *server) bool {
	return g.now < s.ejectedUntil || (s.ejections > 0 && s.load() > 0)
}

// recordHealth counts a failed or served attempt for its server, and ejects the server if it has failed too often. An
// ejection that follows soon is twice as long as the previous one; a served attempt after an ejection undoes one
// doubling.
func (g *Gateway) recordHealth(s *server, failed bool) {
	s.failures.addBool(g.now, 4*latencyTimeConstant*g.shortestTarget(), failed)
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

// recordRejection records that a server has rejected a request's group, and reports whether the server is overloaded:
// it has recently rejected several plans and, if there is more than one class, several classes. Otherwise the server
// limits a single plan or class, whose requests avoid it for a while.
func (g *Gateway) recordRejection(s *server, r *request) bool {
	if s.rejectedUntil == nil {
		s.rejectedUntil = make([]Time, len(g.groups))
	}
	s.rejectedUntil[g.groupOf(r)] = g.now + rejectionPeriod*g.shortestTarget()
	plans, classes := false, len(g.cfg.Classes) == 1
	for i, until := range s.rejectedUntil {
		if until > g.now {
			plans = plans || i%len(g.cfg.Plans) != r.Plan
			classes = classes || i/len(g.cfg.Plans) != r.Class
		}
	}
	return plans && classes
}

// Package admission owns the decision which live requests a gateway refuses while the servers are overloaded. Requests are
// grouped by route. Each second every group's share of the attempt latency is set against its share of the requests and its
// priority (package ruda); while a route's 90th percentile attempt latency passes its target, requests of the group with the
// highest score are refused, a second later those of the next, and after calm seconds the cuts are lifted in reverse order.
//
// A cut takes a share of a group's requests, never all of them: at most mostRefused of any group and any tenant priority, and
// never a larger share of more urgent requests than of less urgent ones of the same service. The tenant's priority goes
// before the route's. Shares are spread evenly over the sizes of requests. Nothing is refused while under half of the places
// of the servers are taken, or while that isn't known.
//
// It must never hold a tenant to its quota, choose a server, do input or output, or read a clock: the time is an argument, on
// a steady clock. All methods may be called from several goroutines.
package admission

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/configuration"
)

// The settled figures of the mechanism.
const (
	interval          = time.Second            // between judgements
	windowSlots       = 8                      // intervals whose latencies are remembered
	smoothingOver     = 4                      // intervals over which the score's counts are smoothed
	minSamples        = 20                     // attempts that a percentile is taken from, where the window has as many
	minLate           = 3                      // late attempts without which no percentile is judged
	lateShare         = 0.1                    // the 90th percentile passes the target when a tenth is late
	chanceBound       = 1.64                   // deviations beyond it that chance passes once in twenty
	minRequestRate    = 0.5                    // smoothed requests a second below which a group has no score
	maxLatencyTargets = 4                      // in targets: the most that one attempt adds to its group's latency
	minUtilization    = 0.55                   // share of the places below which nothing is refused
	loadTTL           = 3 * time.Second        // how long a told load stands
	maxShed           = 0.6                    // largest share of any group and tenant priority that is refused
	stepShare         = 0.125                  // share of a group's requests that one cut takes
	steepStepShare    = 0.25                   // the same while half of the attempts are late
	minStepShare      = 0.02                   // a cut that would take less goes to the next group
	calmIntervals     = 3                      // calm seconds before the first cut is lifted
	returnerGrace     = 0.3                    // shares refused up to this let requests that came back pass
	minRetryAfter     = 600 * time.Millisecond // after which a refused client is asked to come back
	maxRetryAfter     = 1500 * time.Millisecond
	retryAfterShare   = 0.3 // of the time left: clients honour a third
)

// Reason tells why a request was refused.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = ""
	ReasonOverload Reason = "overload" // its group is cut
)

// Request is what admission weighs of a request.
type Request struct {
	PromptTokens int
	OutputTokens int           // the most to come out
	Remaining    time.Duration // until the client's deadline; 0: not known
}

// Decision is what became of a request.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // of a refused one
	Reason     Reason
}

// Options are what a gateway tells once.
type Options struct {
	Random *rand.Rand // spreads Retry-After and the first refusal of each size; nil: seeded at random
}

// Admission is the state of one gateway.
type Admission struct {
	mutex      sync.Mutex
	random     *rand.Rand
	started    bool
	nextTick   time.Duration
	priorities []int // the tenants' priorities in use, the most urgent first
	groups     map[string]*group
	order      []*group // as in the configuration
	loads      map[string]serviceLoad
	actions    []shedAction // in the order in which they were made
	calm       int          // intervals since the last that was pressed
	restoring  bool         // calm has lasted: cuts are being lifted
}

// load is what is known of a service's servers.
type serviceLoad struct {
	at          time.Duration
	utilization float64 // share of the places
	queueing    bool
}

// New makes the state of a gateway that has no configuration yet: it admits everything.
func New(options Options) *Admission {
	random := options.Random
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Admission{random: random, groups: map[string]*group{}, loads: map[string]serviceLoad{}}
}

// Configure takes a configuration in. Groups that stay keep their counts; cuts stay while no urgency changed.
func (a *Admission) Configure(snapshot *configuration.Snapshot) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	priorities := tenantPriorities(snapshot)
	keepCuts := slices.Equal(priorities, a.priorities)
	a.priorities = priorities
	previous := a.groups
	a.groups, a.order = make(map[string]*group, len(snapshot.Routes)), nil
	for i := range snapshot.Routes {
		route := &snapshot.Routes[i]
		if route.Type == configuration.RouteBatch {
			continue
		}
		g := previous[route.Name]
		if g == nil {
			g = &group{name: route.Name}
		} else if g.rank != route.Priority {
			keepCuts = false
		}
		g.configure(route, len(priorities))
		a.groups[route.Name] = g
		a.order = append(a.order, g)
	}
	a.updatePriorities()
	if !keepCuts {
		a.restoreAll()
	}
	a.forgetRemoved()
	a.updateEffective()
}

// Admit decides about a request that has come. A nil tenant is that of a public route.
func (a *Admission) Admit(now time.Duration, route *configuration.Route, tenant *configuration.Tenant, size Request) Decision {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	g := a.groups[route.Name]
	if g == nil {
		return Decision{Admit: true}
	}
	class := a.priorityClass(tenant)
	g.countOffered(class)
	returning := g.isReturning(size.Remaining)
	share := g.effectiveShed[class]
	if share <= 0 || ablation.Off(ablation.AdmissionControl) || !a.serversLoaded(g, now) {
		return Decision{Admit: true}
	}
	if returning {
		share = returnerShed(share)
	}
	if !g.drawShed(class, size, share, a.random) {
		return Decision{Admit: true}
	}
	g.rejections++
	return Decision{RetryAfter: a.retryAfter(size.Remaining), Reason: ReasonOverload}
}

// Sent counts a request that was sent on.
func (a *Admission) Sent(now time.Duration, routeName string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	if g := a.groups[routeName]; g != nil {
		g.slot().sent++
	}
}

// Attempt counts an attempt by its latency: to the first event on streaming routes, to the answer on others. An attempt that
// was given up counts with the time that it had.
func (a *Admission) Attempt(now time.Duration, routeName string, latency time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	if g := a.groups[routeName]; g != nil {
		g.slot().add(latency, g.target)
	}
}

// Load tells the share of the places of a service's servers that are taken, as far as the gateway knows, and whether requests
// wait at them.
func (a *Admission) ObserveLoad(now time.Duration, backend string, takenShare float64, waiting bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	a.loads[backend] = serviceLoad{at: now, utilization: takenShare, queueing: waiting}
}

// returningShare is the share of requests refused once already that is refused again where share of the others is.
func returnerShed(share float64) float64 {
	return max(0, (share-returnerGrace)*maxShed/(maxShed-returnerGrace))
}

// retryAfter spreads the clients' return, within the time that they honour.
func (a *Admission) retryAfter(remaining time.Duration) time.Duration {
	longest := maxRetryAfter
	if remaining > 0 {
		longest = min(longest, time.Duration(retryAfterShare*float64(remaining)))
	}
	shortest := min(minRetryAfter, longest)
	return shortest + time.Duration(a.random.Float64()*float64(longest-shortest))
}

// mayRefuse tells whether the servers of a group are known to be loaded: all its services, so that none has room.
func (a *Admission) serversLoaded(g *group, now time.Duration) bool {
	for _, backend := range g.backends {
		known, told := a.loads[backend]
		if !told || now-known.at > loadTTL || known.utilization < minUtilization && !known.queueing {
			return false
		}
	}
	return len(g.backends) > 0
}

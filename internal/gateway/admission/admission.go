package admission

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/configuration"
)

// Settings of the mechanism. docs/operate/admission.md lists those that an operator sees,
// docs/design/limits.md gives their reasons.
const (
	interval = time.Second // between decisions

	// Latency.
	windowSlots       = 8    // intervals whose latencies are kept
	smoothingOver     = 4    // intervals over which the score's counts are smoothed
	minSamples        = 20   // attempts that a percentile is taken from, if the window has as many
	minLate           = 3    // late attempts below which a target isn't missed
	lateShare         = 0.1  // of attempts: the 90th percentile misses the target when more are late
	chanceBound       = 1.64 // standard deviations above lateShare, exceeded by chance once in twenty
	minRequestRate    = 0.5  // smoothed requests a second below which a group has no score
	maxLatencyTargets = 4    // most that one attempt adds to its group's latency, in targets

	// Load of the servers.
	minUtilization = 0.55            // of the slots; below it nothing is shed
	loadTTL        = 3 * time.Second // how long an observed load is valid

	// Shedding.
	maxShed        = 0.6   // largest share of any group and tenant priority
	stepShare      = 0.125 // of a group's requests that one step sheds
	steepStepShare = 0.25  // the same while half of the attempts are late
	minStepShare   = 0.02  // a group that could shed less is passed over
	calmIntervals  = 3     // without overload before the first step is taken back

	// Clients that come back after a rejection.
	returnerGrace   = 0.3                    // while a share is below it, they aren't shed
	minRetryAfter   = 600 * time.Millisecond // after which they are asked to come back
	maxRetryAfter   = 1500 * time.Millisecond
	retryAfterShare = 0.3 // of the time left, as longest Retry-After: clients honor a third of it
)

// Reason is why a request was rejected.
type Reason string

// Reasons of rejections.
const (
	ReasonNone     Reason = ""
	ReasonOverload Reason = "overload" // load shedding of its group
)

// Request is what admission knows of a request's size and time.
type Request struct {
	PromptTokens int
	OutputTokens int           // at most
	Remaining    time.Duration // until the client's deadline; 0: not known
}

// Decision is the answer to Admit.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // if it is rejected
	Reason     Reason
}

// Options are the fixed settings of an Admission.
type Options struct {
	Random *rand.Rand // spreads Retry-After and the first rejection of each size; nil: seeded at random
}

// Admission is the load shedding of one gateway. It is safe for concurrent use.
type Admission struct {
	mutex      sync.Mutex // guards all fields
	random     *rand.Rand
	started    bool
	nextTick   time.Duration // end of the current interval
	priorities []int         // the tenants' priorities in use, the most urgent first; a class is an index
	groups     map[string]*group
	order      []*group // in the configuration's order
	loads      map[string]backendLoad
	actions    []shedAction // steps in force, in the order in which they were taken
	calm       int          // intervals since the last with an overload
	restoring  bool         // calm has lasted, and a step is taken back each interval
}

// backendLoad is the observed load of a backend's servers.
type backendLoad struct {
	at          time.Duration
	utilization float64 // share of the slots in use
	queueing    bool    // requests wait for slots
}

// New returns the admission of a gateway without a configuration: it admits everything.
func New(options Options) *Admission {
	random := options.Random
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Admission{random: random, groups: map[string]*group{}, loads: map[string]backendLoad{}}
}

// Configure applies a configuration. Groups that stay keep their counts; what is shed stays unless a priority
// changed.
func (a *Admission) Configure(snapshot *configuration.Snapshot) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	priorities := tenantPriorities(snapshot)
	keepActions := slices.Equal(priorities, a.priorities)
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
			keepActions = false
		}
		g.configure(route, len(priorities))
		a.groups[route.Name] = g
		a.order = append(a.order, g)
	}
	a.updatePriorities()
	if !keepActions {
		a.restoreAll()
	}
	a.forgetRemoved()
	a.updateEffective()
}

// Admit decides about a request. The tenant is nil on a public route.
func (a *Admission) Admit(now time.Duration, route *configuration.Route, tenant *configuration.Tenant,
	size Request) Decision {
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

// Sent counts a request that was sent to a server.
func (a *Admission) Sent(now time.Duration, routeName string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	if g := a.groups[routeName]; g != nil {
		g.slot().sent++
	}
}

// Attempt counts an attempt by its latency: to the first event on streaming routes, to the response on
// others. An attempt that was given up counts with the time until then.
func (a *Admission) Attempt(now time.Duration, routeName string, latency time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	if g := a.groups[routeName]; g != nil {
		g.slot().add(latency, g.target)
	}
}

// ObserveLoad records the load of a backend's servers: the share of their slots that is in use, and whether
// requests wait for slots.
func (a *Admission) ObserveLoad(now time.Duration, backend string, utilization float64, queueing bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	a.loads[backend] = backendLoad{at: now, utilization: utilization, queueing: queueing}
}

// returnerShed returns the share to shed of requests that were rejected before, when share is shed of the
// others: none up to returnerGrace, then rising to the same maximum.
func returnerShed(share float64) float64 {
	return max(0, (share-returnerGrace)*maxShed/(maxShed-returnerGrace))
}

// retryAfter returns a random Retry-After, so that clients don't come back at once, within the time that they
// honor.
func (a *Admission) retryAfter(remaining time.Duration) time.Duration {
	longest := maxRetryAfter
	if remaining > 0 {
		longest = min(longest, time.Duration(retryAfterShare*float64(remaining)))
	}
	shortest := min(minRetryAfter, longest)
	return shortest + time.Duration(a.random.Float64()*float64(longest-shortest))
}

// serversLoaded reports whether the servers of all of a group's backends are known to be loaded.
func (a *Admission) serversLoaded(g *group, now time.Duration) bool {
	for _, backend := range g.backends {
		load, known := a.loads[backend]
		if !known || now-load.at > loadTTL || load.utilization < minUtilization && !load.queueing {
			return false
		}
	}
	return len(g.backends) > 0
}

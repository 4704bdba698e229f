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
	windowSlots        = 8    // intervals whose latencies are kept
	smoothingIntervals = 4    // intervals over which the counts in the score are smoothed
	minSamples         = 20   // least number of attempts for a percentile, if the window has as many
	minLate            = 3    // late attempts below which a target doesn't count as missed
	maxLateShare       = 0.1  // share of late attempts above which the 90th percentile misses the target
	significanceBound  = 1.64 // standard deviations by which a miss exceeds maxLateShare; chance alone does once in twenty
	minRequestRate     = 0.5  // smoothed requests a second below which a group has no score
	maxLatencyTargets  = 4    // most that one attempt adds to its group's latency, as a multiple of the target

	// Load of the servers.
	minUtilization = 0.55            // share of slots in use; below it nothing is shed unless requests wait for slots
	loadTTL        = 3 * time.Second // how long an observed load is valid

	// Shedding.
	maxShed        = 0.6   // largest share that is shed of any group and tenant priority
	stepShare      = 0.125 // share of a group's requests that one step sheds
	steepStepShare = 0.25  // the same while at least half of the recent attempts of an overloaded group are late
	minStepShare   = 0.02  // a group of which a step would shed less is skipped
	restoreAfter   = 3     // intervals without overload before steps are reverted

	// Retries by clients after a rejection.
	retryShedThreshold = 0.3                    // share shed of other requests below which no retry is shed
	minRetryAfter      = 600 * time.Millisecond // shortest Retry-After of a rejection
	maxRetryAfter      = 1500 * time.Millisecond
	// Longest Retry-After as a share of the time left: clients honor a Retry-After of up to a third of the time left.
	retryAfterShare = 0.3
)

// Reason is why a request was rejected.
type Reason string

// Reasons of rejections.
const (
	ReasonNone     Reason = ""
	ReasonOverload Reason = "overload" // load shedding of its group
)

// Request describes the size and the deadline of a request.
type Request struct {
	PromptTokens int
	OutputTokens int           // upper bound
	Remaining    time.Duration // until the client's deadline; 0: unknown
}

// Decision is the result of Admit.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // when the client may retry; only for a rejection
	Reason     Reason
}

// Options are the fixed settings of an Admission.
type Options struct {
	Random *rand.Rand // spreads Retry-After and the first rejection of each size class; nil: randomly seeded
}

// Admission decides on load shedding for one gateway. It is safe for concurrent use.
type Admission struct {
	mutex         sync.Mutex // guards all fields
	random        *rand.Rand
	started       bool
	nextTick      time.Duration // end of the current interval
	priorities    []int         // tenant priorities in use, the most urgent first; a class is an index of this slice
	groups        map[string]*group
	order         []*group // in the order of the configuration's routes
	loads         map[string]backendLoad
	steps         []shedStep // in force, in the order in which they were taken
	sinceOverload int        // number of intervals since the last one with an overload
	restoring     bool       // restoreAfter has been reached, and each interval without overload reverts a step
}

// backendLoad is the observed load of one backend's servers.
type backendLoad struct {
	at          time.Duration
	utilization float64 // share of the slots in use
	queueing    bool    // requests wait for slots
}

// New returns an Admission without a configuration, which admits every request.
func New(options Options) *Admission {
	random := options.Random
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Admission{random: random, groups: map[string]*group{}, loads: map[string]backendLoad{}}
}

// Configure applies a configuration. Groups whose routes remain keep their counts. The shedding steps are kept
// unless the tenant priorities or the priority of a remaining route have changed; then all are reverted.
func (a *Admission) Configure(snapshot *configuration.Snapshot) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	priorities := tenantPriorities(snapshot)
	keepSteps := slices.Equal(priorities, a.priorities)
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
			keepSteps = false
		}
		g.configure(route, len(priorities))
		a.groups[route.Name] = g
		a.order = append(a.order, g)
	}
	a.updatePriorities()
	if !keepSteps {
		a.restoreAll()
	}
	a.dropRemovedSteps()
	a.updateEffective()
}

// Admit decides whether to admit a request or to shed it. The tenant is nil on a public route.
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
	isRetry := g.isRetry(size.Remaining)
	share := g.effectiveShed[class]
	if share <= 0 || ablation.Off(ablation.AdmissionControl) || !a.serversLoaded(g, now) {
		return Decision{Admit: true}
	}
	if isRetry {
		share = retryShed(share)
	}
	if !g.shouldShed(class, size, share, a.random) {
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

// Attempt records the latency of an attempt: the time to the first event on streaming routes, to the response
// on others. An abandoned attempt counts with the time until it was abandoned.
func (a *Admission) Attempt(now time.Duration, routeName string, latency time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	if g := a.groups[routeName]; g != nil {
		g.slot().add(latency, g.target)
	}
}

// ObserveLoad records the load of a backend's servers: the share of their slots that is in use (utilization),
// and whether requests wait for slots (queueing).
func (a *Admission) ObserveLoad(now time.Duration, backend string, utilization float64, queueing bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	a.loads[backend] = backendLoad{at: now, utilization: utilization, queueing: queueing}
}

// retryShed returns the share to shed of retries after a rejection, when share is shed of the other requests:
// 0 up to retryShedThreshold, then rising to the same maximum.
func retryShed(share float64) float64 {
	return max(0, (share-retryShedThreshold)*maxShed/(maxShed-retryShedThreshold))
}

// retryAfter returns a random Retry-After, so that rejected clients don't all retry at the same time. It is
// within the time that clients honor.
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

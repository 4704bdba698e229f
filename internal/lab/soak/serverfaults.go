package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/fake/modelserver"
)

const (
	// concurrentServerFaults is how many faults of model servers go on at the same time, at most.
	concurrentServerFaults = 2
	minServerFaultInterval = 500 * time.Millisecond
	maxServerFaultInterval = 4 * time.Second
	minServerFault         = time.Second
	maxServerFault         = 6 * time.Second
	// The silences of a server are shorter than the time that a request has, so that a request that stays there gets its
	// response.
	minServerSilence = 300 * time.Millisecond
	maxServerSilence = 2500 * time.Millisecond
	// othersRejectProbability is the share of faults during which all servers that they don't strike reject, so that none
	// can take a request over.
	othersRejectProbability = 0.4
	// maxModelServers bounds the model servers of a run, those that drain included.
	maxModelServers = 60
)

// injectServerFaults injects faults of model servers, one after the other, until the context ends. Each is over before it
// returns.
func (r *run) injectServerFaults(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, randomDuration(random, minServerFaultInterval, maxServerFaultInterval)) {
		fault := drawServerFault(random)
		if fault.kind == KindServerReplaced {
			r.replaceServer(random)
			continue
		}
		r.injectServerFault(ctx, random, fault)
	}
}

// serverFault is a fault of some model servers for a time.
type serverFault struct {
	kind   EventKind
	faults modelserver.Faults // of the servers that it strikes
	others modelserver.Faults // of all other ones
	length time.Duration
}

// drawServerFault returns a random fault.
func drawServerFault(random *rand.Rand) serverFault {
	fault := serverFault{length: randomDuration(random, minServerFault, maxServerFault)}
	silence := randomDuration(random, minServerSilence, maxServerSilence)
	switch random.IntN(6) {
	case 0:
		fault.kind, fault.faults = KindServerRejection, modelserver.Faults{Reject: true}
	case 1:
		fault.kind, fault.faults = KindServerBreakOff, modelserver.Faults{BreakOff: true}
	case 2:
		fault.kind = KindServerReplaced
	case 3:
		fault.kind, fault.faults = KindServerSilence, modelserver.Faults{PauseBefore: silence}
	default:
		fault.kind, fault.faults = KindServerSilence, modelserver.Faults{PauseWithin: silence}
	}
	if random.Float64() < othersRejectProbability {
		fault.others.Reject = true
	}
	return fault
}

// injectServerFault injects a fault of random servers, and heals it.
func (r *run) injectServerFault(ctx context.Context, random *rand.Rand, fault serverFault) {
	servers, others := r.randomServers(random)
	struck := r.timeline.add(fault.kind, "%s: %+v, others %+v", serverNames(servers), fault.faults, fault.others)
	defer struck()
	setFaults(servers, fault.faults)
	setFaults(others, fault.others)
	sleep(ctx, fault.length)
	setFaults(slices.Concat(servers, others), modelserver.Faults{})
}

// randomServers returns at least one of the running model servers, and up to all, and the others.
func (r *run) randomServers(random *rand.Rand) (drawn, others []*modelserver.Server) {
	servers := r.runningServers()
	random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	n := 1 + random.IntN(len(servers))
	return servers[:n], servers[n:]
}

// runningServers returns the model servers that don't drain.
func (r *run) runningServers() []*modelserver.Server {
	return slices.DeleteFunc(r.cluster.ModelServers(), (*modelserver.Server).Draining)
}

// replaceServer starts a model server and has another one drain, which goes on serving.
func (r *run) replaceServer(random *rand.Rand) {
	if len(r.cluster.ModelServers()) >= maxModelServers {
		return
	}
	servers := r.runningServers()
	leaving := servers[random.IntN(len(servers))]
	added, err := r.cluster.AddModelServer()
	if err != nil {
		r.checker.violated(RuleProcesses, "a model server could not be started: %v", err)
		return
	}
	r.timeline.add(KindServerReplaced, "%s by %s", leaving.ID(), added.ID())()
	r.cluster.DrainModelServer(leaving)
}

func setFaults(servers []*modelserver.Server, faults modelserver.Faults) {
	for _, server := range servers {
		server.SetFaults(faults)
	}
}

func serverNames(servers []*modelserver.Server) string {
	var names []string
	for _, server := range servers {
		names = append(names, server.ID())
	}
	return strings.Join(names, " ")
}
